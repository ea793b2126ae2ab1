package keeper

import (
	"slices"
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

// simulation is a machine with the clock and the input of its steps.
type simulation struct {
	m              *Machine
	now            time.Time
	settled        time.Time
	noAuthority    bool
	ended          []pimento.Run
	addressUnknown []pimento.Run
	upstreams      []pimento.Run // of the service; nil: not all are known
}

func newSimulation() *simulation {
	return &simulation{m: New(DefaultTiming(10 * time.Second)), now: t0, settled: t0.Add(-time.Hour)}
}

func (sim *simulation) input() Input {
	in := Input{Authority: sim.now.Add(time.Second), Settled: sim.settled}
	if sim.noAuthority {
		in.Authority = time.Time{}
	}
	contains := func(list []pimento.Run, r pimento.Run) bool {
		for _, x := range list {
			if x.Same(r) {
				return true
			}
		}
		return false
	}
	in.Upstreams = func(pimento.ServiceName) ([]pimento.Run, bool) { return sim.upstreams, sim.upstreams != nil }
	in.Ended = func(r pimento.Run) bool { return contains(sim.ended, r) }
	in.AddressKnown = func(r pimento.Run) bool { return !contains(sim.addressUnknown, r) }
	in.UpstreamKnown = func(name pimento.UpstreamName) bool {
		return !slices.ContainsFunc(sim.addressUnknown, func(r pimento.Run) bool { return r.Upstream == name })
	}
	return in
}

func (sim *simulation) step() []Call { return sim.m.Step(sim.now, sim.input()) }

func (sim *simulation) advance(d time.Duration) { sim.now = sim.now.Add(d) }

// adopt gives the machine an assignment with these holdings.
func (sim *simulation) adopt(holdings ...pimento.Holding) {
	sim.m.Adopt(sim.now, &pimento.Assignment{Tables: []pimento.Table{{Service: service, Holdings: holdings}}})
}

// acceptGrants accepts every grant that is due.
func (sim *simulation) acceptGrants(is *is.I) {
	is.Helper()
	for _, c := range sim.step() {
		is.Equal(c.Kind, CallGrant)
		sim.m.HandleGrantResult(sim.now, sim.now, c, ResultAccepted)
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
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	is.Equal(len(sim.step()), 0) // not due
	sim.advance(sim.m.timing.Renew)
	calls := sim.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Grant, pimento.KeyGrant{Range: all, Fence: 1, Hold: sim.m.timing.Hold}) // the same call again
	is.Equal(len(sim.step()), 0)                                                              // one at a time
	is.True(sim.m.States(sim.now, sim.input())[0].Ready)
}

func TestPlannedMove(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	lower := pimento.KeyRange{From: 0, To: 32767}
	sim.adopt(held(lower, runA, 1), moved(upper, runA, runB, 2))

	calls := sim.step()
	is.Equal(len(calls), 1) // nothing is granted to b before a has released
	is.Equal(calls[0].Kind, CallRelease)
	is.True(calls[0].Run.Same(runA))
	is.Equal(calls[0].Grant.Range, upper)
	is.Equal(calls[0].Grant.Fence, uint64(2)) // a sees the fence that refuses its older grants

	sim.advance(300 * time.Millisecond)
	sim.m.HandleReleaseResult(sim.now, calls[0], "handover", true)
	for _, c := range sim.step() {
		is.Equal(c.Grant.Handover, "handover")
		is.True(c.Run.Same(runB))
		sim.m.HandleGrantResult(sim.now, sim.now, c, ResultAccepted)
	}
	states := sim.m.States(sim.now, sim.input())
	is.True(states[0].Ready && states[1].Ready)
	is.True(states[1].Holder.Same(runB))
	sim.advance(sim.m.timing.Renew)
	for _, c := range sim.step() {
		is.Equal(c.Grant.Handover, "") // handed over once
	}
}

// TestUnreachedFormerHolder checks that the keys of an unreachable holder move
// only when every grant that may have arrived has expired on a clock that runs 2%
// slow. Otherwise two upstreams hold the same keys.
func TestUnreachedFormerHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result        // of the last grant
		delay  time.Duration // from that grant to its result
	}{
		{"accepted", ResultAccepted, 0},
		{"no answer", ResultUnknown, 500 * time.Millisecond},
		{"never sent", ResultUnsent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation()
			sim.adopt(held(all, runA, 1))
			sim.acceptGrants(is)
			firstSentAt := sim.now
			sim.advance(sim.m.timing.Renew)
			calls := sim.step()
			is.Equal(len(calls), 1)
			sentAt := sim.now
			sim.advance(c.delay)
			sim.m.HandleGrantResult(sim.now, sentAt, calls[0], c.result)
			end := sim.now
			if c.result == ResultUnsent {
				end = firstSentAt
			}
			mayHoldUntil := end.Add(sim.m.timing.Hold + sim.m.timing.Hold/50)

			sim.addressUnknown = []pimento.Run{runA}
			sim.adopt(moved(all, runA, runB, 2))
			for sim.now.Before(mayHoldUntil) {
				is.Equal(len(sim.step()), 0) // a may still hold the keys
				sim.advance(10 * time.Millisecond)
			}
			sim.advance(2 * sim.m.timing.Safety)
			next := sim.step()
			is.Equal(len(next), 1)
			is.True(next[0].Run.Same(runB))
		})
	}
}

