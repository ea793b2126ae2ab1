package admitter

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/avoider"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
)

// setService passes all processes the state with another service "s".
func (n *network) setService(s pimento.Service) {
	for _, a := range n.nodes {
		a.mu.Lock()
		next := *a.state
		a.mu.Unlock()
		next.Services = []pimento.Service{s}
		if s.Sharing == pimento.SharingKeyed {
			next.Owners = map[pimento.ServiceName][]scheduler.Owner{"s": {{KeyRange: pimento.AllKeys, Upstream: "u", Ready: true}}}
		}
		a.Update(&next)
	}
}

// hear makes a process get an answer of upstream u, with the given metadata.
func (n *network) hear(t *testing.T, id pimento.ProcessID, m pimento.AnswerMetadata) {
	t.Helper()
	s, ok := n.nodes[id].server("u")
	if !ok {
		t.Fatal("u is not known")
	}
	n.nodes[id].observeNotice(s, timekeeper.Now(), m)
}

func pauseOf(d time.Duration) pimento.AnswerMetadata {
	return pimento.AnswerMetadata{Pause: pimento.PauseNotice{Named: true, For: d}}
}

var saysLeaving = pimento.AnswerMetadata{Leaving: true}

// TestPauseBindsOneProcess guards against a pause that stops the processes to which the
// upstream has not named it, and against one that its process does not obey.
func TestPauseBindsOneProcess(t *testing.T) {
	for _, sharing := range []pimento.Sharing{"", pimento.SharingKeyed} {
		for _, id := range []pimento.ProcessID{"a", "b"} { // the dispatcher and another one
			is := is.New(t)
			n := newNetwork(t)
			n.setService(pimento.Service{Name: "s", Sharing: sharing})
			n.hear(t, id, pauseOf(30*time.Second))
			_, err := n.acquire(t, id)
			var out *pimento.OutcomeError
			is.True(errors.As(err, &out))
			is.Equal(out.Outcome, pimento.OutcomeNotRun)
			is.True(out.RetryAfter > 29*time.Second)
			n.mustAcquire(t, "c")
			n.setState(time.Now().Add(time.Millisecond)) // it starts anew
			n.setService(pimento.Service{Name: "s", Sharing: sharing})
			n.mustAcquire(t, id)
		}
	}
}

// TestWaitingRequestsHearOfPause guards against requests that wait at the dispatcher, until
// their deadline, for an upstream that wants nothing from their process.
func TestWaitingRequestsHearOfPause(t *testing.T) {
	for _, id := range []pimento.ProcessID{"a", "b"} {
		is := is.New(t)
		n := newNetwork(t)
		n.setService(pimento.Service{Name: "s", Sharing: pimento.SharingKeyed})
		first, _ := n.mustAcquire(t, id)
		n.mustAcquire(t, "c")
		ended := make(map[pimento.ProcessID]chan error)
		for i, from := range []pimento.ProcessID{id, "c"} {
			result := make(chan error, 1)
			ended[from] = result
			go func() {
				_, err := n.acquire(t, from)
				result <- err
			}()
			for n.nodes["a"].Waiting() <= i {
				time.Sleep(time.Millisecond)
			}
		}
		n.hear(t, id, pauseOf(30*time.Second))
		first.(*permit).result = scheduler.Result{Kind: scheduler.ResultRefused}
		first.Done(nil)
		var out *pimento.OutcomeError
		is.True(errors.As(<-ended[id], &out))
		is.True(out.RetryAfter > 29*time.Second)
		is.NoErr(<-ended["c"]) // gets the slot
	}
}

// TestPermitOfUninformedDispatcher guards against a request that is sent on a permit whose
// dispatcher does not know what the upstream has told this process, and against such a
// permit that is never given back.
func TestPermitOfUninformedDispatcher(t *testing.T) {
	for _, m := range []pimento.AnswerMetadata{pauseOf(30 * time.Second), saysLeaving} {
		is := is.New(t)
		n := newNetwork(t)
		p, by := n.mustAcquire(t, "b")
		is.Equal(by, pimento.ProcessID("a"))
		n.hear(t, "b", m)
		ctx := t.Context()
		_, _, err := p.Serve(ctx, request(testTimeout), nil)
		var out *pimento.OutcomeError
		is.True(errors.As(err, &out))
		is.Equal(out.Outcome, pimento.OutcomeNotRun)
		is.Equal(out.Reason, pimento.ReasonAvoided)
		is.True(out.RetryAfter > 0)
		is.Equal(p.(*permit).result.Kind, scheduler.ResultCanceled)
		p.Done(err)
		is.Equal(n.nodes["a"].pools[poolKey{service: "s"}].machine.Running(), 0)
	}
}

// TestLeavingIsToldOn guards against processes that learn from their own answers alone that
// an upstream leaves, and against news that is told once and lost.
func TestLeavingIsToldOn(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	p, _ := n.mustAcquire(t, "b")
	n.hear(t, "b", saysLeaving)
	p.(*permit).result = scheduler.Result{Kind: scheduler.ResultAnswered}
	p.Done(nil)
	_, err := n.acquire(t, "c")
	is.True(err != nil) // the dispatcher knows it
	run := pimento.Run{Upstream: "u", Started: time.Unix(1, 0)}
	for range 3 {
		is.Equal(n.nodes["b"].Report(1).Leaving, []pimento.Run{run})
	}
	n.setLeaving()
	is.Equal(len(n.nodes["b"].Report(1).Leaving), 0)
}

