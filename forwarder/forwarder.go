// Package forwarder passes requests of callers on to upstreams.
//
// It finds the route, asks the dispatcher for leave to send the request to an
// upstream, sends it, and decides whether a request that failed may be sent
// again: one that certainly did not run, or an idempotent one, within the
// route's attempts, the deadline and the dispatcher's consent.
//
// # Usage
//
//	f := &forwarder.Forwarder{View: view, Dispatch: d}
//	answer, err := f.Handle(ctx, request, body)
//
// An error of Handle is an *pimento.OutcomeError.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// keepSize is the largest body in bytes that is kept, so that it can be
	// sent again, or so that a cut answer is found before the caller sees it.
	keepSize = 64 << 10
	// manifestPause is what callers are told to wait for while no manifest is
	// known here.
	manifestPause = 300 * time.Millisecond
)

// View is what the forwarder reads of the configuration in force.
type View struct {
	Manifest *pimento.Manifest
	Routes   *pimento.RouteTable
}

// Permit is the leave to send one request to one upstream.
type Permit interface {
	// Upstream names the upstream that the request may go to.
	Upstream() pimento.UpstreamName
	// Basis says who decided for the upstream, and by what.
	Basis() Basis
	// Serve sends the request.
	Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMark, error)
	// Done gives the permit back and tells how the request ended.
	Done(err error)
}

// Try says which try of a request a permit is asked for.
type Try struct {
	Number int                    // from one
	Avoid  []pimento.UpstreamName // tried before
}

// Dispatcher gives permits.
type Dispatcher interface {
	// Acquire waits for a permit. The error is an *pimento.OutcomeError with
	// outcome NotRun.
	Acquire(ctx context.Context, r *pimento.Request, try Try) (Permit, error)
}

// Records remembers requests that callers named.
type Records interface {
	// Begin enters a request, or returns what is known of an earlier copy. The
	// error is an *pimento.OutcomeError.
	Begin(ctx context.Context, r *pimento.Request) (record pimento.Record, fresh bool, err error)
	// Finish records the end of a request that was fresh. A record without a
	// state says that it was not run.
	Finish(ctx context.Context, record pimento.Record)
}

// Forwarder implements acceptor.Handler. Set the exported fields before use.
type Forwarder struct {
	// View returns the configuration in force, or nil if none is known yet.
	View     func() *View
	Dispatch Dispatcher
	// Records remembers requests that callers named; nil: nothing does.
	Records Records
	// NeedKey refuses requests without a key for services divided by key.
	NeedKey bool
	// Observer is told what happens to requests; nil: nobody is.
	Observer Observer

	mu     sync.Mutex
	shares map[pimento.RouteName]*share
	waits  map[pimento.RouteName]time.Duration // longest that callers were ready to wait
}

// Handle implements acceptor.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error) {
	trail := &Trail{Began: time.Now()}
	answer, err := f.handle(ctx, r, body, trail)
	if f.Observer != nil {
		f.Observer.Ended(r, trail, answer.Head.Status, err)
	}
	return answer, err
}

// handle is Handle with a trail that notes what happens.
func (f *Forwarder) handle(ctx context.Context, r *pimento.Request, body io.Reader, trail *Trail) (pimento.Answer, error) {
	now := trail.Began
	view := f.View()
	if view == nil {
		out := pimento.NotRun(pimento.ReasonNoManifest, "no manifest is known here yet")
		out.RetryAfter = manifestPause
		return pimento.Answer{}, out
	}
	trail.Manifest = view.Manifest.Version
	path, _, _ := strings.Cut(r.Path, "?")
	route, ok := view.Routes.Match(r.Host, path)
	if !ok {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonNoRoute, "no route for this host and path")
	}
	r.Route = route
	r.Service = f.target(route)
	if service, _ := view.Manifest.Service(r.Service); f.NeedKey && service.Sharing == pimento.SharingKeyed && !r.Keyed {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonBadRequest, "the service is divided by key, and the request has none")
	}
	if route.Strip {
		r.Path = "/" + strings.TrimPrefix(r.Path, route.Prefix)
	}
	r.GoalAt = now.Add(route.Goal - f.elapsed(route.Name, r.Deadline.Sub(now)))
	if end := now.Add(route.Timeout); end.Before(r.Deadline) {
		r.Deadline = end
	}
	if r.Named && f.Records != nil && !route.Idempotent(r.Method) {
		return f.once(ctx, r, body, trail)
	}
	return f.forward(ctx, r, body, trail)
}

