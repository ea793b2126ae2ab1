package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// step is the result of one attempt: a refusal by the dispatcher, or the end of
// a request that was sent.
type step struct {
	refusal error
	err     error
}

// dispatcher returns its steps in order.
type dispatcher struct {
	steps    []step
	sent     int
	acquired int // permits requested
}

// Acquire implements Dispatcher.
func (d *dispatcher) Acquire(context.Context, *pimento.Request, AttemptState) (Permit, error) {
	s := d.steps[d.acquired]
	d.acquired++
	if s.refusal != nil {
		return nil, s.refusal
	}
	return &permit{dispatcher: d, err: s.err}, nil
}

type permit struct {
	dispatcher *dispatcher
	err        error
}

func (p *permit) Upstream() pimento.UpstreamName { return "u" }
func (p *permit) Basis() Basis                   { return Basis{Dispatcher: "d"} }
func (p *permit) Done(error)                     {}
func (p *permit) Serve(_ context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	if r.Check != nil {
		if err := r.Check(); err != nil {
			return pimento.Answer{}, pimento.AnswerMetadata{}, err
		}
	}
	p.dispatcher.sent++
	if _, err := io.ReadAll(body); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, err
	}
	if p.err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, p.err
	}
	head := pimento.AnswerHead{Status: http.StatusOK, Header: make(http.Header), BodyLength: 2}
	return pimento.Answer{Head: head, Body: io.NopCloser(strings.NewReader("ok"))}, pimento.AnswerMetadata{}, nil
}

func newView(kind pimento.RouteKind, attempts int) *View {
	m := &pimento.Manifest{
		Version:  7,
		Services: []pimento.Service{{Name: "s"}},
		Routes: []pimento.Route{{
			Name: "r", Prefix: "/", Kind: kind, MaxAttempts: attempts, Timeout: time.Second, Goal: 200 * time.Millisecond,
			Targets: []pimento.Target{{Service: "s", Weight: 1}},
		}},
	}
	return &View{Manifest: m, Routes: pimento.NewRouteTable(m.Routes)}
}

// traceRecorder implements Observer.
type traceRecorder struct {
	retried int
	ended   []Trace
}

func (t *traceRecorder) Retried(*pimento.Request, *Trace, error) { t.retried++ }
func (t *traceRecorder) Ended(_ *pimento.Request, trace *Trace, _ int, _ error) {
	t.ended = append(t.ended, *trace)
}

// TestRepeats checks which requests are sent again, and that NotRun is returned
// only if no attempt can have run.
func TestRepeats(t *testing.T) {
	full := step{err: pimento.NotRun(pimento.ReasonRefused, "full")}
	lost := step{err: pimento.Unknown(pimento.ReasonUpstreamLost, "reset")}
	overloaded := pimento.NotRun(pimento.ReasonOverloaded, "no room")
	overloaded.RetryAfter = 300 * time.Millisecond
	refused := step{refusal: overloaded}
	ok := step{}
	idempotent, once := pimento.RouteIdempotent, pimento.RouteOnce
	for _, c := range []struct {
		name     string
		kind     pimento.RouteKind
		attempts int
		steps    []step
		sent     int
		outcome  pimento.Outcome
		after    time.Duration
	}{
		{"answered", once, 3, []step{ok}, 1, pimento.OutcomeAnswered, 0},
		{"not run, so again", once, 3, []step{full, ok}, 2, pimento.OutcomeAnswered, 0},
		{"may have run, so not again", once, 3, []step{lost, ok}, 1, pimento.OutcomeUnknown, 0},
		{"may have run, but idempotent", idempotent, 3, []step{lost, ok}, 2, pimento.OutcomeAnswered, 0},
		{"no attempts left", idempotent, 2, []step{lost, lost, ok}, 2, pimento.OutcomeUnknown, 0},
		{"refused", once, 3, []step{refused}, 0, pimento.OutcomeNotRun, 300 * time.Millisecond},
		{"refused after it was not run", once, 3, []step{full, refused}, 1, pimento.OutcomeNotRun, 300 * time.Millisecond},
		{"refused after it may have run", idempotent, 3, []step{lost, refused}, 1, pimento.OutcomeUnknown, 300 * time.Millisecond},
		{"not run after it may have run", idempotent, 2, []step{lost, full}, 2, pimento.OutcomeUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &dispatcher{steps: c.steps}
			seen := &traceRecorder{}
			f := &Forwarder{View: func() *View { return newView(c.kind, c.attempts) }, Dispatcher: d, Observer: seen}
			r := &pimento.Request{ID: "1", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Second), BodyLength: 4}
			_, err := f.Handle(t.Context(), r, strings.NewReader("body"))
			is.Equal(d.sent, c.sent)
			is.Equal(len(seen.ended), 1)
			is.Equal(len(seen.ended[0].Attempts), c.sent) // the log names each
			is.Equal(seen.ended[0].Manifest, uint64(7))
			if c.outcome == pimento.OutcomeAnswered {
				is.NoErr(err)
				return
			}
			var out *pimento.OutcomeError
			is.True(errors.As(err, &out))
			is.Equal(out.Outcome, c.outcome)
			is.Equal(out.RetryAfter, c.after)
		})
	}
}

// TestLongBodyIsSentOnce checks that a body too long to buffer is not sent a
// second time in part.
func TestLongBodyIsSentOnce(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{steps: []step{{err: pimento.NotRun(pimento.ReasonRefused, "full")}, {}}}
	f := &Forwarder{View: func() *View { return newView(pimento.RouteUpload, 3) }, Dispatcher: d}
	body := strings.Repeat("x", maxBufferedBody+1)
	r := &pimento.Request{Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Second), BodyLength: int64(len(body))}
	_, err := f.Handle(t.Context(), r, strings.NewReader(body))
	is.True(err != nil)
	is.Equal(d.sent, 1)
}

// TestRefusedAtOnce checks the refusals that need no dispatcher.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := &pimento.Request{Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Second)}
	f := &Forwarder{View: func() *View { return nil }}
	_, err := f.Handle(t.Context(), r, http.NoBody)
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Status(), http.StatusServiceUnavailable) // a process without a manifest must not answer 404
	is.True(out.RetryAfter > 0)
	f.View = func() *View { return &View{Manifest: &pimento.Manifest{}, Routes: pimento.NewRouteTable(nil)} }
	_, err = f.Handle(t.Context(), r, http.NoBody)
	is.True(errors.As(err, &out))
	is.Equal(out.Status(), http.StatusNotFound)
}

// TestTimeoutCountsFromTheArrival guards against a route's timeout that begins only
// once the start of a slow body has been read.
func TestTimeoutCountsFromTheArrival(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{steps: []step{{}}}
	f := &Forwarder{View: func() *View { return newView(pimento.RouteUpload, 1) }, Dispatcher: d}
	arrived := time.Now().Add(-400 * time.Millisecond)
	r := &pimento.Request{ID: "x", Method: http.MethodPost, Path: "/a/x", ArrivedAt: arrived, Deadline: arrived.Add(time.Hour)}
	_, _ = f.Handle(t.Context(), r, http.NoBody) // only its deadline is of interest
	is.Equal(r.Deadline, arrived.Add(f.View().Manifest.Routes[0].Timeout))
}
