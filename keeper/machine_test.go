package keeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const service pimento.ServiceName = "guidebook"

var (
	t0    = time.Unix(1_800_000_000, 0)
	runA  = pimento.Run{Upstream: "a", Started: t0.Add(-time.Hour)}
	runB  = pimento.Run{Upstream: "b", Started: t0.Add(-time.Hour)}
	all   = pimento.AllKeys
	upper = pimento.KeyRange{From: 32768, To: 65535}
)

// world is what a test tells the machine at each step.
type world struct {
	m       *Machine
	now     time.Time
	settled time.Time
	noAuth  bool
	ended   []pimento.Run
	unknown []pimento.Run
}

func newWorld() *world {
	return &world{m: New(DefaultTiming(10 * time.Second)), now: t0, settled: t0.Add(-time.Hour)}
}

func (w *world) input() Input {
	in := Input{Authority: w.now.Add(time.Second), Settled: w.settled}
	if w.noAuth {
		in.Authority = time.Time{}
	}
	has := func(list []pimento.Run, r pimento.Run) bool {
		for _, x := range list {
			if x.Same(r) {
				return true
			}
		}
		return false
	}
	in.Ended = func(r pimento.Run) bool { return has(w.ended, r) }
	in.Known = func(r pimento.Run) bool { return !has(w.unknown, r) }
	return in
}

func (w *world) step() []Call { return w.m.Step(w.now, w.input()) }

func (w *world) wait(d time.Duration) { w.now = w.now.Add(d) }

// adopt puts an assignment in force.
func (w *world) adopt(holdings ...pimento.Holding) {
	w.m.Adopt(w.now, &pimento.Assignment{Tables: []pimento.Table{{Service: service, Holdings: holdings}}})
}

// grantAll accepts every grant that is due.
func (w *world) grantAll(is *is.I) {
	is.Helper()
	for _, c := range w.step() {
		is.Equal(c.Kind, CallGrant)
		w.m.Granted(w.now, w.now, c, ResultAccepted)
	}
}

func held(r pimento.KeyRange, run pimento.Run, fence uint64) pimento.Holding {
	return pimento.Holding{KeyRange: r, Holder: run, Fence: fence}
}

func moved(r pimento.KeyRange, from, to pimento.Run, fence uint64) pimento.Holding {
	return pimento.Holding{KeyRange: r, Holder: to, Former: from, Fence: fence}
}

func TestRenewsInTime(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	is.Equal(len(w.step()), 0) // not due
	w.wait(w.m.timing.Renew)
	calls := w.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Grant, pimento.KeyGrant{Range: all, Fence: 1, Hold: w.m.timing.Hold}) // the same call again
	is.Equal(len(w.step()), 0)                                                              // one at a time
	is.True(w.m.States(w.now, w.input())[0].Ready)
}

func TestPlannedMove(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	lower := pimento.KeyRange{From: 0, To: 32767}
	w.adopt(held(lower, runA, 1), moved(upper, runA, runB, 2))

	calls := w.step()
	is.Equal(len(calls), 1) // nothing is granted to b before a has released
	is.Equal(calls[0].Kind, CallRelease)
	is.True(calls[0].Run.Same(runA))
	is.Equal(calls[0].Grant.Range, upper)
	is.Equal(calls[0].Grant.Fence, uint64(2)) // a sees the fence that refuses its older grants

	w.wait(300 * time.Millisecond)
	w.m.Released(w.now, calls[0], "handover", true)
	for _, c := range w.step() {
		is.Equal(c.Grant.Handover, "handover")
		is.True(c.Run.Same(runB))
		w.m.Granted(w.now, w.now, c, ResultAccepted)
	}
	states := w.m.States(w.now, w.input())
	is.True(states[0].Ready && states[1].Ready)
	is.True(states[1].Holder.Same(runB))
	w.wait(w.m.timing.Renew)
	for _, c := range w.step() {
		is.Equal(c.Grant.Handover, "") // handed over once
	}
}

// TestUnreachedFormerHolder holds that keys go on only when every grant that
// may have arrived has run out on a clock that runs 2% slow.
func TestUnreachedFormerHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result        // of the last grant
		lapse  time.Duration // after that grant
	}{
		{"accepted", ResultAccepted, 0},
		{"no answer", ResultUnknown, 500 * time.Millisecond},
		{"never sent", ResultUnsent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.adopt(held(all, runA, 1))
			w.grantAll(is)
			firstAt := w.now
			w.wait(w.m.timing.Renew)
			calls := w.step()
			is.Equal(len(calls), 1)
			sentAt := w.now
			w.wait(c.lapse)
			w.m.Granted(w.now, sentAt, calls[0], c.result)
			end := w.now
			if c.result == ResultUnsent {
				end = firstAt
			}
			mayHold := end.Add(w.m.timing.Hold + w.m.timing.Hold/50)

			w.unknown = []pimento.Run{runA}
			w.adopt(moved(all, runA, runB, 2))
			for w.now.Before(mayHold) {
				is.Equal(len(w.step()), 0) // a may still hold the keys
				w.wait(10 * time.Millisecond)
			}
			w.wait(2 * w.m.timing.Safety)
			next := w.step()
			is.Equal(len(next), 1)
			is.True(next[0].Run.Same(runB))
		})
	}
}

