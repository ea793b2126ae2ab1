package leader

import (
	"fmt"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// TestEntriesThatLapsedUnderANewLeader guards against upstreams that all processes forget,
// and whose keys move, since a leader that is elected at the return of the store takes
// entries that lapsed while it was down, and are back within two seconds, for gone.
func TestEntriesThatLapsedUnderANewLeader(t *testing.T) {
	const (
		outage     = 5 * time.Second
		backWithin = 1800 * time.Millisecond // of the return of the store
		settled    = 9 * time.Second         // after it
	)
	for _, lapsed := range []int{simUpstreams, simUpstreams / 2} {
		t.Run(fmt.Sprintf("%d of %d entries", lapsed, simUpstreams), func(t *testing.T) {
			for seed := range uint64(12) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					before, holders := cl.leaderHost(), cl.heldByUpstream()
					cl.setStoreDown(true)
					time.Sleep(outage + cl.randomDuration(0, time.Second))
					cl.setListed(lapsed, false)
					cl.setStoreDown(false)
					forgotten, returned := 0, time.Now()
					for ; time.Since(returned) < backWithin; time.Sleep(20 * time.Millisecond) {
						for name := range holders {
							forgotten = max(forgotten, len(cl.hosts)-len(cl.hostsUsing(name)))
						}
					}
					cl.setListed(lapsed, true)
					unheld, moved := 0, 0
					for ; time.Since(returned) < settled; time.Sleep(20 * time.Millisecond) {
						unheld = max(unheld, pimento.AllKeys.Len()-cl.heldKeyCount())
					}
					for name, n := range cl.heldByUpstream() {
						moved += max(0, n-holders[name])
					}
					if forgotten > 0 || moved > 0 || unheld > 0 {
						t.Errorf("seed %d: up to %d of %d processes forget an upstream, up to %d keys have no holder, %d move; the leader was %s and is %s",
							seed+1, forgotten, len(cl.hosts), unheld, moved, before, cl.leaderHost())
					}
				})
			}
		})
	}
}

// setListed registers the first upstreams, or lets their entries lapse.
func (cl *cluster) setListed(count int, listed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i := range count {
		cl.upstreams[pimento.UpstreamName(fmt.Sprintf("u%d", i))].listed = listed
	}
}
