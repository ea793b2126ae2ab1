package leader

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

var (
	simRestores = flag.Bool("sim.restored", false, "whether the store is restored from copies beside stalls")
	simFull     = flag.Bool("sim.full", false, "whether links of hosts are full beside stalls")
)

const (
	// maxSlowStall bounds a stall of a slow host.
	maxSlowStall = 400 * time.Millisecond
	// slowStallRate is the share of the calls and steps before which a slow host stalls.
	slowStallRate = 0.05
	// thawGrace is how long after a frozen host goes on its grants may arrive without
	// breaking a rule.
	thawGrace = 300 * time.Millisecond
	// maxUplinkDelay bounds how long messages wait at the link of a host.
	maxUplinkDelay = 1500 * time.Millisecond
)

// condition is the state of a host that does not run as it should.
type condition struct {
	frozenUntil time.Time // nothing in it runs until then
	slowUntil   time.Time // it stalls at times until then
	fullFrom    time.Time // its link is full from then
	fullUntil   time.Time // until then, and what it sends waits for the longer the earlier
}

// pause holds up a goroutine of a host while the host is frozen or stalls.
func (cl *cluster) pause(host pimento.HostName) {
	for stalled := false; cl.ctx.Err() == nil; stalled = true {
		cl.mu.Lock()
		c, now := cl.conditions[host], time.Now()
		wait := c.frozenUntil.Sub(now)
		if !stalled && wait <= 0 && now.Before(c.slowUntil) && cl.rng.Float64() < slowStallRate {
			wait = time.Duration(cl.rng.Int64N(int64(maxSlowStall)))
		}
		cl.mu.Unlock()
		if wait <= 0 {
			return
		}
		sleep(cl.ctx, wait)
	}
}

// justThawed reports whether grants of a host break no rule, since it has just gone on.
func (cl *cluster) justThawed(host pimento.HostName) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	at, found := cl.thawedAt[host]
	return found && !time.Now().Before(at) && time.Since(at) <= thawGrace
}

// endOfFreeze returns until when a frozen host closes no connection, if its kernel goes on
// sending. The caller holds mu.
func (cl *cluster) endOfFreeze(host string) time.Time {
	if !cl.kernelSends {
		return time.Time{}
	}
	return cl.conditions[pimento.HostName(host)].frozenUntil
}

// uplinkDelay returns how long what a node sends now waits at its link. Nothing overtakes
// what was sent before.
func (cl *cluster) uplinkDelay(from string) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c, now := cl.conditions[pimento.HostName(from)], time.Now()
	if now.Before(c.fullFrom) {
		return 0
	}
	return max(0, min(maxUplinkDelay, c.fullUntil.Sub(now)))
}

// arriveLate delivers a call that was written, to a run, after it had been given up.
func (cl *cluster) arriveLate(from string, to pimento.Run, arrive func()) {
	if !cl.isCut(from, string(to.Upstream)) {
		cl.arriveAfter(cl.uplinkDelay(from), to, arrive)
	}
}

// arriveAfter delivers a call that has left its host after a while, unless the connection
// has ended with the run that it leads to.
func (cl *cluster) arriveAfter(d time.Duration, to pimento.Run, arrive func()) {
	cl.runAfter(d, func() {
		if cl.runOf(to.Upstream).Same(to) {
			arrive()
		}
	})
}

// releasesLate reports whether the next release takes effect late, without an answer.
func (cl *cluster) releasesLate() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lateReleases && cl.rng.Float64() < cl.lateGrantRate
}

// clearConditions ends all freezes and stalls. The caller holds mu.
func (cl *cluster) clearConditions() {
	for host, c := range cl.conditions {
		if time.Now().Before(c.frozenUntil) {
			cl.thawedAt[host] = time.Now()
		}
	}
	clear(cl.conditions)
}

// change changes the condition of a host.
func (cl *cluster) change(host pimento.HostName, change func(*condition)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c := cl.conditions[host]
	change(&c)
	cl.conditions[host] = c
}

// freeze freezes a host for a while.
func (cl *cluster) freeze(host pimento.HostName, span time.Duration) {
	until := time.Now().Add(span)
	cl.change(host, func(c *condition) { c.frozenUntil = until; cl.thawedAt[host] = until })
}

