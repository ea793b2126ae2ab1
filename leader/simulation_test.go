package leader

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/timekeeper"
)

var (
	simFirst = flag.Uint64("sim.first", 1, "first seed of the simulation")
	simSeeds = flag.Uint64("sim.seeds", 60, "number of seeds of the simulation")
)

const (
	simProcesses = 7
	simUpstreams = 6
	// startupTime is how long a cluster may take until all keys are held.
	startupTime = 4 * time.Second
	// faultTime is how long faults are injected.
	faultTime = 15 * time.Second
	// recoveryTime is how long a cluster may take after the last fault until all
	// keys are held. It covers the longest time for which a new leader cannot
	// tell whether an earlier one still acts.
	recoveryTime = 8 * time.Second
	// quorumLossRecoveryTime is the same after most processes are lost for good.
	quorumLossRecoveryTime = 15 * time.Second
)

// runCluster runs a test on virtual time with a cluster that has started.
func runCluster(t *testing.T, seed uint64, noLoad bool, test func(*cluster)) {
	t.Helper()
	runStaggeredCluster(t, seed, noLoad, 0, test)
}

// runStaggeredCluster is runCluster with upstreams that register at random times
// within registerWithin.
func runStaggeredCluster(t *testing.T, seed uint64, noLoad bool, registerWithin time.Duration, test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		restore := timekeeper.SetClock(time.Now)
		defer restore()
		ctx, cancel := context.WithCancel(context.Background())
		cl := newCluster(ctx, seed, noLoad, registerWithin)
		defer func() {
			cancel()
			cl.awaitGoroutines()
			synctest.Wait()
		}()
		time.Sleep(startupTime)
		test(cl)
		for _, v := range cl.copyViolations() {
			t.Errorf("seed %d: %s", seed, v)
		}
	})
}

// injectFaults injects random faults, which may overlap, for faultTime, and
// returns their descriptions.
func injectFaults(cl *cluster, rng *rand.Rand) []string {
	var log []string
	end := time.Now().Add(faultTime)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(900 * time.Millisecond))))
		host := cl.hosts[rng.IntN(len(cl.hosts))]
		name := pimento.UpstreamName(fmt.Sprintf("u%d", rng.IntN(simUpstreams)))
		span := time.Duration(rng.Int64N(int64(5 * time.Second)))
		if rng.IntN(3) == 0 {
			if leader := cl.leaderHost(); leader != "" {
				host = leader
			}
		}
		log = append(log, fmt.Sprintf("%v %s", time.Since(cl.started).Round(time.Millisecond), injectFault(cl, rng, host, name, span)))
	}
	return log
}

// runAfter runs a task after a delay, unless the test has ended.
func (cl *cluster) runAfter(d time.Duration, task func()) {
	cl.spawn(func() {
		sleep(cl.ctx, d)
		if cl.ctx.Err() == nil {
			task()
		}
	})
}

// injectFault injects one random fault and describes it.
func injectFault(cl *cluster, rng *rand.Rand, host pimento.HostName, name pimento.UpstreamName, span time.Duration) string {
	h, u := string(host), string(name)
	healAfter := func(pairs ...[2]string) {
		cl.runAfter(span, func() {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			for _, p := range pairs {
				delete(cl.cutLinks, p)
				cl.healedAt[p] = time.Now()
			}
		})
	}
	kind := rng.IntN(13)
	switch kind {
	case 12:
		age := time.Duration(rng.Int64N(int64(12 * time.Second)))
		cl.setStoreDown(true)
		cl.runAfter(span/2, func() { cl.restoreStore(age); cl.setStoreDown(false) })
		return fmt.Sprintf("store down for %v and restored from a copy %v old", span/2, age)
	case 8, 9, 10:
		return injectCallFaults(cl, kind, span)
	case 0, 1:
		cl.killProcess(host)
		cl.runAfter(span/3, func() { cl.killProcess(host); cl.startProcess(host) })
		return "kill " + h
	case 2:
		cl.cutLink(h, storeName)
		cl.cutLink(storeName, h)
		healAfter([2]string{h, storeName}, [2]string{storeName, h})
		return fmt.Sprintf("cut %s from the store for %v", h, span)
	case 3:
		var pairs [][2]string
		for _, o := range cl.hosts {
			pairs = append(pairs, [2]string{h, string(o)}, [2]string{string(o), h})
		}
		for _, p := range pairs {
			cl.cutLink(p[0], p[1])
		}
		healAfter(pairs...)
		return fmt.Sprintf("isolate %s for %v", h, span)
	case 4:
		cl.cutLink(h, u)
		healAfter([2]string{h, u})
		return fmt.Sprintf("cut %s to %s for %v", h, u, span)
	case 5:
		cl.cutLink(u, h)
		healAfter([2]string{u, h})
		return fmt.Sprintf("cut %s to %s for %v", u, h, span)
	case 6:
		cl.setUp(name, false)
		cl.runAfter(span, func() { cl.restartUpstream(name) })
		return fmt.Sprintf("crash %s for %v", u, span)
	case 7:
		cl.startLeaving(name)
		cl.runAfter(span, func() { cl.restartUpstream(name) })
		return fmt.Sprintf("%s leaves for %v", u, span)
	default:
		for _, o := range cl.hosts {
			if rng.IntN(2) == 0 {
				cl.killProcess(o)
				cl.runAfter(span/4, func() { cl.killProcess(o); cl.startProcess(o) })
			}
		}
		return "kill half"
	}
}

