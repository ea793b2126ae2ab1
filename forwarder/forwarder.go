// Package forwarder forwards the requests of callers to upstreams.
//
// It finds the route, acquires a permit from the dispatcher, sends the request
// to the upstream, and decides whether a failed request is sent again: one that
// certainly did not run, or an idempotent one, within the route's attempts and
// the deadline, and if the dispatcher issues another permit.
//
// # Usage
//
//	f := &forwarder.Forwarder{View: view, Dispatcher: d}
//	answer, err := f.Handle(ctx, request, body)
//
// An error of Handle is a *pimento.OutcomeError.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// maxBufferedBody is the largest body in bytes that is buffered: of a request
	// to send it again, of an answer to detect truncation before the caller
	// receives any of it.
	maxBufferedBody = 64 << 10
	// manifestRetryAfter is the time after which callers should retry while this
	// process has no manifest.
	manifestRetryAfter = 300 * time.Millisecond
	// maxUnusedPermits is how many permits of a request may be given back unused: each
	// time another one is asked for, without the upstreams that this process avoids.
	maxUnusedPermits = 3
)

// View is the part of the configuration in force that the forwarder reads.
type View struct {
	Manifest  *pimento.Manifest
	Routes    *pimento.RouteTable
	Customers *pimento.CustomerTable
}

// NewView returns the view of a manifest.
func NewView(m *pimento.Manifest) *View {
	return &View{Manifest: m, Routes: pimento.NewRouteTable(m.Routes), Customers: pimento.NewCustomerTable(m.Customers)}
}

// Permit allows one request to be sent to one upstream.
type Permit interface {
	// Upstream returns the name of that upstream.
	Upstream() pimento.UpstreamName
	// Basis returns the data behind the choice of that upstream.
	Basis() Basis
	// Serve sends the request.
	Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error)
	// Done returns the permit and reports how the request ended.
	Done(err error)
}

// AttemptState says which attempt of a request a permit is acquired for.
type AttemptState struct {
	Number int                    // from one
	Again  bool                   // a permit of this attempt was given back unused
	Avoid  []pimento.UpstreamName // used by earlier attempts
	// Charged means that a permit was issued before, so that the request counts for the
	// quota of its customer.
	Charged bool
}

// Dispatcher issues permits.
type Dispatcher interface {
	// Acquire waits for a permit. The error is a *pimento.OutcomeError with
	// outcome NotRun.
	Acquire(ctx context.Context, r *pimento.Request, attempt AttemptState) (Permit, error)
}

// Records keeps the records of requests to which callers gave an ID.
type Records interface {
	// Begin creates the record of a request, or returns that of an earlier request
	// with the same ID. The error is a *pimento.OutcomeError.
	Begin(ctx context.Context, r *pimento.Request) (record pimento.Record, fresh bool, err error)
	// Finish records the end of a request that was fresh. A record without a
	// state means that it did not run.
	Finish(ctx context.Context, record pimento.Record)
}

// Forwarder implements acceptor.Handler. Set the exported fields before use.
type Forwarder struct {
	// View returns the configuration in force, or nil if none is known yet.
	View       func() *View
	Dispatcher Dispatcher
	// Currency knows how old the configuration in force may be; nil: it is taken to be
	// the newest.
	Currency Currency
	// Records keeps the records of requests with a caller's ID; nil: none are kept.
	Records Records
	// EndsAt returns when this process ends the requests that are left, zero while it takes on
	// requests however long they may last; nil: always zero.
	EndsAt func() time.Time
	// RequireKey refuses requests without a key for keyed services.
	RequireKey bool
	// Observer is notified of retries and ends of requests; it may be nil.
	Observer Observer

	mu          sync.Mutex
	pickers     map[pimento.RouteName]*targetPicker
	longestLeft map[pimento.RouteName]time.Duration // until the deadline, of all requests so far
}

// Handle implements acceptor.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error) {
	trace := &Trace{StartedAt: time.Now()}
	answer, err := f.handle(ctx, r, body, trace)
	if f.Observer != nil {
		f.Observer.Ended(r, trace, answer.Head.Status, err)
	}
	return answer, err
}

// handle implements Handle and records the trace of the request.
func (f *Forwarder) handle(ctx context.Context, r *pimento.Request, body io.Reader, trace *Trace) (pimento.Answer, error) {
	arrived := r.ArrivedAt
	if arrived.IsZero() {
		arrived = trace.StartedAt
	}
	decided, err := f.decide(ctx, r, arrived, trace)
	if err != nil {
		return pimento.Answer{}, err
	}
	view, route := decided.view, decided.route
	if route == nil {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonNoRoute, "no route for this host and path")
	}
	if decided.isUnauthorized() {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonUnauthorized, "no customer holds the API key of the request")
	}
	r.Authenticated, r.Customer = view.Manifest.Authenticated, decided.customer
	r.Check = func() error { return f.checkRequest(r, arrived) }
	r.Route = route
	r.Service = f.nextTarget(route)
	if service, _ := view.Manifest.Service(r.Service); f.RequireKey && service.Sharing == pimento.SharingKeyed && !r.Keyed {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonBadRequest, "the service is divided by key, and the request has none")
	}
	if route.Strip {
		r.Path = "/" + strings.TrimPrefix(r.Path, route.Prefix)
	}
	r.GoalAt = arrived.Add(route.Goal - f.elapsed(route.Name, r.Deadline.Sub(arrived)))
	if end := arrived.Add(route.Timeout); end.Before(r.Deadline) {
		r.Deadline = end
	}
	if err := f.checkArrival(r); err != nil {
		return pimento.Answer{}, err
	}
	if r.HasCallerID && f.Records != nil && !route.Idempotent(r.Method) {
		return f.forwardOnce(ctx, r, body, trace)
	}
	return f.forward(ctx, r, body, trace)
}