// injectStall injects one random fault that holds up a host, and describes it.
func injectStall(cl *cluster, rng *rand.Rand, host pimento.HostName, span time.Duration) string {
	until := time.Now().Add(span)
	kind := rng.IntN(5)
	if kind == 3 && !*simFull {
		kind = 0
	}
	switch kind {
	case 0:
		cl.freeze(host, span)
		return fmt.Sprintf("freeze %s for %v", host, span)
	case 1:
		cl.change(host, func(c *condition) { c.slowUntil = until })
		return fmt.Sprintf("%s stalls for %v", host, span)
	case 2:
		for _, h := range cl.hosts {
			cl.change(h, func(c *condition) { c.slowUntil = until })
		}
		return fmt.Sprintf("all stall for %v", span)
	case 3:
		cl.change(host, func(c *condition) { c.fullFrom, c.fullUntil = time.Now(), until })
		return fmt.Sprintf("the link of %s is full for %v", host, span)
	default:
		cl.cutFromHosts(host, span) // it still reaches the store and all upstreams
		return fmt.Sprintf("cut %s from all hosts for %v", host, span)
	}
}

// injectFaultsAndStalls injects random faults, and hosts that are held up, for faultTime.
func injectFaultsAndStalls(cl *cluster, rng *rand.Rand) []string {
	var log []string
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.Int64N(int64(700 * time.Millisecond))))
		host := cl.hosts[rng.IntN(len(cl.hosts))]
		name := pimento.UpstreamName(fmt.Sprintf("u%d", rng.IntN(simUpstreams)))
		span := time.Duration(rng.Int64N(int64(6 * time.Second)))
		if leader := cl.leaderHost(); leader != "" && rng.IntN(2) == 0 {
			host = leader
		}
		at := time.Since(cl.started).Round(time.Millisecond)
		if rng.IntN(2) == 0 {
			log = append(log, fmt.Sprintf("%v %s", at, injectStall(cl, rng, host, span)))
		} else {
			log = append(log, fmt.Sprintf("%v %s", at, injectFault(cl, rng, host, name, span)))
		}
	}
	return log
}

// TestOneHolderWhereProcessesStall is TestOneHolderUnderFaults with hosts that are frozen,
// stall between any two of their steps, or lead beside another, and with upstreams that
// carry out releases late too.
func TestOneHolderWhereProcessesStall(t *testing.T) {
	for seed := *simFirst; seed < *simFirst+*simSeeds/3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, seed, false, func(cl *cluster) {
				cl.mu.Lock()
				cl.lateReleases, cl.keepsStore = true, !*simRestores
				cl.mu.Unlock()
				log := injectFaultsAndStalls(cl, rand.New(rand.NewPCG(seed, 3)))
				time.Sleep(6 * time.Second) // the last faults end
				cl.clearFaults()
				cl.stopLoad()
				if !cl.awaitHealthy(2 * recoveryTime) {
					t.Errorf("seed %d: %d keys held, acting leaders %v\n%s", seed, cl.heldKeyCount(), cl.actingLeaders(), cl.dump())
				}
				if t.Failed() || len(cl.copyViolations()) > 0 {
					t.Logf("seed %d:\n%s", seed, strings.Join(log, "\n"))
				}
			})
		})
	}
}

// TestGrantOfAFrozenLeaderIsHeldUp guards against keys that move out of a zone that is cut
// off while an upstream there takes a call that only the kernel of a frozen leader still
// sends.
func TestGrantOfAFrozenLeaderIsHeldUp(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			runCluster(t, seed+1, true, func(cl *cluster) {
				cl.mu.Lock()
				cl.kernelSends = true
				cl.mu.Unlock()
				leader := cl.leaderHost()
				cl.cutZone(nil, []pimento.UpstreamName{"u0", "u3"})
				time.Sleep(550 * time.Millisecond) // a grant is on its way
				cl.freeze(leader, 20*time.Second)
				time.Sleep(7200 * time.Millisecond)
				cl.healAll()
				time.Sleep(15 * time.Second)
				cl.clearFaults()
				time.Sleep(recoveryTime)
				cl.checkHealthy(t)
			})
		})
	}
}

// healAll ends all cuts.
func (cl *cluster) healAll() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for link := range cl.cutLinks {
		cl.healedAt[link] = time.Now()
	}
	clear(cl.cutLinks)
}