// injectCallFaults makes calls fail without cutting links, and describes how.
func injectCallFaults(cl *cluster, kind int, span time.Duration) string {
	switch kind {
	case 8:
		cl.mu.Lock()
		cl.storeDown = true
		cl.mu.Unlock()
		cl.runAfter(span, func() { cl.mu.Lock(); cl.storeDown = false; cl.mu.Unlock() })
		return fmt.Sprintf("store down for %v", span)
	case 9:
		cl.mu.Lock()
		cl.lostAnswerRate, cl.lateWriteRate = 0.2, 0.15
		cl.mu.Unlock()
		cl.runAfter(span, func() { cl.mu.Lock(); cl.lostAnswerRate, cl.lateWriteRate = 0, 0; cl.mu.Unlock() })
		return fmt.Sprintf("writes without answers for %v", span)
	default:
		cl.mu.Lock()
		cl.lateGrantRate = 0.3
		cl.mu.Unlock()
		cl.runAfter(span, func() { cl.mu.Lock(); cl.lateGrantRate = 0; cl.mu.Unlock() })
		return fmt.Sprintf("late grants for %v", span)
	}
}

// TestOneHolderUnderFaults injects random faults. No key may ever have two
// holders, fences must increase, and after the last fault all keys must be held
// again within recoveryTime.
func TestOneHolderUnderFaults(t *testing.T) {
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, seed, false, func(cl *cluster) {
				log := injectFaults(cl, rand.New(rand.NewPCG(seed, 2)))
				time.Sleep(5 * time.Second) // the last faults end
				cl.clearFaults()
				cl.stopLoad()
				time.Sleep(recoveryTime)
				if n := cl.heldKeyCount(); n != pimento.AllKeys.Len() || len(cl.actingLeaders()) != 1 {
					t.Errorf("seed %d: %d keys held, acting leaders %v; faults:\n%s\n%s", seed, n, cl.actingLeaders(), strings.Join(log, "\n"), cl.dump())
				}
				if t.Failed() || len(cl.copyViolations()) > 0 {
					t.Logf("seed %d:\n%s", seed, strings.Join(log, "\n"))
				}
			})
		})
	}
}

func TestAllKeysAreHeldAtStart(t *testing.T) {
	runCluster(t, 1, true, func(cl *cluster) { cl.checkHealthy(t) })
}

// TestKeysAreEvenAtStart guards against uneven shares of the keys after a start at
// which upstreams register one after the other, before any load is measured.
func TestKeysAreEvenAtStart(t *testing.T) {
	for seed := range uint64(8) {
		runStaggeredCluster(t, seed+1, true, 1800*time.Millisecond, func(cl *cluster) {
			cl.checkHealthy(t)
			even := pimento.AllKeys.Len() / simUpstreams
			for name, n := range cl.heldByUpstream() {
				if n < even*8/10 || n > even*12/10 {
					t.Errorf("seed %d: %s holds %d keys, an even share is %d", seed+1, name, n, even)
				}
			}
		})
	}
}

// checkHealthy checks that exactly one leader acts and all keys are held.
func (cl *cluster) checkHealthy(t *testing.T) {
	t.Helper()
	if n := cl.heldKeyCount(); n != pimento.AllKeys.Len() || len(cl.actingLeaders()) != 1 {
		t.Errorf("%d keys are held, acting leaders %v; expected all keys and one leader", n, cl.actingLeaders())
	}
}

