package leader

import (
	"fmt"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// TestSlowLeaderKeepsTheLead guards against a leader that is too slow to renew grants, and
// is not replaced since its heartbeats arrive.
func TestSlowLeaderKeepsTheLead(t *testing.T) {
	for _, cost := range []time.Duration{20 * time.Millisecond, 44 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("%s a message", cost), func(t *testing.T) {
			for seed := range uint64(2) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					cl.slowDown(cl.leaderHost(), cost)
					unheldAtFirst := cl.unheldTime(recoveryTime)
					unheld := cl.unheldTime(20 * time.Second)
					t.Logf("seed %d: keys were without a holder for %v at first, and %v later", seed+1, unheldAtFirst, unheld)
					if unheld > 0 {
						t.Errorf("seed %d: keys were without a holder for %v of 20 s, from %v on after the leader became slow", seed+1, unheld, recoveryTime)
					}
				})
			}
		})
	}
}

// unheldTime returns for how long some keys had no holder within d.
func (cl *cluster) unheldTime(d time.Duration) time.Duration {
	const interval = 100 * time.Millisecond
	var unheld time.Duration
	for range d / interval {
		time.Sleep(interval)
		if cl.heldKeyCount() < pimento.AllKeys.Len() {
			unheld += interval
		}
	}
	return unheld
}
