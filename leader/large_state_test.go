package leader

import (
	"fmt"
	"testing"
	"time"
)

// TestLargeStateKeepsHeartbeatsBack guards against a new leader whose states of all members
// fill its link, so that its heartbeats come late and it is replaced, again and again.
func TestLargeStateKeepsHeartbeatsBack(t *testing.T) {
	for _, c := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("all states take %s", c), func(t *testing.T) {
			for seed := range uint64(4) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					cl.limitLinks(c / (simProcesses - 1))
					cl.killProcess(cl.leaderHost())
					time.Sleep(recoveryTime)
					before := cl.latestEpoch()
					time.Sleep(20 * time.Second)
					if after := cl.latestEpoch(); after > before {
						t.Errorf("seed %d: %d new terms in 20 s, from %v on after the leader was lost", seed+1, after-before, recoveryTime)
					}
				})
			}
		})
	}
}

// latestEpoch returns the latest epoch that a process knows.
func (cl *cluster) latestEpoch() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	latest := uint64(0)
	for _, p := range cl.processes {
		latest = max(latest, p.leader.Term().Epoch)
	}
	return latest
}
