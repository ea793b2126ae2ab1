package pimento

import (
	"errors"
	"net/http"
)

// Outcome is how a request ended, as reported to its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the upstream's whole answer follows.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeNotRun means that no upstream ran the request.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "Unknown"
)

// Reason says why a request got no answer.
type Reason string

// The reasons. docs/EVENTS.md says what operators can do about each.
const (
	ReasonNoRoute        Reason = "NoRoute"
	ReasonBadRequest     Reason = "BadRequest"
	ReasonNoOwner        Reason = "NoOwner"
	ReasonPeerLost       Reason = "PeerLost"
	ReasonUpstreamLost   Reason = "UpstreamLost"
	ReasonRefused        Reason = "Refused"
	ReasonTimeout        Reason = "Timeout"
	ReasonRecordLost     Reason = "RecordLost"
	ReasonAnswerNotKept  Reason = "AnswerNotKept"
	ReasonBodyCut        Reason = "BodyCut"
	ReasonWrongAnswer    Reason = "WrongAnswer"
	ReasonUpstreamFailed Reason = "UpstreamFailed" // with a status that would promise that the request has not run
	ReasonNoManifest     Reason = "NoManifest"
	ReasonStaleManifest  Reason = "StaleManifest"
	ReasonHeaderTooLarge Reason = "HeaderTooLarge"
	ReasonBodyTooLarge   Reason = "BodyTooLarge"
	ReasonCallerSlow     Reason = "CallerSlow"
	ReasonCallerGone     Reason = "CallerGone"
	ReasonMisdirected    Reason = "Misdirected"
	ReasonElsewhere      Reason = "Elsewhere" // the owner of the key is in another pool
	ReasonOverloaded     Reason = "Overloaded"
	ReasonRetryBudget    Reason = "RetryBudget"
	ReasonQuarantined    Reason = "Quarantined"
	ReasonStopping       Reason = "Stopping"
	ReasonAvoided        Reason = "Avoided"
	ReasonStaleUpstreams Reason = "StaleUpstreams" // the upstreams known here are too old
	ReasonNoMemory       Reason = "NoMemory"       // the memory for callers is used up
	ReasonUnauthorized   Reason = "Unauthorized"   // no customer holds the API key
	ReasonQuota          Reason = "Quota"          // the quota of the customer is used up
	ReasonQuotaUnknown   Reason = "QuotaUnknown"   // this process has no part of that quota now
)

// ErrStopping is the cause of the end of a request's context if its process ends.
var ErrStopping = errors.New("this process is shutting down")

// AnswerHead is an answer without its body.
type AnswerHead struct {
	ID         string
	Status     int
	Header     http.Header
	BodyLength int64 // bytes, -1 if unknown
}

// IsIdempotent reports whether a method is idempotent (RFC 9110, section 9.2.2).
func IsIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	default:
		return false
	}
}
