package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// firstRetransmission is when a kernel first sends an unacknowledged call again;
	// the time to the next one doubles.
	firstRetransmission = 200 * time.Millisecond
	// healGrace is how long after a link has healed a grant may arrive without
	// breaking a rule.
	healGrace = 300 * time.Millisecond
	// maxStall bounds the stall of a process between a check and its send.
	maxStall = 6 * time.Second
)

// deliverCall is deliver for a call to an upstream over a kept connection. If calls
// are held up, the kernel goes on sending one that was given up; arrive is then called
// when it gets through.
func (cl *cluster) deliverCall(ctx context.Context, from, to string, arrive func()) bool {
	sentAt, run := time.Now(), cl.runOf(pimento.UpstreamName(to))
	way := cl.uplinkDelay(from)
	delivered := cl.deliver(ctx, from, to)
	link := [2]string{from, to}
	cl.mu.Lock()
	kept := !cl.closedConns[link]
	cl.closedConns[link] = !delivered
	cut := cl.cutLinks[link]
	closedAt := cl.endOfFreeze(from)
	cl.mu.Unlock()
	switch {
	case delivered || !kept:
	case cut && cl.holdsUpCalls:
		cl.spawn(func() { cl.retransmit(link, sentAt, arrive) })
	case cut && time.Now().Before(closedAt):
		cl.spawn(func() { cl.retransmitUntil(closedAt, link, sentAt, arrive) })
	case !cut: // it has left the host
		cl.arriveAfter(time.Until(sentAt.Add(way)), run, arrive)
	}
	return delivered
}

// retransmit sends a call again until the link lets it through. What arrives within
// healGrace breaks no rule and is dropped.
func (cl *cluster) retransmit(link [2]string, sentAt time.Time, arrive func()) {
	cl.retransmitUntil(cl.started.Add(time.Hour), link, sentAt, arrive)
}

// retransmitUntil is retransmit until the connection is closed.
func (cl *cluster) retransmitUntil(closedAt time.Time, link [2]string, sentAt time.Time, arrive func()) {
	pause := firstRetransmission
	for at := sentAt.Add(pause); cl.ctx.Err() == nil && at.Before(closedAt); at = at.Add(pause) {
		sleep(cl.ctx, time.Until(at))
		cl.mu.Lock()
		cut, excused := cl.cutLinks[link], time.Since(cl.healedAt[link]) <= healGrace
		cl.mu.Unlock()
		if !cut {
			if !excused && cl.ctx.Err() == nil {
				arrive()
			}
			return
		}
		pause *= 2
	}
}

// stall stalls a process before a send and reports whether it sends nevertheless. If
// it sends late, *ctx becomes one that has not ended.
func (cl *cluster) stall(ctx *context.Context) bool {
	sleep(cl.ctx, cl.randomDuration(0, maxStall))
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if (*ctx).Err() != nil && cl.sendsLate {
		late, cancel := context.WithTimeout(cl.ctx, 600*time.Millisecond)
		context.AfterFunc(late, cancel)
		*ctx = late
	}
	return (*ctx).Err() == nil
}

// cutZone cuts hosts and upstreams off from all others and from the store.
func (cl *cluster) cutZone(hosts []pimento.HostName, upstreams []pimento.UpstreamName) {
	inside := map[string]bool{}
	for _, h := range hosts {
		inside[string(h)] = true
	}
	for _, u := range upstreams {
		inside[string(u)] = true
	}
	nodes := []string{storeName}
	for _, h := range cl.hosts {
		nodes = append(nodes, string(h))
	}
	for i := range simUpstreams {
		nodes = append(nodes, fmt.Sprintf("u%d", i))
	}
	for _, a := range nodes {
		for _, b := range nodes {
			if inside[a] != inside[b] {
				cl.cutLink(a, b)
			}
		}
	}
}

// callDelivery is how calls to upstreams are delivered under faults. Calls that were
// given up are withdrawn, as package connector does.
type callDelivery struct {
	name      string
	stallRate float64
	sendsLate bool
}

var deliveries = []callDelivery{
	{"calls are withdrawn", 0, false},
	{"stalls and deadlines are kept", 0.5, false},
	{"stalls and calls are sent late", 0.5, true},
}

func (cl *cluster) setDelivery(d callDelivery) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.stallRate, cl.sendsLate = d.stallRate, d.sendsLate
}

// TestZoneIsCutOffWithItsLeader guards against keys that move out of a zone that is
// cut off while an upstream there takes a call that was made long before.
func TestZoneIsCutOffWithItsLeader(t *testing.T) {
	for _, d := range deliveries {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(12) {
				t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
					runCluster(t, seed+1, true, func(cl *cluster) {
						cl.setDelivery(d)
						cl.cutZone([]pimento.HostName{cl.leaderHost()}, []pimento.UpstreamName{"u0", "u3"})
						time.Sleep(7200 * time.Millisecond)
						cl.clearFaults()
						time.Sleep(recoveryTime)
						cl.checkHealthy(t)
					})
				})
			}
		})
	}
}

// TestSimulationFindsHeldUpCalls checks that the simulation would show two holders if
// calls that were given up were not withdrawn. A release that is held up with a grant may
// arrive before it and hide that, so none arrives.
func TestSimulationFindsHeldUpCalls(t *testing.T) {
	found := 0
	for seed := range uint64(4) {
		runCluster(t, seed+1, true, func(cl *cluster) {
			cl.mu.Lock()
			cl.holdsUpCalls, cl.losesReleases = true, true
			cl.mu.Unlock()
			cl.cutZone([]pimento.HostName{cl.leaderHost()}, []pimento.UpstreamName{"u0", "u3"})
			time.Sleep(7200 * time.Millisecond)
			cl.clearFaults()
			time.Sleep(recoveryTime)
			found += len(cl.takeViolations())
		})
	}
	if found == 0 {
		t.Error("no violation was found")
	}
}

// takeViolations returns the violations so far and forgets them.
func (cl *cluster) takeViolations() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.violations
	cl.violations = nil
	return list
}

// TestOneHolderWhereSendersAreSlow is TestOneHolderUnderFaults with calls that outlive
// their senders' patience and processes that stall between a check and its send.
func TestOneHolderWhereSendersAreSlow(t *testing.T) {
	for _, d := range deliveries[1:] {
		t.Run(d.name, func(t *testing.T) {
			for seed := *simFirst; seed < *simFirst+*simSeeds/2; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					runCluster(t, seed, false, func(cl *cluster) {
						cl.setDelivery(d)
						log := injectFaults(cl, rand.New(rand.NewPCG(seed, 2)))
						time.Sleep(5 * time.Second) // the last faults end
						cl.clearFaults()
						cl.stopLoad()
						time.Sleep(recoveryTime)
						cl.checkHealthy(t)
						if len(cl.copyViolations()) > 0 {
							t.Logf("seed %d:\n%s", seed, strings.Join(log, "\n"))
						}
					})
				})
			}
		})
	}
}

// TestGrantReachesTheNextRun guards against keys that move while the next run of their
// former holder holds them by a grant that was meant for the run before.
func TestGrantReachesTheNextRun(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			runCluster(t, seed+1, true, func(cl *cluster) {
				for i := range 8 {
					time.Sleep(time.Duration(700+37*i) * time.Millisecond)
					cl.restartUpstream("u0")
				}
				time.Sleep(recoveryTime)
				cl.checkHealthy(t)
			})
		})
	}
}