// forward sends a request until it is answered or may not be retried.
func (f *Forwarder) forward(ctx context.Context, r *pimento.Request, body io.Reader, trace *Trace) (pimento.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	rewindable := newRewindableBody(body)
	attempt := AttemptState{Number: 1}
	unused := 0 // permits
	for {
		answer, err := f.attempt(ctx, r, rewindable.newReader(), &attempt, trace)
		if attempt.Again = isAvoided(err); attempt.Again && unused < maxUnusedPermits && ctx.Err() == nil && rewindable.stop() {
			unused++
			continue
		}
		if err == nil && answer.Body != nil {
			answer.Body = &hookedBody{ReadCloser: answer.Body, onClose: cancel}
			return answer, nil
		}
		if err == nil || !f.mayRetry(ctx, r, rewindable, attempt, err) {
			cancel()
			return answer, trace.requestError(err)
		}
		if f.Observer != nil {
			f.Observer.Retried(r, trace, err)
		}
		attempt.Number++
	}
}

// mayRetry reports whether a failed request may be sent again.
func (f *Forwarder) mayRetry(ctx context.Context, r *pimento.Request, body *rewindableBody, attempt AttemptState, err error) bool {
	var failure *pimento.OutcomeError
	if ctx.Err() != nil || !errors.As(err, &failure) || !body.stop() {
		return false
	}
	if attempt.Number >= r.Route.MaxAttempts {
		return false
	}
	if len(attempt.Avoid) < attempt.Number {
		return false // refused by the dispatcher, not by an upstream
	}
	switch failure.Reason {
	case pimento.ReasonUnauthorized, pimento.ReasonStaleManifest, pimento.ReasonStopping:
		return false // refused by this process
	}
	return failure.Outcome == pimento.OutcomeNotRun || r.Route.Idempotent(r.Method)
}

// checkRequest returns the refusal of a request that must not be sent any more: it may have
// waited since it arrived, or be a retry.
func (f *Forwarder) checkRequest(r *pimento.Request, arrived time.Time) error {
	if err := f.checkSend(r); err != nil {
		return err
	}
	return f.checkKey(r, arrived)
}

// attempt acquires a permit and sends a request once.
func (f *Forwarder) attempt(ctx context.Context, r *pimento.Request, body io.Reader, attempt *AttemptState, trace *Trace) (pimento.Answer, error) {
	startedAt := time.Now()
	permit, err := f.Dispatcher.Acquire(ctx, r, *attempt)
	waited := time.Since(startedAt)
	trace.Waited += waited
	if err != nil {
		return pimento.Answer{}, err
	}
	attempt.Charged = true
	answer, metadata, err := permit.Serve(ctx, r, body)
	if isAvoided(err) { // nothing was sent
		permit.Done(err)
		return pimento.Answer{}, err
	}
	attempt.Avoid = append(attempt.Avoid, permit.Upstream())
	if err == nil {
		answer, err = bufferAnswer(ctx, answer)
	}
	ended := err // for the dispatcher, which judges the upstream by its answer
	if err == nil && metadata.FalsePromise && !r.Route.Idempotent(r.Method) {
		answer, err = pimento.Answer{}, withhold(answer)
	}
	trace.Attempts = append(trace.Attempts, Attempt{
		Upstream: permit.Upstream(), Basis: permit.Basis(), Waited: waited, Took: time.Since(startedAt) - waited, Err: err,
	})
	if err != nil || answer.Head.BodyLength >= 0 && answer.Head.BodyLength <= maxBufferedBody {
		permit.Done(ended)
		return answer, err
	}
	answer.Body = newLongBody(ctx, r.Method, answer, permit.Done)
	return answer, nil
}

// withhold drops an answer whose status would make its caller send a request again that may
// have run, and returns the error in its place.
func withhold(answer pimento.Answer) error {
	answer.Body.Close()
	return pimento.Unknown(pimento.ReasonUpstreamFailed, fmt.Sprintf("the upstream answered %d and does not say that it did not run the request", answer.Head.Status))
}

// isAvoided reports whether a permit was not used, because this process may not send to
// its upstream now.
func isAvoided(err error) bool {
	var failure *pimento.OutcomeError
	return errors.As(err, &failure) && failure.Reason == pimento.ReasonAvoided
}

// bufferAnswer reads a short answer whole, and sets its length if it was not
// known beforehand.
func bufferAnswer(ctx context.Context, answer pimento.Answer) (pimento.Answer, error) {
	if answer.Head.BodyLength > maxBufferedBody {
		return answer, nil
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err == nil && answer.Head.BodyLength >= 0 && int64(len(data)) < answer.Head.BodyLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		answer.Body.Close()
		return pimento.Answer{}, brokenOff(ctx, err)
	}
	if len(data) > maxBufferedBody {
		answer.Body = &readCloser{Reader: io.MultiReader(bytes.NewReader(data), answer.Body), Closer: answer.Body}
		return answer, nil
	}
	answer.Body.Close()
	answer.Head.BodyLength = int64(len(data))
	answer.Body = io.NopCloser(bytes.NewReader(data))
	return answer, nil
}

// readCloser is a body that is read from one source and closed at another.
type readCloser struct {
	io.Reader
	io.Closer
}

// hookedBody calls a function when an answer's body is first closed.
type hookedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (b *hookedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
