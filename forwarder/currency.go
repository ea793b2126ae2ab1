package forwarder

import (
	"context"
	"slices"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

// Currentness says whether the configuration in force may decide a request.
type Currentness string

// The kinds of currentness.
const (
	// Current means that no change that had to be in force when the request arrived
	// is missing.
	Current Currentness = "Current"
	// StoreLost means that this process does not reach the store, so that it cannot
	// know better.
	StoreLost Currentness = "StoreLost"
	// Undecided means that the time to wait ended before the store answered or was known
	// not to.
	Undecided Currentness = "Undecided"
)

// Currency knows how old the configuration in force may be.
type Currency interface {
	// IsCurrent reports whether the configuration in force contains every change that
	// had to be in force when a request arrived. It does not block.
	IsCurrent(arrived time.Time) bool
	// MayUseKeys reports whether a request that arrived then may run by its API key: none
	// was taken away so long before that it must not.
	MayUseKeys(arrived time.Time) bool
	// Await waits until IsCurrent, and for no longer than wait. retryAfter is when more will
	// be known, zero if Current.
	Await(ctx context.Context, arrived time.Time, wait time.Duration) (c Currentness, retryAfter time.Duration)
}

// minRefusalWait is how long a request without a route or a customer waits at most for a
// newer configuration.
const minRefusalWait = 150 * time.Millisecond

// staleDetail is the detail of a refusal because of the age of the manifest.
const staleDetail = "the manifest known here may be too old, and the store has not answered"

// decision is what the configuration in force says about a request.
type decision struct {
	view     *View
	route    *pimento.Route    // nil: none matches
	customer *pimento.Customer // that holds the API key of the request; nil: none
}

// mayRefuse reports whether a decision may refuse a request for good: it has no route or
// no customer, or lacks the key that a service of its route needs.
func (f *Forwarder) mayRefuse(d decision, r *pimento.Request) bool {
	if d.route == nil || d.isUnauthorized() {
		return true
	}
	return f.RequireKey && !r.Keyed && slices.ContainsFunc(d.route.Targets, func(t pimento.Target) bool {
		s, _ := d.view.Manifest.Service(t.Service)
		return s.Sharing == pimento.SharingKeyed
	})
}

// decide returns what the configuration in force says about a request, or why it is
// refused. One that may be too old decides nothing while this process may soon know
// better, and never refuses for good.
func (f *Forwarder) decide(ctx context.Context, r *pimento.Request, arrived time.Time, trace *Trace) (decision, error) {
	current := f.Currency == nil || f.Currency.IsCurrent(arrived) // before the view is read, which may become newer
	d, err := f.match(r, trace)
	if err != nil || current && f.mayUseKey(d, arrived) {
		return d, err
	}
	state, retryAfter := f.Currency.Await(ctx, arrived, f.maxWait(d, r, arrived))
	if d, err = f.match(r, trace); err != nil {
		return d, err
	}
	if (state == Current || !f.mayRefuse(d, r)) && f.mayUseKey(d, arrived) {
		return d, nil
	}
	refusal := pimento.NotRun(pimento.ReasonStaleManifest, staleDetail)
	refusal.RetryAfter = retryAfter
	return d, refusal
}

// match matches a request with the configuration in force.
func (f *Forwarder) match(r *pimento.Request, trace *Trace) (decision, error) {
	d := decision{view: f.View()}
	if d.view == nil {
		refusal := pimento.NotRun(pimento.ReasonNoManifest, "no manifest is known here yet")
		refusal.RetryAfter = manifestRetryAfter
		return d, refusal
	}
	trace.Manifest = d.view.Manifest.Version
	path, _, _ := strings.Cut(r.Path, "?")
	if route, ok := d.view.Routes.Match(r.Host, path); ok {
		d.route = route
	}
	d.customer = d.view.customerOf(r)
	return d, nil
}

// maxWait returns how long a request waits at most for a newer configuration: one with
// a route and a customer, if it needs one, for half of the time that it has left, any other
// for minRefusalWait.
func (f *Forwarder) maxWait(d decision, r *pimento.Request, arrived time.Time) time.Duration {
	left := time.Until(r.Deadline)
	if d.route == nil || d.isUnauthorized() {
		return min(minRefusalWait, left)
	}
	if end := arrived.Add(d.route.Timeout); end.Before(r.Deadline) {
		left = time.Until(end)
	}
	return left / 2
}