// TestGrantInFlightDuringMove checks that a grant without a result counts as one
// that may still arrive.
func TestGrantInFlightDuringMove(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	sim.advance(sim.m.timing.Renew)
	inFlight := sim.step()
	is.Equal(len(inFlight), 1)
	is.True(sim.m.BeginGrant(sim.now, inFlight[0]))
	sentAt := sim.now
	sim.addressUnknown = []pimento.Run{runA}
	sim.adopt(moved(all, runA, runB, 2))
	sim.advance(sim.m.timing.AnswerTimeout)
	sim.m.HandleGrantResult(sim.now, sentAt, inFlight[0], ResultUnknown)
	end := sim.now.Add(sim.m.timing.Hold)
	for sim.now.Before(end) {
		is.Equal(len(sim.step()), 0)
		sim.advance(20 * time.Millisecond)
	}
	sim.advance(sim.m.timing.Hold)
	is.Equal(len(sim.step()), 1)
}

// TestGrantWithoutAnswer checks that keys do not move before a grant to their
// former holder that has no result has expired, and move later still if its late
// result says that it may have arrived only now.
func TestGrantWithoutAnswer(t *testing.T) {
	for name, late := range map[string]time.Duration{"none": 0, "late": 3 * DefaultTiming(time.Minute).AnswerTimeout} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation()
			sim.adopt(held(all, runA, 1))
			sim.acceptGrants(is)
			sim.advance(sim.m.timing.Renew)
			inFlight := sim.step()
			is.True(sim.m.BeginGrant(sim.now, inFlight[0]))
			sentAt := sim.now
			sim.addressUnknown = []pimento.Run{runA}
			sim.adopt(moved(all, runA, runB, 2))
			arrival := sim.now.Add(sim.m.timing.AnswerTimeout)
			if late > 0 {
				sim.advance(late)
				sim.m.HandleGrantResult(sim.now, sentAt, inFlight[0], ResultUnknown)
				arrival = sim.now
			}
			for end := arrival.Add(sim.m.timing.Hold); sim.now.Before(end); sim.advance(20 * time.Millisecond) {
				is.Equal(len(sim.step()), 0)
			}
			sim.advance(sim.m.timing.Hold)
			is.Equal(len(sim.step()), 1)
		})
	}
}

// TestGrantThatWaitedIsNotSent checks that a grant that was queued behind another
// one is dropped if its keys have moved meanwhile. Otherwise two upstreams hold
// them.
func TestGrantThatWaitedIsNotSent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	calls := sim.step()
	sim.adopt(moved(all, runA, runB, 2))
	is.True(!sim.m.BeginGrant(sim.now, calls[0]))

	// The same if only a part of the keys has moved.
	sim = newSimulation()
	sim.adopt(held(all, runA, 1))
	calls = sim.step()
	sim.adopt(held(pimento.KeyRange{From: 0, To: 32767}, runA, 1), moved(upper, runA, runB, 2))
	is.True(!sim.m.BeginGrant(sim.now, calls[0]))
	sim.m.HandleGrantResult(sim.now, sim.now, calls[0], ResultUnsent)
	sim.advance(sim.m.timing.Retry)
	var ranges []pimento.KeyRange
	for _, c := range sim.step() {
		if c.Kind == CallGrant && c.Run.Same(runA) {
			ranges = append(ranges, c.Grant.Range)
		}
	}
	is.Equal(ranges, []pimento.KeyRange{{From: 0, To: 32767}}) // the remaining keys are renewed
}

// TestMoveWaitsForRelease checks that a former holder that can be reached gets the
// new fence before the keys are granted to another, so that it refuses a grant
// that arrives late. The release is retried until it is answered.
func TestMoveWaitsForRelease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	sim.advance(sim.m.timing.Renew)
	late := sim.step()
	sim.m.HandleGrantResult(sim.now, sim.now, late[0], ResultUnknown) // may be carried out seconds later
	sim.adopt(moved(all, runA, runB, 2))
	calls := sim.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Kind, CallRelease)
	sim.m.HandleReleaseResult(sim.now, calls[0], "", false) // no answer
	is.Equal(len(sim.step()), 0)
	sim.advance(sim.m.timing.Retry)
	again := sim.step()
	is.Equal(len(again), 1)
	is.Equal(again[0].Kind, CallRelease)
	sim.m.HandleReleaseResult(sim.now, again[0], "", true)
	grants := sim.step()
	is.Equal(len(grants), 1)
	is.True(grants[0].Run.Same(runB))
}

func TestEndedRunIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	sim.ended = []pimento.Run{runA}
	is.True(sim.m.States(sim.now, sim.input())[0].Lost)
	is.True(sim.m.States(sim.now, sim.input())[0].LapsesAt.IsZero())
	next := runA
	next.Started = t0
	sim.adopt(moved(all, runA, next, 2)) // the next run of the same upstream
	calls := sim.step()
	is.Equal(len(calls), 1)
	is.True(calls[0].Run.Same(next))
	is.Equal(calls[0].Grant.Fence, uint64(2))
}

// TestGrantsOfEarlierLeaderExpireFirst checks that a new leader renews at once,
// but moves keys from a holder that it cannot reach only after the authority of
// earlier leaders has lapsed and their grants have expired.
func TestGrantsOfEarlierLeaderExpireFirst(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.settled = t0.Add(900 * time.Millisecond)
	sim.adopt(held(pimento.KeyRange{From: 0, To: 32767}, runA, 1), moved(upper, runA, runB, 2))
	sim.addressUnknown = []pimento.Run{runA}
	is.Equal(len(sim.step()), 0) // a may hold the upper keys by a grant of an earlier leader
	sim.addressUnknown = nil
	calls := sim.step()
	is.Equal(len(calls), 2)
	is.Equal(calls[0].Kind, CallGrant)
	is.Equal(calls[1].Kind, CallRelease)
	sim.m.HandleGrantResult(sim.now, sim.now, calls[0], ResultAccepted)
	sim.addressUnknown = []pimento.Run{runA}
	end := sim.settled.Add(sim.m.timing.Hold)
	for sim.now.Before(end) {
		for _, c := range sim.step() {
			is.True(c.Run.Same(runA) || c.Kind == CallRelease)
		}
		sim.advance(20 * time.Millisecond)
	}
	sim.advance(time.Second)
	calls = sim.step()
	is.Equal(len(calls), 1)
	is.True(calls[0].Run.Same(runB))
}

func TestNoCallsWithoutAuthority(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.noAuthority = true
	is.Equal(len(sim.step()), 0)
	sim.noAuthority = false
	is.Equal(len(sim.step()), 1)
}

// TestSilentHolderIsGivenUp checks that no more grants are sent to a run that does
// not answer, since each postpones the move of its keys, and that they resume once
// it answers.
func TestSilentHolderIsGivenUp(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	sim.advance(sim.m.timing.Renew)
	calls := sim.step()
	sim.advance(sim.m.timing.AnswerTimeout)
	sim.m.HandleGrantResult(sim.now, sim.now.Add(-sim.m.timing.AnswerTimeout), calls[0], ResultUnknown)
	is.True(sim.m.States(sim.now, sim.input())[0].Lost)
	is.Equal(len(sim.m.LostRuns()), 1)
	sim.advance(sim.m.timing.Renew)
	is.Equal(len(sim.step()), 0)
	sim.m.MarkReachable(sim.now, runA)
	is.Equal(len(sim.step()), 1)
}

// TestFencedHolder checks that a holder that has seen a higher fence is reported
// as fenced, and neither as ready nor as lost.
func TestFencedHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	calls := sim.step()
	sim.m.HandleGrantResult(sim.now, sim.now, calls[0], ResultFenced)
	s := sim.m.States(sim.now, sim.input())[0]
	is.True(s.Fenced)
	is.True(!s.Ready)
	is.True(!s.Lost)
}

// TestSplitHoldingKeepsState checks that the pieces of a split holding stay
// granted.
func TestSplitHoldingKeepsState(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	sim.adopt(
		held(pimento.KeyRange{From: 0, To: 99}, runA, 1),
		moved(pimento.KeyRange{From: 100, To: 111}, runA, runB, 2),
		held(pimento.KeyRange{From: 112, To: 65535}, runA, 1),
	)
	states := sim.m.States(sim.now, sim.input())
	is.True(states[0].Ready)
	is.True(!states[1].Ready)
	is.True(states[2].Ready)
	sim.advance(sim.m.timing.Renew)
	var ranges []pimento.KeyRange
	for _, c := range sim.step() {
		if c.Kind == CallGrant {
			ranges = append(ranges, c.Grant.Range)
		}
	}
	is.Equal(ranges, []pimento.KeyRange{{From: 0, To: 99}, {From: 112, To: 65535}})
}

// TestFormerHolderDroppedAfterRelease checks that the assignment may drop a former
// holder only once it has released the keys.
func TestFormerHolderDroppedAfterRelease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.adopt(held(all, runA, 1))
	sim.acceptGrants(is)
	h := moved(all, runA, runB, 2)
	sim.adopt(h)
	is.True(!sim.m.FormerCleared(service, h))
	calls := sim.step()
	sim.m.HandleReleaseResult(sim.now, calls[0], "x", true)
	is.True(sim.m.FormerCleared(service, h))
	sim.adopt(held(all, runB, 2))
	calls = sim.step()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Grant.Handover, "x") // the handover is kept
}