// leaderHost returns the host of an acting leader, empty if there is none.
func (cl *cluster) leaderHost() pimento.HostName {
	list := cl.actingLeaders()
	if len(list) == 0 {
		return ""
	}
	return pimento.HostName(strings.Split(string(list[0]), "-")[0])
}

// TestMostProcessesAreGone checks that the remaining processes recover when most
// are lost for good, so that no majority of the confirmers is left.
func TestMostProcessesAreGone(t *testing.T) {
	runCluster(t, 1, true, func(cl *cluster) {
		for _, h := range cl.hosts[:simProcesses-2] {
			cl.killProcess(h)
		}
		time.Sleep(quorumLossRecoveryTime)
		cl.checkHealthy(t)
	})
	runCluster(t, 1, true, func(cl *cluster) { // including the leader
		for _, h := range cl.hosts[2:] {
			cl.killProcess(h)
		}
		cl.killProcess(cl.leaderHost())
		time.Sleep(quorumLossRecoveryTime)
		cl.checkHealthy(t)
	})
}

// TestStaleReadingOfProcesses guards against treating a joined process as ended
// because a stale reading still shows its predecessor on the host.
func TestStaleReadingOfProcesses(t *testing.T) {
	runCluster(t, 1, true, func(cl *cluster) {
		time.Sleep(time.Second)
		cl.freezeStaleReads()
		for _, h := range cl.hosts[1:5] {
			cl.killProcess(h)
			cl.startProcess(h)
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, h := range cl.hosts { // all at once, so no process of the term is left
			cl.killProcess(h)
			cl.startProcess(h)
		}
		time.Sleep(3 * time.Second)
		cl.checkHealthy(t)
	})
}

// TestOutages bounds the time for which keys have no holder after single faults.
func TestOutages(t *testing.T) {
	for _, c := range []struct {
		name      string
		inject    func(*cluster)
		maxUnheld time.Duration
	}{
		{"leader is lost", func(cl *cluster) { cl.killProcess(cl.leaderHost()) }, 0},
		{"leader is cut from the store", func(cl *cluster) { cl.cutLink(string(cl.leaderHost()), storeName) }, 0},
		{"store is down", func(cl *cluster) { cl.mu.Lock(); cl.storeDown = true; cl.mu.Unlock() }, 0},
		{"leader is isolated", func(cl *cluster) {
			l := string(cl.leaderHost())
			for _, h := range cl.hosts {
				cl.cutLink(l, string(h))
				cl.cutLink(string(h), l)
			}
		}, 0},
		{"upstream is lost", func(cl *cluster) { cl.setUp("u0", false) }, 4 * time.Second},
		{"upstream starts again", func(cl *cluster) { cl.restartUpstream("u0") }, 2 * time.Second},
		{"upstream is silent", func(cl *cluster) {
			for _, h := range cl.hosts {
				cl.cutLink(string(h), "u0")
			}
			cl.setUp("u0", false)
		}, 5 * time.Second},
		{"upstream leaves", func(cl *cluster) { cl.startLeaving("u0") }, time.Second},
		{"all processes are lost", func(cl *cluster) {
			for _, h := range cl.hosts {
				cl.killProcess(h)
				cl.runAfter(500*time.Millisecond, func() { cl.startProcess(h) })
			}
		}, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 1, true, func(cl *cluster) {
				c.inject(cl)
				var unheld time.Duration
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if cl.heldKeyCount() < pimento.AllKeys.Len() {
						unheld += 100 * time.Millisecond
					}
				}
				if unheld > c.maxUnheld {
					t.Errorf("keys were without a holder for %v, allowed %v", unheld, c.maxUnheld)
				}
				if n := cl.heldKeyCount(); n != pimento.AllKeys.Len() {
					t.Errorf("%d keys are held at the end, expected all", n)
				}
			})
		})
	}
}

// TestLeavingUpstreamReachesMembers checks that every connected process knows of a
// leaving upstream before its drain time ends, even if the leader has just been
// lost or cut off from the store.
func TestLeavingUpstreamReachesMembers(t *testing.T) {
	const drain = 2 * time.Second // the least drain time that operators set
	for _, c := range []struct {
		name         string
		inject       func(cl *cluster, leader pimento.HostName)
		leaderExempt bool // the leader itself is cut off or lost
	}{
		{"nothing", func(*cluster, pimento.HostName) {}, false},
		{"leader is cut from the store", func(cl *cluster, l pimento.HostName) { cl.cutLink(string(l), storeName) }, true},
		{"leader gets no answers from the store", func(cl *cluster, l pimento.HostName) { cl.cutLink(storeName, string(l)) }, true},
		{"leader is lost", func(cl *cluster, l pimento.HostName) { cl.killProcess(l) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(12) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					l := cl.leaderHost()
					cl.startLeaving("u0")
					time.Sleep(cl.randomDuration(0, 200*time.Millisecond))
					c.inject(cl, l)
					time.Sleep(drain - 200*time.Millisecond)
					for _, h := range cl.hostsUsing("u0") {
						if h != l || !c.leaderExempt {
							t.Errorf("seed %d: %s still regards the leaving upstream as usable", seed+1, h)
						}
					}
				})
			}
		})
	}
}

