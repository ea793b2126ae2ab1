package keeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// restoredSimulation returns a machine with an assignment that gives all keys to a, restored
// from a copy, in a term that began now.
func restoredSimulation(upstreams ...pimento.Run) *simulation {
	sim := newSimulation()
	sim.settled = sim.now.Add(20 * time.Second)
	sim.upstreams = upstreams
	a := &pimento.Assignment{NextFence: 10, Tables: []pimento.Table{{Service: service, Holdings: []pimento.Holding{held(all, runA, 1)}}}}
	a.RestoreFromCopy()
	sim.m.Adopt(sim.now, a)
	return sim
}

// revoke passes one result to the revocations that are due, and returns their runs.
func (sim *simulation) revoke(is *is.I, ok bool) []pimento.UpstreamName {
	is.Helper()
	var names []pimento.UpstreamName
	for _, c := range sim.step() {
		is.Equal(c.Kind, CallRevoke)
		is.Equal(c.Grant.Range, all)
		is.Equal(c.Grant.Fence, uint64(10))
		sim.m.HandleReleaseResult(sim.now, c, "", ok)
		names = append(names, c.Run.Upstream)
	}
	return names
}

// TestRevocationsBeforeGrants guards against keys of a restored assignment that are granted
// while an upstream may have them by a grant of a leader that nobody knows.
func TestRevocationsBeforeGrants(t *testing.T) {
	is := is.New(t)
	sim := restoredSimulation(runA, runB)
	calls := sim.step()
	is.Equal(len(calls), 2)
	sim.m.HandleReleaseResult(sim.now, calls[0], "", true)
	is.Equal(len(sim.step()), 0) // the other one has not answered
	is.True(!sim.m.Revoked(service))
	sim.m.HandleReleaseResult(sim.now, calls[1], "", true)
	calls = sim.step()
	is.True(sim.m.Revoked(service))
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Kind, CallGrant)
	is.Equal(calls[0].Grant.Fence, uint64(11))
}

// TestUpstreamThatIsNotRevoked guards against keys that are granted before the grants of an
// unknown leader have expired at an upstream that does not answer or is not known yet.
func TestUpstreamThatIsNotRevoked(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams []pimento.Run
	}{
		{"upstreams are not known", nil},
		{"an upstream does not answer", []pimento.Run{runA, runB}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := restoredSimulation(c.upstreams...)
			expired := sim.m.timing.earlierExpiry(sim.input())
			for ; !sim.now.After(expired); sim.advance(100 * time.Millisecond) {
				sim.revoke(is, false)
			}
			granted := false
			for _, call := range sim.step() {
				granted = granted || call.Kind == CallGrant
			}
			is.True(granted)
		})
	}
}

// TestUpstreamRestartsWhileKeysAreRevoked guards against a run that has taken a late grant
// meant for the run before, whose keys were revoked.
func TestUpstreamRestartsWhileKeysAreRevoked(t *testing.T) {
	is := is.New(t)
	sim := restoredSimulation(runA, runB)
	calls := sim.step()
	sim.m.HandleReleaseResult(sim.now, calls[0], "", true)
	next := pimento.Run{Upstream: runA.Upstream, Started: sim.now}
	sim.upstreams = []pimento.Run{next, runB}
	sim.m.HandleReleaseResult(sim.now, calls[1], "", true)
	is.Equal(sim.revoke(is, true), []pimento.UpstreamName{"a"})
	sim.step()
	is.True(sim.m.Revoked(service))
}

// TestRevocationOfAnEarlierTerm guards against an answer to a revocation under an earlier
// fence that passes for one under the present fence.
func TestRevocationOfAnEarlierTerm(t *testing.T) {
	is := is.New(t)
	sim := restoredSimulation(runA)
	calls := sim.step()
	a := &pimento.Assignment{NextFence: 100, Tables: []pimento.Table{{Service: service, Holdings: []pimento.Holding{held(all, runA, 1)}}}}
	a.RestoreFromCopy()
	sim.m.Adopt(sim.now, a)
	sim.m.HandleReleaseResult(sim.now, calls[0], "", true)
	sim.step()
	is.True(!sim.m.Revoked(service))
}

// TestManyRevocations guards against calls to all upstreams of a large service at once.
func TestManyRevocations(t *testing.T) {
	is := is.New(t)
	var runs []pimento.Run
	for i := range 2 * maxRevocations {
		runs = append(runs, pimento.Run{Upstream: pimento.UpstreamName(rune('0' + i)), Started: t0})
	}
	sim := restoredSimulation(runs...)
	calls := sim.step()
	is.Equal(len(calls), maxRevocations)
	sim.m.HandleReleaseResult(sim.now, calls[0], "", true)
	is.Equal(len(sim.step()), 1)
}
