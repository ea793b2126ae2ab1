package admitter

import (
	"context"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/scheduler"
)

// TestColdUpstreamUnderProcessesThatDecideAlone guards against a cold upstream that gets
// more than it can handle, because the parts of many processes without a dispatcher add
// up to more than its rate.
func TestColdUpstreamUnderProcessesThatDecideAlone(t *testing.T) {
	const rate, factor, slack = 5.0, 1.5, 5.0
	for _, c := range []struct {
		name      string
		processes int
		roster    bool // the preference list is known, and nobody in it can be reached
	}{
		{"9 processes before they know a leader", 9, false},
		{"80 processes before they know a leader", 80, false},
		{"80 processes cut from the preference list", 80, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newOutsiders(c.processes, c.roster, rate)
				var sent []time.Time
				for range 100 {
					for _, a := range nodes {
						if acquireAndAnswer(t, a) {
							sent = append(sent, time.Now())
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				if n := mostWithin(sent, time.Second); float64(n) > rate*factor+slack {
					t.Errorf("%d requests to a cold upstream in a second, allowed %v", n, rate*factor+slack)
				}
			})
		})
	}
}

// newOutsiders returns processes that are in no preference list. They know one upstream,
// which is cold.
func newOutsiders(count int, roster bool, coldRate float64) []*Admitter {
	state := &Snapshot{
		Services: []pimento.Service{{Name: "s", ColdRate: coldRate}},
		Upstreams: []scheduler.Upstream{{Usable: true, Server: pimento.Server{
			Name: "u", Service: "s", Slots: 4, WarmAt: time.Now().Add(time.Minute), Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}}},
		Processes: make(map[pimento.ProcessID]pimento.Process),
	}
	n := &network{down: make(map[pimento.ProcessID]bool)}
	if roster {
		state.Pools = []pimento.Pool{{Service: "s", PreferenceList: []pimento.ProcessID{"a", "b", "c"}}}
		for _, id := range state.Pools[0].PreferenceList {
			state.Processes[id] = pimento.Process{ID: id}
			n.down[id] = true
		}
	}
	var nodes []*Admitter
	for i := range count {
		id := pimento.ProcessID("outsider-" + strconv.Itoa(i))
		if roster {
			state.Processes[id] = pimento.Process{ID: id}
		}
		nodes = append(nodes, &Admitter{Self: pimento.Process{ID: id}, Peers: peers{n: n, self: id}})
	}
	for _, a := range nodes {
		a.Update(state)
	}
	return nodes
}

// acquireAndAnswer asks for a permit without waiting for one, and reports whether it was
// issued. Its request is answered at once.
func acquireAndAnswer(t *testing.T, a *Admitter) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	p, err := a.Acquire(ctx, request(time.Minute), forwarder.AttemptState{Number: 1})
	if err != nil {
		return false
	}
	finish(p, scheduler.ResultAnswered)
	return true
}

// mostWithin returns the most of the given times, which are in order, within any span.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
