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

// step is what comes of one try: a refusal of the dispatcher, or the end of a
// request that was sent.
type step struct {
	refusal error
	err     error
}

// dispatcher goes through its steps.
type dispatcher struct {
	steps []step
	sent  int
	asked int
}

// Acquire implements Dispatcher.
func (d *dispatcher) Acquire(context.Context, *pimento.Request, Try) (Permit, error) {
	s := d.steps[d.asked]
	d.asked++
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
func (p *permit) Serve(_ context.Context, _ *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMark, error) {
	p.dispatcher.sent++
	if _, err := io.ReadAll(body); err != nil {
		return pimento.Answer{}, pimento.AnswerMark{}, err
	}
	if p.err != nil {
		return pimento.Answer{}, pimento.AnswerMark{}, p.err
	}
	head := pimento.AnswerHead{Status: http.StatusOK, Header: make(http.Header), BodyLength: 2}
	return pimento.Answer{Head: head, Body: io.NopCloser(strings.NewReader("ok"))}, pimento.AnswerMark{}, nil
}

func viewOf(kind pimento.RouteKind, attempts int) *View {
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

// trails keeps what an Observer is told.
type trails struct {
	repeated int
	ended    []Trail
}

func (t *trails) Repeated(*pimento.Request, *Trail, error) { t.repeated++ }
func (t *trails) Ended(_ *pimento.Request, trail *Trail, _ int, _ error) {
	t.ended = append(t.ended, *trail)
}

// TestRepeats holds which requests are sent again, and that a refusal as not
// run is true for every try.
func TestRepeats(t *testing.T) {
	full := step{err: pimento.NotRun(pimento.ReasonRefused, "full")}
	lost := step{err: pimento.Unknown(pimento.ReasonUpstreamLost, "reset")}
	turnedAway := pimento.NotRun(pimento.ReasonOverloaded, "no room")
	turnedAway.RetryAfter = 300 * time.Millisecond
	away := step{refusal: turnedAway}
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
		{"no more than the attempts", idempotent, 2, []step{lost, lost, ok}, 2, pimento.OutcomeUnknown, 0},
		{"turned away", once, 3, []step{away}, 0, pimento.OutcomeNotRun, 300 * time.Millisecond},
		{"turned away after it was not run", once, 3, []step{full, away}, 1, pimento.OutcomeNotRun, 300 * time.Millisecond},
		{"turned away after it may have run", idempotent, 3, []step{lost, away}, 1, pimento.OutcomeUnknown, 300 * time.Millisecond},
		{"not run after it may have run", idempotent, 2, []step{lost, full}, 2, pimento.OutcomeUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &dispatcher{steps: c.steps}
			seen := &trails{}
			f := &Forwarder{View: func() *View { return viewOf(c.kind, c.attempts) }, Dispatch: d, Observer: seen}
			r := &pimento.Request{ID: "1", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Second), BodyLength: 4}
			_, err := f.Handle(t.Context(), r, strings.NewReader("body"))
			is.Equal(d.sent, c.sent)
			is.Equal(len(seen.ended), 1)
			is.Equal(len(seen.ended[0].Tries), c.sent) // the log tells of each
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

// TestLongBodyIsSentOnce holds that a body that was not kept whole is not sent
// a second time in part.
func TestLongBodyIsSentOnce(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{steps: []step{{err: pimento.NotRun(pimento.ReasonRefused, "full")}, {}}}
	f := &Forwarder{View: func() *View { return viewOf(pimento.RouteUpload, 3) }, Dispatch: d}
	body := strings.Repeat("x", keepSize+1)
	r := &pimento.Request{Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Second), BodyLength: int64(len(body))}
	_, err := f.Handle(t.Context(), r, strings.NewReader(body))
	is.True(err != nil)
	is.Equal(d.sent, 1)
}

// TestRefusedAtOnce holds what needs no dispatcher.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := &pimento.Request{Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Second)}
	f := &Forwarder{View: func() *View { return nil }}
	_, err := f.Handle(t.Context(), r, http.NoBody)
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Status(), http.StatusServiceUnavailable) // a process without a manifest does not say 404
	is.True(out.RetryAfter > 0)
	f.View = func() *View { return &View{Manifest: &pimento.Manifest{}, Routes: pimento.NewRouteTable(nil)} }
	_, err = f.Handle(t.Context(), r, http.NoBody)
	is.True(errors.As(err, &out))
	is.Equal(out.Status(), http.StatusNotFound)
}
