package leader

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

var restoreSeeds = flag.Uint64("sim.restores", 6, "number of seeds of each restore of the store")

const (
	// copyAge is how old the copy is from which the store is restored.
	copyAge = 9 * time.Second
	// storeAwayTime is how long the store is away before.
	storeAwayTime = 2 * time.Second
)

// restoreCase is what happens beside the restore of the store.
type restoreCase struct {
	name   string
	before func(cl *cluster) // just before the store is away
	away   func(cl *cluster) // while it is away
	after  func(cl *cluster) // as it is back
}

var restoreCases = []restoreCase{
	{name: "nothing else"},
	{name: "leader is lost before", before: func(cl *cluster) { cl.killProcess(cl.leaderHost()) }},
	{name: "leader is lost meanwhile", away: func(cl *cluster) { cl.killProcess(cl.leaderHost()) }},
	{name: "leader is lost after", after: func(cl *cluster) { cl.killProcess(cl.leaderHost()) }},
	{name: "leader is lost a moment after", after: func(cl *cluster) {
		time.Sleep(cl.randomDuration(0, 600*time.Millisecond))
		cl.killProcess(cl.leaderHost())
	}},
	{name: "leader stays cut from the store", before: func(cl *cluster) {
		cl.cutFromStore(cl.leaderHost())
	}},
	{name: "leader is isolated meanwhile", before: func(cl *cluster) { cl.isolate(cl.leaderHost(), 4*time.Second) }},
	{name: "leader is isolated after", after: func(cl *cluster) { cl.isolate(cl.leaderHost(), 3*time.Second) }},
	{name: "all processes are lost", away: func(cl *cluster) {
		for _, h := range cl.hosts {
			cl.killProcess(h)
			cl.runAfter(cl.randomDuration(0, 300*time.Millisecond), func() { cl.startProcess(h) })
		}
	}},
	{name: "half of the processes were replaced since the copy", before: func(cl *cluster) {
		for _, h := range cl.hosts[:simProcesses/2] {
			cl.killProcess(h)
			cl.startProcess(h)
		}
		time.Sleep(3 * time.Second)
	}},
	{name: "another leader since the copy", before: func(cl *cluster) {
		cl.killProcess(cl.leaderHost())
		time.Sleep(3 * time.Second)
	}},
	{name: "another leader since the copy, lost after", before: func(cl *cluster) {
		cl.killProcess(cl.leaderHost())
		time.Sleep(3 * time.Second)
	}, after: func(cl *cluster) { cl.killProcess(cl.leaderHost()) }},
	{name: "a replaced leader comes back after", before: func(cl *cluster) {
		l := cl.leaderHost()
		cl.cutFromHosts(l, 10*time.Second)
		cl.cutFromStore(l)
		cl.runAfter(5*time.Second+storeAwayTime, func() { cl.healStore(l) })
		time.Sleep(5 * time.Second)
	}, after: func(cl *cluster) {
		l := cl.leaderHost()
		cl.cutFromStore(l)
		cl.runAfter(4*time.Second, func() { cl.healStore(l) })
	}},
	{name: "restored again", after: func(cl *cluster) {
		time.Sleep(cl.randomDuration(0, 2*time.Second))
		cl.setStoreDown(true)
		time.Sleep(storeAwayTime)
		cl.restoreStore(copyAge)
		cl.setStoreDown(false)
	}},
	{name: "writes are carried out late", before: func(cl *cluster) {
		cl.mu.Lock()
		cl.lateWriteRate = 0.5
		cl.mu.Unlock()
		time.Sleep(time.Second)
	}, after: (*cluster).clearFaults},
	{name: "grants are carried out late", before: func(cl *cluster) {
		cl.mu.Lock()
		cl.lateGrantRate = 0.3
		cl.mu.Unlock()
		time.Sleep(time.Second)
	}, after: (*cluster).clearFaults},
}

// isolate cuts a host from everything for a while.
func (cl *cluster) isolate(host pimento.HostName, span time.Duration) {
	nodes := []string{storeName}
	for i := range simUpstreams {
		nodes = append(nodes, fmt.Sprintf("u%d", i))
	}
	cl.cutFromHosts(host, span, nodes...)
}

// cutFromHosts cuts a host from all others, and from further nodes, for a while.
func (cl *cluster) cutFromHosts(host pimento.HostName, span time.Duration, nodes ...string) {
	for _, h := range cl.hosts {
		nodes = append(nodes, string(h))
	}
	for _, n := range nodes {
		cl.cutLink(string(host), n)
		cl.cutLink(n, string(host))
	}
	cl.runAfter(span, func() { cl.healLinks(string(host), nodes...) })
}

// healLinks ends the cuts between a node and others.
func (cl *cluster) healLinks(node string, others ...string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, o := range others {
		delete(cl.cutLinks, [2]string{node, o})
		delete(cl.cutLinks, [2]string{o, node})
	}
}

func (cl *cluster) setStoreDown(down bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeDown = down
}

// awaitHealthy waits until all keys are held, none on its way to another upstream, and
// one leader acts. It reports false if that takes longer than limit.
func (cl *cluster) awaitHealthy(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if cl.heldKeyCount() == pimento.AllKeys.Len() && len(cl.actingLeaders()) == 1 {
			return true
		}
	}
	return false
}

// TestCopyOfTheStoreIsBelieved guards against processes that take an old copy of the
// store for its present state: keys with two holders, fences that are given twice or
// go back, and a leader that can write no more.
func TestCopyOfTheStoreIsBelieved(t *testing.T) {
	for _, c := range restoreCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *restoreSeeds {
				runCluster(t, seed+1, false, func(cl *cluster) {
					time.Sleep(12 * time.Second) // keys move
					for _, step := range []func(cl *cluster){
						c.before, func(cl *cluster) { cl.setStoreDown(true) }, c.away,
						func(cl *cluster) {
							time.Sleep(storeAwayTime)
							cl.restoreStore(copyAge)
							cl.setStoreDown(false)
						}, c.after,
					} {
						if step != nil {
							step(cl)
						}
					}
					time.Sleep(recoveryTime)
					cl.clearFaults()
					cl.stopLoad()
					if !cl.awaitHealthy(recoveryTime) {
						t.Errorf("seed %d: %d keys are held, acting leaders %v", seed+1, cl.heldKeyCount(), cl.actingLeaders())
					}
					cl.setUp("u1", false) // its keys must go to others
					if !cl.awaitHealthy(recoveryTime) {
						t.Errorf("seed %d: %d keys are held after the loss of an upstream\n%s", seed+1, cl.heldKeyCount(), cl.dump())
					}
					if v := cl.copyViolations(); len(v) > 0 {
						t.Logf("seed %d: %d violations, the first: %s", seed+1, len(v), strings.Join(v[:1], ""))
					}
				})
			}
		})
	}
}
