package admitter

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
)

// retryRatio is the share of the requests that operators allow as retries.
const retryRatio = 0.2

// processAt returns the name of a process of newBudgetNetwork.
func processAt(i int) pimento.ProcessID { return pimento.ProcessID(fmt.Sprintf("p%02d", i)) }

// newBudgetNetwork returns processes that share a retry budget. All that happens in a test
// lies in one window.
func newBudgetNetwork(size int, slack float64) *network {
	n := &network{
		nodes: make(map[pimento.ProcessID]*Admitter), links: make(map[pimento.ProcessID]*messenger.Link),
		down: make(map[pimento.ProcessID]bool),
	}
	for i := range size {
		id := processAt(i)
		n.nodes[id] = &Admitter{
			Self: pimento.Process{ID: id}, Peers: peers{n: n, self: id},
			RetryBudget: RetryBudget{RetryRatio: retryRatio, RetrySlack: slack, RetryWindow: time.Hour},
		}
		n.links[id] = &messenger.Link{Peer: pimento.Process{ID: id}}
	}
	return n
}

// appoint passes all processes a state with the dispatchers of the pools of service "s",
// each followed by the backups.
func (n *network) appoint(dispatchers []pimento.ProcessID, backups ...pimento.ProcessID) {
	state := &Snapshot{Services: []pimento.Service{{Name: "s"}}, Processes: make(map[pimento.ProcessID]pimento.Process)}
	for i := range 24 * len(dispatchers) {
		state.Upstreams = append(state.Upstreams, scheduler.Upstream{Usable: true, Server: pimento.Server{
			Name: pimento.UpstreamName(fmt.Sprintf("u%d", i)), Service: "s", Slots: 4, Started: time.Unix(1, 0), Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	for i, id := range dispatchers {
		state.Pools = append(state.Pools, pimento.Pool{Service: "s", Index: i, PreferenceList: append([]pimento.ProcessID{id}, backups...)})
	}
	for id := range n.nodes {
		state.Processes[id] = pimento.Process{ID: id}
	}
	for _, a := range n.nodes {
		a.Update(state)
	}
}

// spendRetries sends requests through a process and then retries until its budget refuses
// one. It returns how many retries got permits.
func (n *network) spendRetries(t *testing.T, by pimento.ProcessID, requests int) int {
	t.Helper()
	for range requests {
		p, _ := n.mustAcquire(t, by)
		finish(p, scheduler.ResultAnswered)
	}
	for retries := 0; ; retries++ {
		p, err := n.nodes[by].Acquire(t.Context(), request(testTimeout), forwarder.AttemptState{Number: 2})
		var out *pimento.OutcomeError
		if errors.As(err, &out) && out.Reason == pimento.ReasonRetryBudget {
			return retries
		}
		if err != nil {
			t.Fatal(err)
		}
		finish(p, scheduler.ResultAnswered)
	}
}

// TestRetriesOfAllProcessesExceedTheBudget guards against processes that decide for
// themselves, since they reach no dispatcher, and together allow more retries than there
// may be.
func TestRetriesOfAllProcessesExceedTheBudget(t *testing.T) {
	const requests = 2 // of each process
	for _, c := range []struct {
		processes int
		slack     float64
	}{{9, 58}, {80, 200}} {
		t.Run(fmt.Sprint(c.processes), func(t *testing.T) {
			n := newBudgetNetwork(c.processes, c.slack)
			n.appoint([]pimento.ProcessID{processAt(0)}, processAt(1), processAt(2))
			for id := range n.nodes {
				n.setDown(id, true)
			}
			retries := 0
			for i := range c.processes {
				retries += n.spendRetries(t, processAt(i), requests)
			}
			if bound := retryRatio*float64(c.processes*requests) + c.slack; float64(retries) > bound {
				t.Errorf("%d retries of %d requests in one window; allowed %.1f", retries, c.processes*requests, bound)
			}
		})
	}
}

// TestReplacedDispatcherRenewsTheBudget guards against dispatchers that each allow all
// retries of a window, though they follow one another within it.
func TestReplacedDispatcherRenewsTheBudget(t *testing.T) {
	const (
		size     = 9
		slack    = 58.0
		requests = 20 // through each dispatcher
	)
	for _, replaced := range []int{1, 3} {
		t.Run(fmt.Sprint(replaced), func(t *testing.T) {
			n := newBudgetNetwork(size, slack)
			retries := 0
			for i := range replaced + 1 {
				n.appoint([]pimento.ProcessID{processAt(i)}, processAt(i+1), processAt(i+2))
				retries += n.spendRetries(t, processAt(size-1), requests)
				n.setDown(processAt(i), true)
			}
			sent := requests * (replaced + 1)
			if bound := retryRatio*float64(sent) + slack; float64(retries) > bound {
				t.Errorf("%d retries of %d requests in one window; allowed %.1f", retries, sent, bound)
			}
		})
	}
}