// TestLimitReachesMembers guards against a limit that only the process knows that got
// the answer: all others must know it half a second later.
func TestLimitReachesMembers(t *testing.T) {
	for seed := range uint64(12) {
		runCluster(t, seed+1, true, func(cl *cluster) {
			host := cl.hosts[seed%simProcesses]
			cl.mu.Lock()
			cl.limitReports = map[pimento.HostName][]limiter.Report{host: {{Upstream: "u0", Rate: 2.9}}}
			cl.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			for _, h := range cl.hostsWithoutLimit("u0", 2.9) {
				t.Errorf("seed %d: %s does not know the limit that %s was told", seed+1, h, host)
			}
		})
	}
}

// TestLimitedCapacity guards against plans that give a limited upstream what it
// cannot take, and against one that never gets a request again, whose answer would
// say that its limit has ended.
func TestLimitedCapacity(t *testing.T) {
	for _, c := range []struct {
		limit pimento.RateLimit
		ago   time.Duration
		least float64
		most  float64
	}{
		{3, 0, 1.4, 3},
		{3, 10 * time.Second, 1.4, 3},
		{3, time.Minute, 30, 100},
		{0, 0, 0.01, 1},
		{0, 2 * time.Minute, 3, 1000},
	} {
		if got := limitedCapacity(c.limit, c.ago); got < c.least || got > c.most {
			t.Errorf("limit %g, named %s ago: capacity %g, want %g to %g", c.limit, c.ago, got, c.least, c.most)
		}
	}
}

// TestStrongHostsLead checks that a process on a strong host leads if one can: at
// the start, after the leader is lost or cannot reach the store, and after all
// processes were lost at once.
func TestStrongHostsLead(t *testing.T) {
	strong := []pimento.HostName{"h4", "h5", "h6"}
	for seed := range uint64(8) {
		runCluster(t, seed+1, true, func(cl *cluster) {
			check := func(when string, eligible ...pimento.HostName) {
				t.Helper()
				if l := cl.leaderHost(); !slices.Contains(eligible, l) {
					t.Errorf("seed %d: %s, %q leads, expected a strong host", seed+1, when, l)
				}
				cl.checkHealthy(t)
			}
			cl.setStrongHosts(strong)
			restartAll := func() {
				for _, h := range cl.hosts {
					cl.killProcess(h)
				}
				for _, h := range cl.hosts {
					cl.runAfter(cl.randomDuration(0, 250*time.Millisecond), func() { cl.startProcess(h) })
				}
				time.Sleep(6 * time.Second)
			}
			restartAll()
			check("after all were lost", strong...)
			restartAll()
			check("after all were lost again", strong...)
			first := cl.leaderHost()
			cl.cutLink(string(first), storeName)
			time.Sleep(4 * time.Second)
			second := cl.leaderHost()
			check("after the leader was cut from the store", strong...)
			if first == second {
				t.Errorf("seed %d: %s still leads though it cannot reach the store", seed+1, first)
			}
			cl.killProcess(second)
			time.Sleep(4 * time.Second)
			check("after the second leader was lost", strong...)
		})
	}
}

// TestOutageCostsFewCalls bounds the calls of processes to a store that is down,
// and checks that they pick up changes soon after it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	const (
		outage = 10 * time.Second
		rate   = 1.0 // mean calls per second and process
	)
	runCluster(t, 1, true, func(cl *cluster) {
		setDown := func(down bool) (calls int) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.storeDown = down
			return cl.storeCalls
		}
		before := setDown(true)
		time.Sleep(outage)
		if n := setDown(false) - before; float64(n) > rate*simProcesses*outage.Seconds() {
			t.Errorf("%d calls while the store was down", n)
		}
		cl.startLeaving("u0")
		time.Sleep(3 * time.Second)
		if list := cl.hostsUsing("u0"); len(list) > 0 {
			t.Errorf("%v still regard the leaving upstream as usable", list)
		}
	})
}
