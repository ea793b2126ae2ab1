package scheduler

import (
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// TestRequestsWaitForLostOwner guards against requests that wait until their deadline
// for an owner that has not been ready for longer than maxOwnerWait.
func TestRequestsWaitForLostOwner(t *testing.T) {
	const deadline = time.Second
	for _, c := range []struct {
		name    string
		readyIn time.Duration // as told when it ceased to be ready
		since   time.Duration // since then
		within  time.Duration // a request must be refused
	}{
		{"it has just ceased to be ready", 0, 0, maxOwnerWait},
		{"it has not been ready for long", 0, 2 * time.Second, 0},
		{"it was expected back long ago", time.Second, 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwned()
			owner := Owner{KeyRange: pimento.KeyRange{From: 0, To: pimento.MaxKey}, Upstream: "u", ReadyAt: o.now.Add(c.readyIn)}
			o.pool.SetOwners([]Owner{owner})
			o.now = o.now.Add(c.since)
			began := o.now
			o.id++
			out := o.pool.Offer(o.now, Ticket{ID: o.id, Route: "reads", Arrived: o.now, GoalAt: o.now.Add(deadline), Deadline: o.now.Add(deadline)})
			for len(out) == 0 && o.now.Sub(began) < 2*deadline {
				o.now = o.now.Add(10 * time.Millisecond)
				out = o.pool.Tick(o.now)
			}
			if len(out) != 1 || out[0].Refusal == nil {
				t.Fatalf("got %+v, want a refusal", out)
			}
			if waited := o.now.Sub(began); waited > c.within+20*time.Millisecond {
				t.Errorf("refused after %s, want within %s", waited, c.within)
			}
		})
	}
}
