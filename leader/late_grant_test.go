package leader

import (
	"testing"
	"time"
)

// TestLateGrantBelowTheNextFence guards against an upstream that carries out a grant late,
// when another one has its keys under a higher fence, because its keys moved without its
// having seen that fence.
func TestLateGrantBelowTheNextFence(t *testing.T) {
	for seed := range uint64(6) {
		runCluster(t, seed+1, true, func(cl *cluster) {
			cl.mu.Lock()
			cl.takesExpired, cl.lateGrantRate = true, 1
			cl.mu.Unlock()
			time.Sleep(700 * time.Millisecond) // each holder gets a renewal that it does not answer
			cl.mu.Lock()
			cl.lateGrantRate = 0
			cl.mu.Unlock()
			for _, h := range cl.hosts {
				cl.cutLink(string(h), "u0")
			}
			time.Sleep(14 * time.Second)
		})
	}
}