// forward sends a request until it is answered or may not be sent again.
func (f *Forwarder) forward(ctx context.Context, r *pimento.Request, body io.Reader, trail *Trail) (pimento.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	again := &repeatable{src: body}
	try := Try{Number: 1}
	for {
		answer, err := f.try(ctx, r, again, &try, trail)
		if err == nil && answer.Body != nil {
			answer.Body = &endBody{ReadCloser: answer.Body, end: cancel}
			return answer, nil
		}
		if err == nil || !f.mayRepeat(ctx, r, again, try, err) {
			cancel()
			return answer, trail.overall(err)
		}
		if f.Observer != nil {
			f.Observer.Repeated(r, trail, err)
		}
		try.Number++
	}
}

// mayRepeat reports whether a request that failed may be sent once more.
func (f *Forwarder) mayRepeat(ctx context.Context, r *pimento.Request, body *repeatable, try Try, err error) bool {
	var out *pimento.OutcomeError
	if ctx.Err() != nil || !errors.As(err, &out) || !body.rewind() {
		return false
	}
	if try.Number >= r.Route.MaxAttempts {
		return false
	}
	if len(try.Avoid) < try.Number {
		return false // the dispatcher itself refused
	}
	return out.Outcome == pimento.OutcomeNotRun || r.Route.Idempotent(r.Method)
}

// try sends a request once.
func (f *Forwarder) try(ctx context.Context, r *pimento.Request, body io.Reader, try *Try, trail *Trail) (pimento.Answer, error) {
	asked := time.Now()
	permit, err := f.Dispatch.Acquire(ctx, r, *try)
	waited := time.Since(asked)
	trail.Waited += waited
	if err != nil {
		return pimento.Answer{}, err
	}
	try.Avoid = append(try.Avoid, permit.Upstream())
	answer, _, err := permit.Serve(ctx, r, body)
	if err == nil {
		answer, err = keep(answer)
	}
	trail.Tries = append(trail.Tries, Attempt{
		Upstream: permit.Upstream(), Basis: permit.Basis(), Waited: waited, Took: time.Since(asked) - waited, Err: err,
	})
	if err != nil || answer.Head.BodyLength >= 0 && answer.Head.BodyLength <= keepSize {
		permit.Done(err)
		return answer, err
	}
	answer.Body = &endBody{ReadCloser: answer.Body, end: func() { permit.Done(nil) }}
	return answer, nil
}

// keep reads a short answer whole. An answer without a length gets the one
// that it turned out to have.
func keep(answer pimento.Answer) (pimento.Answer, error) {
	if answer.Head.BodyLength > keepSize {
		return answer, nil
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, keepSize+1))
	if err == nil && answer.Head.BodyLength >= 0 && int64(len(text)) < answer.Head.BodyLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		answer.Body.Close()
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonUpstreamLost, "the answer broke off: "+err.Error())
	}
	if len(text) > keepSize {
		answer.Body = &joined{Reader: io.MultiReader(bytes.NewReader(text), answer.Body), Closer: answer.Body}
		return answer, nil
	}
	answer.Body.Close()
	answer.Head.BodyLength = int64(len(text))
	answer.Body = io.NopCloser(bytes.NewReader(text))
	return answer, nil
}

// joined reads from one place and closes another.
type joined struct {
	io.Reader
	io.Closer
}

// endBody runs a function when an answer's body is closed.
type endBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *endBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// repeatable keeps the beginning of a body, so that it can be read again.
type repeatable struct {
	src  io.Reader
	kept []byte
	pos  int  // in kept
	lost bool // more was read than is kept
}

// Read implements io.Reader.
func (b *repeatable) Read(p []byte) (int, error) {
	if b.pos < len(b.kept) {
		n := copy(p, b.kept[b.pos:])
		b.pos += n
		return n, nil
	}
	n, err := b.src.Read(p)
	if len(b.kept)+n > keepSize {
		b.lost = true
	}
	if !b.lost {
		b.kept = append(b.kept, p[:n]...)
		b.pos = len(b.kept)
	}
	return n, err
}

// rewind lets the body be read from its beginning, if all of it is kept.
func (b *repeatable) rewind() bool {
	b.pos = 0
	return !b.lost
}