// setLeaving passes all processes the state in which upstream u leaves.
func (n *network) setLeaving() {
	for _, a := range n.nodes {
		a.mu.Lock()
		next := *a.state
		a.mu.Unlock()
		u := next.Upstreams[0]
		u.State, u.Usable = pimento.StateLeaving, false
		next.Upstreams = []scheduler.Upstream{u}
		a.Update(&next)
	}
}

// TestProbesPauseAndGrantsGoOn guards against probes of an upstream that wants nothing,
// and against keys that lapse there.
func TestProbesPauseAndGrantsGoOn(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a := n.nodes["a"]
	a.Wire = fakeWire{}
	s, _ := a.server("u")
	n.hear(t, "a", pauseOf(30*time.Second))
	var unreachable *pimento.UnreachableError
	err := a.Probe(t.Context(), s, "/healthz")
	is.True(errors.Is(err, errPaused))
	is.True(errors.As(err, &unreachable))
	is.True(unreachable.Unsent)
	err = a.Grant(t.Context(), s, pimento.KeyGrant{})
	is.True(err != nil) // nobody listens there
	is.True(!errors.Is(err, errPaused))
	paused := a.Report(1).Paused
	is.Equal(len(paused), 1)
	is.True(paused[0].Left > 29*time.Second)
}

// fakeWire is a wire whose calls do not matter.
type fakeWire struct{ pimento.UpstreamWire }

// Grant implements pimento.UpstreamWire.
func (fakeWire) Grant(pimento.KeyGrant) (string, []byte) { return "/", nil }

// TestFaultyPauseIsReportedOnce guards against one log line for each answer of a faulty
// upstream, and against a pause that it does not name.
func TestFaultyPauseIsReportedOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	var got []avoider.Change
	n.nodes["b"].OnNotice = func(c avoider.Change) { got = append(got, c) }
	for range 5 {
		n.hear(t, "b", pimento.AnswerMetadata{Pause: pimento.PauseNotice{Invalid: `"-1"`}})
	}
	is.Equal(len(got), 1)
	is.Equal(got[0].Kind, avoider.ChangeInvalid)
	n.mustAcquire(t, "b")
}

// TestPermitForUpstreamThatIsOut guards against a request that is sent to an upstream which
// takes no new work, as its process knows and the dispatcher does not yet.
func TestPermitForUpstreamThatIsOut(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	p, _ := n.mustAcquire(t, "b")
	b := n.nodes["b"]
	b.mu.Lock()
	next := *b.state
	b.mu.Unlock()
	next.Upstreams = slices.Clone(next.Upstreams)
	next.Upstreams[0].Usable = false
	b.Update(&next)
	_, _, err := p.Serve(t.Context(), request(testTimeout), nil)
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Reason, pimento.ReasonAvoided)
	p.Done(err)
	n.mustAcquire(t, "c") // the dispatcher knows nothing of it
	_, err = b.Acquire(t.Context(), request(testTimeout), forwarder.AttemptState{Number: 1, Again: true})
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
}

// TestPermitForUpstreamThatIsGone guards against a request that is sent to a run which is
// not registered any more, as its process knows and the dispatcher does not yet.
func TestPermitForUpstreamThatIsGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		states func(u scheduler.Upstream) [][]scheduler.Upstream // that the process hears of after it got the permit
		sent   bool
	}{
		{"registered", func(u scheduler.Upstream) [][]scheduler.Upstream { return [][]scheduler.Upstream{{u}} }, true},
		{"gone", func(scheduler.Upstream) [][]scheduler.Upstream { return [][]scheduler.Upstream{nil} }, false},
		{"gone for some time", func(scheduler.Upstream) [][]scheduler.Upstream { return [][]scheduler.Upstream{nil, nil, nil} }, false},
		{"has started anew", func(u scheduler.Upstream) [][]scheduler.Upstream {
			u.Started = u.Started.Add(time.Hour)
			return [][]scheduler.Upstream{{u}}
		}, false},
		{"registered again", func(u scheduler.Upstream) [][]scheduler.Upstream { return [][]scheduler.Upstream{nil, {u}} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t)
			p, _ := n.mustAcquire(t, "b")
			b := n.nodes["b"]
			b.mu.Lock()
			state := *b.state
			b.mu.Unlock()
			u := state.Upstreams[0]
			for _, list := range c.states(u) {
				next := state
				next.Upstreams = list
				b.Update(&next)
			}
			isSent := func(err error) bool {
				var out *pimento.OutcomeError
				return !errors.As(err, &out) || out.Reason != pimento.ReasonAvoided
			}
			is.Equal(isSent(b.checkSend(u.Server)), c.sent)
			if c.sent {
				return
			}
			_, _, err := p.Serve(t.Context(), request(testTimeout), nil)
			is.True(!isSent(err))
			p.Done(err)
			is.Equal(p.(*permit).result.Kind, scheduler.ResultCanceled)
			is.Equal(b.barred("s", true), []scheduler.Bar{{Upstream: "u", Started: u.Started}}) // for the next attempt
		})
	}
}

// TestUnknownRunIsNoGoneRun checks that a request is sent to a run that its process does not
// know yet.
func TestUnknownRunIsNoGoneRun(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	s, _ := n.nodes["b"].server("u")
	is.NoErr(n.nodes["b"].checkSend(s))
	s.Started = s.Started.Add(time.Hour)
	is.NoErr(n.nodes["b"].checkSend(s))
	s.Name = "new"
	is.NoErr(n.nodes["b"].checkSend(s))
}
