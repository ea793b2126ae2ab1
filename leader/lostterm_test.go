package leader

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
)

const (
	// soleLeaderTime is how long a process takes to lead alone once all others are lost.
	soleLeaderTime = 12 * time.Second
	// storeCutTime is how long the leader of a lost term stays cut from the store. It may act
	// until elector.Timing.MaxWithoutStore after the store last showed its term.
	storeCutTime = 18 * time.Second
)

// lostTermCase is what the processes that start after a restore of the store find, and what
// happens to them.
type lostTermCase struct {
	name      string
	knowsTerm bool                                       // the copy has the term before the lost one
	next      int                                        // number of the processes
	meanwhile func(cl *cluster, next []pimento.HostName) // once they have started
}

var lostTermCases = []lostTermCase{
	{name: "no term is known", next: 1},
	{name: "an older term is known", knowsTerm: true, next: 1},
	{name: "an older term is known, its confirmers have ended", knowsTerm: true, next: simProcesses - 1},
	{name: "an upstream does not answer the next leader", next: 1, meanwhile: func(cl *cluster, next []pimento.HostName) {
		cl.cutLink(string(next[0]), "u1")
	}},
	{name: "the next leader is lost", next: simProcesses - 1, meanwhile: killActing},
	{name: "the next leader is lost, grants are carried out late", next: simProcesses - 1, meanwhile: func(cl *cluster, next []pimento.HostName) {
		cl.mu.Lock()
		cl.lateGrantRate = 0.3
		cl.mu.Unlock()
		killActing(cl, next)
	}},
}

// killActing kills, some seconds later, those of the hosts' processes that act as the leader.
func killActing(cl *cluster, hosts []pimento.HostName) {
	time.Sleep(cl.randomDuration(2*time.Second, 6*time.Second))
	for _, h := range hosts {
		if slices.ContainsFunc(cl.actingLeaders(), cl.isOn(h)) {
			cl.killProcess(h)
		}
	}
}

// leadAlone kills all processes and starts one, which leads as its only confirmer.
func (cl *cluster) leadAlone(t *testing.T, host pimento.HostName) {
	t.Helper()
	for _, h := range cl.hosts {
		cl.killProcess(h)
	}
	time.Sleep(cl.randomDuration(0, time.Second))
	cl.startProcess(host)
	time.Sleep(soleLeaderTime)
	if cl.leaderHost() != host {
		t.Fatalf("%s does not lead", host)
	}
}

// TestTermThatARestoreHasLost guards against two leaders that grant the same keys: one acts by
// a term that a restored store has lost, the other was elected without knowing of that term.
func TestTermThatARestoreHasLost(t *testing.T) {
	for _, c := range lostTermCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *restoreSeeds {
				runCluster(t, seed+1, false, func(cl *cluster) {
					former := cl.hosts[0]
					lostAt := time.Now()
					cl.leadAlone(t, former)
					cl.cutFromStore(former)
					cl.runAfter(storeCutTime, func() { cl.healStore(former) })
					time.Sleep(cl.randomDuration(0, time.Second))
					if c.knowsTerm {
						cl.restoreStore(time.Since(lostAt))
					} else {
						cl.restoreStore(2 * storeLogTime)
					}
					next := cl.hosts[1 : 1+c.next]
					for _, h := range next {
						cl.startProcess(h)
					}
					if c.meanwhile != nil {
						c.meanwhile(cl, next)
					}
					time.Sleep(storeCutTime)
					cl.clearFaults()
					cl.stopLoad()
					if !cl.awaitHealthy(recoveryTime) {
						t.Errorf("seed %d: %d keys are held, acting leaders %v", seed+1, cl.heldKeyCount(), cl.actingLeaders())
					}
					if v := cl.copyViolations(); len(v) > 1 {
						t.Logf("seed %d: %d violations", seed+1, len(v))
					}
				})
			}
		})
	}
}

// TestLeaderOfALostTermStops guards against a leader that goes on for up to 20 s although
// upstreams refuse its grants, since another leader has given higher fences.
func TestLeaderOfALostTermStops(t *testing.T) {
	runCluster(t, 1, true, func(cl *cluster) {
		former := cl.hosts[0]
		cl.leadAlone(t, former)
		cl.cutFromStore(former)
		cl.restoreStore(2 * storeLogTime)
		cl.startProcess(cl.hosts[1])
		time.Sleep(lapsedEntryGrace)
		if !slices.ContainsFunc(cl.actingLeaders(), cl.isOn(former)) {
			t.Fatal("the former leader does not act before it is replaced")
		}
		time.Sleep(3 * time.Second) // the keys are revoked and granted anew
		cl.checkHealthy(t)
		if slices.ContainsFunc(cl.actingLeaders(), cl.isOn(former)) {
			t.Error("the former leader goes on to act")
		}
	})
}

