package leader

import (
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// TestMembersKnowTheAgeOfUpstreams guards against a leader whose heartbeats date its list of
// upstreams so seldom that all processes read the store themselves.
func TestMembersKnowTheAgeOfUpstreams(t *testing.T) {
	const (
		calm    = 800 * time.Millisecond // below the age from which a process reads them
		replace = 3 * time.Second        // until another process leads and has read them
	)
	for _, c := range []struct {
		name   string
		fault  func(cl *cluster)
		maxAge time.Duration
	}{
		{"nothing happens", func(*cluster) {}, calm},
		{"an upstream leaves", func(cl *cluster) { cl.unregister("u0") }, calm},
		{"the leader is lost", func(cl *cluster) { cl.killProcess(cl.leaderHost()) }, replace},
		{"the leader loses the store", func(cl *cluster) { cl.cutLink(string(cl.leaderHost()), storeName) }, replace},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 1, true, func(cl *cluster) {
				c.fault(cl)
				oldest := time.Duration(0)
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
					oldest = max(oldest, cl.oldestUpstreams())
				}
				t.Logf("at most %s old", oldest)
				if oldest > c.maxAge {
					t.Errorf("at most %s old, allowed %s", oldest, c.maxAge)
				}
			})
		})
	}
}

// oldestUpstreams returns the age of the upstreams at the process that was told longest ago
// how new they are.
func (cl *cluster) oldestUpstreams() time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	oldest := time.Duration(0)
	for _, p := range cl.processes {
		p.mu.Lock()
		oldest = max(oldest, time.Since(p.upstreamsAt))
		p.mu.Unlock()
	}
	return oldest
}

// unregister removes the entry of an upstream.
func (cl *cluster) unregister(name pimento.UpstreamName) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.upstreams[name].listed = false
}
