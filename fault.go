package pimento

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// FieldError is one invalid value. Row and Column count from one; they are zero
// if the value did not come from a sheet.
type FieldError struct {
	Field   string
	Row     int
	Column  int
	Value   string
	Allowed string
}

// maxShownValue is how much of an invalid value an error shows, in characters.
const maxShownValue = 256

// Error names the location, the value and what is allowed.
func (f FieldError) Error() string {
	location := f.Field
	if f.Row > 0 {
		location = fmt.Sprintf("row %d, column %d (%s)", f.Row, f.Column, f.Field)
	}
	return fmt.Sprintf("%s: %.*q is not allowed: want %s", location, maxShownValue, f.Value, f.Allowed)
}

// ValidationError holds all invalid values of a subject.
type ValidationError struct {
	Subject string
	Faults  []FieldError
}

// Add records an invalid value.
func (e *ValidationError) Add(field, value, allowed string) {
	e.Faults = append(e.Faults, FieldError{Field: field, Value: value, Allowed: allowed})
}

// AddAt records an invalid value in a cell of a sheet.
func (e *ValidationError) AddAt(row, column int, field, value, allowed string) {
	e.Faults = append(e.Faults, FieldError{Field: field, Row: row, Column: column, Value: value, Allowed: allowed})
}

// Error lists all faults, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s has %d faults:", e.Subject, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns e if it has faults and nil otherwise.
func (e *ValidationError) Err() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

// ConflictError says that a conditional write was rejected because the object
// has changed. Current is its present version, zero if it does not exist.
type ConflictError struct {
	Object      string
	BaseVersion uint64
	Current     uint64
	Entry       Entry // present content, if the store returned it
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, the write was based on version %d", e.Object, e.Current, e.BaseVersion)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Object string
	Era    uint64 // of the store
}

// Error names the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Object) }

// ExistsError says that an entry to be created exists already.
type ExistsError struct{ Current Entry }

// Error names the entry.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("entry %q of kind %q exists at revision %s", e.Current.Name, e.Current.Kind, e.Current.Revision)
}

// FencedError says that an upstream refused a grant because it has seen a
// higher fence on one of the keys.
type FencedError struct {
	Upstream UpstreamName
	Range    KeyRange
	Fence    uint64
}

// Error names upstream, range and fence.
func (e *FencedError) Error() string {
	return fmt.Sprintf("upstream %q has seen a higher fence than %d on keys %s", e.Upstream, e.Fence, e.Range)
}

// BusyError says that the store rejected a call without any effect, because it is
// overloaded or unavailable.
type BusyError struct{ Status int }

// Error names the HTTP status.
func (e *BusyError) Error() string {
	return fmt.Sprintf("the store rejected the call without effect: HTTP status %d", e.Status)
}

// HistoryGoneError says that a watch cannot continue from its revision.
type HistoryGoneError struct{ After Revision }

// Error names the revision.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("the store no longer has all changes after revision %s", e.After)
}

// UnreachableError says that no usable answer arrived. The call may have taken
// effect, unless Unsent is set.
type UnreachableError struct {
	Target string
	Cause  error
	Unsent bool
	// Withheld means that the caller itself did not send the call, which says nothing
	// about the target. Unsent is set too.
	Withheld bool
}

// Error names the target and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s gave no answer: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// OutcomeError carries the outcome of a request that got no answer.
type OutcomeError struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfter is how long the caller should wait before it sends the
	// request again; zero: unspecified.
	RetryAfter time.Duration
	// By is the process that refused; empty: the one that received the request.
	By ProcessID
	// Cause is the error behind it; nil: none, or it came from another process.
	Cause error
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// Error names outcome and reason.
func (e *OutcomeError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Reason, e.Detail)
}

// Status returns the HTTP status for the caller. To callers, 408, 429 and 503
// promise that the request has not run and never will; 502 and 504 promise nothing.
func (e *OutcomeError) Status() int {
	switch {
	case e.Reason == ReasonNoRoute:
		return http.StatusNotFound
	case e.Reason == ReasonUnauthorized && e.Outcome == OutcomeNotRun:
		return http.StatusUnauthorized
	case e.Reason == ReasonQuota && e.Outcome == OutcomeNotRun:
		return http.StatusTooManyRequests
	case e.Reason == ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case e.Reason == ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case e.Reason == ReasonCallerSlow && e.Outcome == OutcomeNotRun:
		return http.StatusRequestTimeout
	case e.Reason == ReasonBadRequest || e.Reason == ReasonBodyCut:
		return http.StatusBadRequest
	case e.Outcome == OutcomeNotRun:
		return http.StatusServiceUnavailable
	case e.Reason == ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// NotRun returns an OutcomeError for a request that certainly was not run.
func NotRun(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// stoppingRetryAfter is the time after which callers should retry that were refused because this
// process ends. Another process can take the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// RefuseStopping returns an OutcomeError for a request that was not run because this process
// ends.
func RefuseStopping(detail string) *OutcomeError {
	out := NotRun(ReasonStopping, detail)
	out.RetryAfter = stoppingRetryAfter
	return out
}

// Unknown returns an OutcomeError for a request that may have been run.
func Unknown(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
