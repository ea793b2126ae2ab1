package router

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// TestLeavingUpstreamUnderALeaderWithoutStore guards against a process that goes on
// sending to an upstream that leaves, because its leader alone has lost the store.
func TestLeavingUpstreamUnderALeaderWithoutStore(t *testing.T) {
	const noticed = 900 * time.Millisecond // a leader notices that it has lost the store
	for _, c := range []struct {
		name     string
		replaced time.Duration // after the loss; the new leader sends its state at once
	}{
		{"never replaced", 0},
		{"replaced after 2.2 s", 2200 * time.Millisecond},
		{"replaced after 1.7 s", 1700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source := &upstreamStore{}
				source.stays.Store(true)
				l := &fakeLeader{}
				l.upstreams.Store(1)
				r, tasks, stop := startFollower(t, l, source, &busyStore{}, (*follower).pollState)
				defer stop()
				time.Sleep(300 * time.Millisecond)
				l.pushUpstreams(1, pimento.StateArriving)
				time.Sleep(3 * time.Second)
				if state := stateOf(r); state != pimento.StateArriving {
					t.Fatalf("before the loss the upstream is %s", state)
				}
				source.stays.Store(false)
				l.lostAt.Store(time.Now().UnixNano())
				tasks.Go(func() {
					time.Sleep(noticed)
					l.lost.Store(true)
					if c.replaced == 0 {
						return
					}
					time.Sleep(c.replaced - noticed)
					l.epoch.Store(2)
					l.lost.Store(false)
					time.Sleep(250 * time.Millisecond) // a heartbeat
					l.lostAt.Store(0)
					l.pushUpstreams(1, pimento.StateLeaving)
				})
				start := time.Now()
				for time.Since(start) < 6*time.Second && stateOf(r) != pimento.StateLeaving {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(start)
				t.Logf("known after %s", took)
				if took > r.Bounds.Leaving {
					t.Errorf("the upstream is known to leave after %s, allowed %s", took, r.Bounds.Leaving)
				}
			})
		})
	}
}

// stateOf returns the state of the only upstream as a process knows it.
func stateOf(r *Router) pimento.State {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.upstreams["u1"].State
}