// TestLeaderBeforeALostTerm guards against a leader that writes its assignment to a restored
// store and moves keys by it, while the leader of the term that followed, which the store has
// lost, acts on.
func TestLeaderBeforeALostTerm(t *testing.T) {
	for seed := range 5 * *restoreSeeds { // few of them lose a term that has moved keys
		runCluster(t, seed+1, false, func(cl *cluster) {
			former := cl.leaderHost()
			next := cl.hosts[0]
			if next == former {
				next = cl.hosts[1]
			}
			cl.cutFromHosts(next, time.Minute)
			for _, h := range cl.hosts {
				if h != next {
					cl.cutFromStore(h)
				}
			}
			before := cl.storedAssignment(t)
			for cl.storedAssignment(t).NextFence == before.NextFence {
				time.Sleep(50 * time.Millisecond)
				if time.Since(cl.started) > time.Minute {
					t.Fatalf("seed %d: %s moves no keys", seed+1, next)
				}
			}
			time.Sleep(cl.randomDuration(0, 1500*time.Millisecond))
			cl.restoreStore(10 * time.Second)
			cl.cutFromStore(next)
			for _, h := range cl.hosts {
				if h != next {
					cl.healStore(h)
				}
			}
			time.Sleep(storeCutTime)
			cl.clearFaults()
			cl.stopLoad()
			if !cl.awaitHealthy(recoveryTime) {
				t.Errorf("seed %d: %d keys are held, acting leaders %v", seed+1, cl.heldKeyCount(), cl.actingLeaders())
			}
			if v := cl.copyViolations(); len(v) > 1 {
				t.Logf("seed %d: %d violations", seed+1, len(v))
			}
		})
	}
}

// isOn returns whether a process runs on a host.
func (cl *cluster) isOn(host pimento.HostName) func(pimento.ProcessID) bool {
	return func(id pimento.ProcessID) bool { return strings.HasPrefix(string(id), string(host)+"-") }
}

// storedAssignment returns the assignment in the store.
func (cl *cluster) storedAssignment(t *testing.T) pimento.Assignment {
	t.Helper()
	cl.mu.Lock()
	e := cl.store[string(KindAssignment)+"/"+AssignmentName]
	cl.mu.Unlock()
	var a pimento.Assignment
	if err := json.Unmarshal(e.Value, &a); err != nil {
		t.Fatalf("storedAssignment: %v", err)
	}
	return a
}

// TestFencesAfterALostTerm guards against grants of a leader that are in force after the next
// one has revoked all: its fences must be below that of the revocations.
func TestFencesAfterALostTerm(t *testing.T) {
	runCluster(t, 1, false, func(cl *cluster) {
		cl.restoreStore(2 * storeLogTime)
		for _, h := range cl.hosts {
			cl.killProcess(h)
			cl.startProcess(h)
		}
		time.Sleep(startupTime)
		first := cl.storedAssignment(t)
		if !first.Restored {
			t.Fatal("the first leader trusts the copy")
		}
		cl.killProcess(cl.leaderHost())
		time.Sleep(startupTime)
		second := cl.storedAssignment(t)
		if second.Term.Epoch == first.Term.Epoch || !second.Restored {
			t.Fatalf("no other leader was elected before the grants of lost terms expire: %+v", second.Term)
		}
		if second.RevokeFence < first.NextFence {
			t.Errorf("revocations have fence %d, the leader before has given fences up to %d", second.RevokeFence, first.NextFence-1)
		}
	})
}

// TestHandedAssignmentAfterARestore guards against a candidate that trusts the assignment of a
// leader that was replaced in a term which the restored store has lost.
func TestHandedAssignmentAfterARestore(t *testing.T) {
	term := pimento.Term{Epoch: 5, Leader: "a", Confirmers: []pimento.ProcessID{"a", "b", "c"}}
	for _, c := range []struct {
		name string
		era  uint64 // of the store
		want bool
	}{
		{"the store was restored", 2, false},
		{"the store was not restored", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &Leader{elector: elector.New("d", elector.DefaultTiming())}
			l.elector.AdoptTerm(time.Now(), term)
			l.assignment, l.handedEpoch, l.storeBehind = &pimento.Assignment{Term: term, Era: 1}, term.Epoch, true
			l.revision = pimento.Revision{Era: c.era, Number: 1}
			is.Equal(l.knowsLatest(), c.want)
		})
	}
}