// TestGrantOnItsWayAtTheMove holds that a grant without a result counts as one
// that may still arrive.
func TestGrantOnItsWayAtTheMove(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	w.wait(w.m.timing.Renew)
	onItsWay := w.step()
	is.Equal(len(onItsWay), 1)
	is.True(w.m.Sending(w.now, onItsWay[0]))
	sentAt := w.now
	w.unknown = []pimento.Run{runA}
	w.adopt(moved(all, runA, runB, 2))
	w.wait(w.m.timing.Answer)
	w.m.Granted(w.now, sentAt, onItsWay[0], ResultUnknown)
	end := w.now.Add(w.m.timing.Hold)
	for w.now.Before(end) {
		is.Equal(len(w.step()), 0)
		w.wait(20 * time.Millisecond)
	}
	w.wait(w.m.timing.Hold)
	is.Equal(len(w.step()), 1)
}

// TestGrantWithoutAnswer holds that keys wait for a grant of their former holder
// whose answer has not come, and longer if its answer says late that it may have
// arrived only now.
func TestGrantWithoutAnswer(t *testing.T) {
	for name, late := range map[string]time.Duration{"none": 0, "late": 3 * DefaultTiming(time.Minute).Answer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.adopt(held(all, runA, 1))
			w.grantAll(is)
			w.wait(w.m.timing.Renew)
			onItsWay := w.step()
			is.True(w.m.Sending(w.now, onItsWay[0]))
			sentAt := w.now
			w.unknown = []pimento.Run{runA}
			w.adopt(moved(all, runA, runB, 2))
			arrival := w.now.Add(w.m.timing.Answer)
			if late > 0 {
				w.wait(late)
				w.m.Granted(w.now, sentAt, onItsWay[0], ResultUnknown)
				arrival = w.now
			}
			for end := arrival.Add(w.m.timing.Hold); w.now.Before(end); w.wait(20 * time.Millisecond) {
				is.Equal(len(w.step()), 0)
			}
			w.wait(w.m.timing.Hold)
			is.Equal(len(w.step()), 1)
		})
	}
}

// TestGrantThatWaitedIsNotSent holds that a grant that waited behind another
// one is dropped if its keys have gone on meanwhile.
func TestGrantThatWaitedIsNotSent(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	calls := w.step()
	w.adopt(moved(all, runA, runB, 2))
	is.True(!w.m.Sending(w.now, calls[0]))

	// Nor if only a part of them has gone on.
	w = newWorld()
	w.adopt(held(all, runA, 1))
	calls = w.step()
	w.adopt(held(pimento.KeyRange{From: 0, To: 32767}, runA, 1), moved(upper, runA, runB, 2))
	is.True(!w.m.Sending(w.now, calls[0]))
	w.m.Granted(w.now, w.now, calls[0], ResultUnsent)
	w.wait(w.m.timing.Retry)
	var ranges []pimento.KeyRange
	for _, c := range w.step() {
		if c.Kind == CallGrant && c.Run.Same(runA) {
			ranges = append(ranges, c.Grant.Range)
		}
	}
	is.Equal(ranges, []pimento.KeyRange{{From: 0, To: 32767}}) // what is left is renewed
}

// TestLateGrantMeetsAHigherFence holds that a former holder that is reached
// gets the new fence before the keys go on.
func TestLateGrantMeetsAHigherFence(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	w.wait(w.m.timing.Renew)
	late := w.step()
	w.m.Granted(w.now, w.now, late[0], ResultUnknown) // may be carried out seconds later
	w.adopt(moved(all, runA, runB, 2))
	calls := w.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Kind, CallRelease)
	w.m.Released(w.now, calls[0], "", false) // no answer
	is.Equal(len(w.step()), 0)
	w.wait(w.m.timing.Retry)
	again := w.step()
	is.Equal(len(again), 1)
	is.Equal(again[0].Kind, CallRelease)
	w.m.Released(w.now, again[0], "", true)
	grants := w.step()
	is.Equal(len(grants), 1)
	is.True(grants[0].Run.Same(runB))
}

func TestEndedRunIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	w.ended = []pimento.Run{runA}
	is.True(w.m.States(w.now, w.input())[0].Lost)
	is.True(w.m.States(w.now, w.input())[0].LapsesAt.IsZero())
	next := runA
	next.Started = t0
	w.adopt(moved(all, runA, next, 2)) // the next life of the same upstream
	calls := w.step()
	is.Equal(len(calls), 1)
	is.True(calls[0].Run.Same(next))
	is.Equal(calls[0].Grant.Fence, uint64(2))
}

// TestEarlierLeader holds that a new leader renews at once, but lets keys go
// on from a holder that it does not reach only after the authority of earlier
// leaders and their grants have run out.
func TestEarlierLeader(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settled = t0.Add(900 * time.Millisecond)
	w.adopt(held(pimento.KeyRange{From: 0, To: 32767}, runA, 1), moved(upper, runA, runB, 2))
	w.unknown = []pimento.Run{runA}
	is.Equal(len(w.step()), 0) // a may hold the upper keys by a grant of the earlier leader
	w.unknown = nil
	calls := w.step()
	is.Equal(len(calls), 2)
	is.Equal(calls[0].Kind, CallGrant)
	is.Equal(calls[1].Kind, CallRelease)
	w.m.Granted(w.now, w.now, calls[0], ResultAccepted)
	w.unknown = []pimento.Run{runA}
	end := w.settled.Add(w.m.timing.Hold)
	for w.now.Before(end) {
		for _, c := range w.step() {
			is.True(c.Run.Same(runA) || c.Kind == CallRelease)
		}
		w.wait(20 * time.Millisecond)
	}
	w.wait(time.Second)
	calls = w.step()
	is.Equal(len(calls), 1)
	is.True(calls[0].Run.Same(runB))
}

func TestNoCallsWithoutAuthority(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.noAuth = true
	is.Equal(len(w.step()), 0)
	w.noAuth = false
	is.Equal(len(w.step()), 1)
}

// TestSilentHolderIsGivenUp holds that no more grants go to a run that does
// not answer, since each lengthens the wait, and that it is taken up again.
func TestSilentHolderIsGivenUp(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	w.wait(w.m.timing.Renew)
	calls := w.step()
	w.wait(w.m.timing.Answer)
	w.m.Granted(w.now, w.now.Add(-w.m.timing.Answer), calls[0], ResultUnknown)
	is.True(w.m.States(w.now, w.input())[0].Lost)
	is.Equal(len(w.m.LostRuns()), 1)
	w.wait(w.m.timing.Renew)
	is.Equal(len(w.step()), 0)
	w.m.Reached(w.now, runA)
	is.Equal(len(w.step()), 1)
}

// TestFencedHolder holds that a holder that has seen a higher fence is told of,
// and that the refused grant lengthens no wait.
func TestFencedHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	calls := w.step()
	w.m.Granted(w.now, w.now, calls[0], ResultFenced)
	s := w.m.States(w.now, w.input())[0]
	is.True(s.Fenced)
	is.True(!s.Ready)
	is.True(!s.Lost)
}

// TestPiecesKeepTheirState holds that a holding that is cut stays granted.
func TestPiecesKeepTheirState(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	w.adopt(
		held(pimento.KeyRange{From: 0, To: 99}, runA, 1),
		moved(pimento.KeyRange{From: 100, To: 111}, runA, runB, 2),
		held(pimento.KeyRange{From: 112, To: 65535}, runA, 1),
	)
	states := w.m.States(w.now, w.input())
	is.True(states[0].Ready)
	is.True(!states[1].Ready)
	is.True(states[2].Ready)
	w.wait(w.m.timing.Renew)
	var ranges []pimento.KeyRange
	for _, c := range w.step() {
		if c.Kind == CallGrant {
			ranges = append(ranges, c.Grant.Range)
		}
	}
	is.Equal(ranges, []pimento.KeyRange{{From: 0, To: 99}, {From: 112, To: 65535}})
}

// TestFormerIsDroppedOnce holds that the assignment may drop a former holder
// only when it holds nothing.
func TestFormerIsDroppedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.adopt(held(all, runA, 1))
	w.grantAll(is)
	h := moved(all, runA, runB, 2)
	w.adopt(h)
	is.True(!w.m.Settled(service, h))
	calls := w.step()
	w.m.Released(w.now, calls[0], "x", true)
	is.True(w.m.Settled(service, h))
	w.adopt(held(all, runB, 2))
	calls = w.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Grant.Handover, "x") // what was handed over is not lost with it
}
