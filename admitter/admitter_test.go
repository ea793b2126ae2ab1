package admitter

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

// testTimeout only ends a test that hangs.
const testTimeout = 20 * time.Second

var errDown = errors.New("down")

// network carries messages between Admitters, in one process.
type network struct {
	mu     sync.Mutex
	nodes  map[pimento.ProcessID]*Admitter
	links  map[pimento.ProcessID]*messenger.Link // of the senders
	down   map[pimento.ProcessID]bool
	called []pimento.ProcessID
	calls  uint64
}

// peers is the network as one process sees it.
type peers struct {
	n    *network
	self pimento.ProcessID
}

// Call implements Peers.
func (p peers) Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error) {
	p.n.mu.Lock()
	p.n.called = append(p.n.called, to.ID)
	p.n.calls++
	call, down, node, link := p.n.calls, p.n.down[to.ID], p.n.nodes[to.ID], p.n.links[p.self]
	p.n.mu.Unlock()
	if down {
		return nil, &pimento.UnreachableError{Target: string(to.ID), Cause: errDown}
	}
	reply := make(chan *messenger.Message, 1)
	node.HandleAcquire(link, call, m.Acquire, func(r *messenger.Message) { reply <- r })
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		node.HandleCanceled(link, call)
		return nil, ctx.Err()
	}
}

// Send implements Peers.
func (p peers) Send(_ context.Context, to pimento.Process, m *messenger.Message) error {
	p.n.mu.Lock()
	down, node := p.n.down[to.ID], p.n.nodes[to.ID]
	p.n.mu.Unlock()
	if down {
		return &pimento.UnreachableError{Target: string(to.ID), Cause: errDown}
	}
	node.HandleDone(m.Done)
	return nil
}

const slots = 2

// newNetwork starts processes "a", "b" and "c", which stand in this order in the
// line of the one pool of service "s" with upstream "u".
func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{
		nodes: make(map[pimento.ProcessID]*Admitter), links: make(map[pimento.ProcessID]*messenger.Link),
		down: make(map[pimento.ProcessID]bool),
	}
	for _, id := range []pimento.ProcessID{"a", "b", "c"} {
		n.nodes[id] = &Admitter{
			Self: pimento.Process{ID: id}, Peers: peers{n: n, self: id},
			Bounds: Bounds{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second},
		}
		n.links[id] = &messenger.Link{Peer: pimento.Process{ID: id}}
	}
	n.learn(time.Unix(1, 0))
	for _, a := range n.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if err := a.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}()
		t.Cleanup(func() { cancel(); <-ended })
	}
	return n
}

// learn tells all processes the state, with a run of the upstream.
func (n *network) learn(started time.Time) {
	b := &Board{
		Services: []pimento.Service{{Name: "s"}},
		Upstreams: []scheduler.Upstream{{Usable: true, Server: pimento.Server{
			Name: "u", Service: "s", Slots: slots, Started: started, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}}},
		Pools:     []pimento.Pool{{Service: "s", Line: []pimento.ProcessID{"a", "b", "c"}}},
		Processes: make(map[pimento.ProcessID]pimento.Process),
	}
	for id := range n.nodes {
		b.Processes[id] = pimento.Process{ID: id}
	}
	for _, a := range n.nodes {
		a.Learn(b)
	}
}

func request(left time.Duration) *pimento.Request {
	now := time.Now()
	return &pimento.Request{
		Service: "s", Route: &pimento.Route{Name: "r"}, Deadline: now.Add(left), GoalAt: now.Add(left), Print: 7,
	}
}

// acquire asks for a permit with time to spare.
func (n *network) acquire(t *testing.T, id pimento.ProcessID) (forwarder.Permit, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return n.nodes[id].Acquire(ctx, request(testTimeout), forwarder.AttemptState{Number: 1})
}

// take acquires a permit that must be given, and returns who gave it.
func (n *network) take(t *testing.T, id pimento.ProcessID) (forwarder.Permit, pimento.ProcessID) {
	t.Helper()
	p, err := n.acquire(t, id)
	if err != nil {
		t.Fatal(err)
	}
	return p, p.Basis().Dispatcher
}

// TestOneDispatcherCounts holds that permits of all processes come from the
// first in line, as many as there are slots, and that one that is given back
// lets the next go.
func TestOneDispatcherCounts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	first, by := n.take(t, "b")
	is.Equal(by, pimento.ProcessID("a"))
	_, by = n.take(t, "a")
	is.Equal(by, pimento.ProcessID("a"))
	third := make(chan error, 1)
	go func() {
		_, err := n.acquire(t, "c")
		third <- err
	}()
	for n.nodes["a"].Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(third), 0)
	first.Done(nil)
	is.NoErr(<-third)
}

// TestLineWhereDispatchersAreDown holds who decides then, and that one that is
// down is not asked by every request.
func TestLineWhereDispatchersAreDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.down["a"] = true
	_, by := n.take(t, "c")
	is.Equal(by, pimento.ProcessID("b"))
	_, by = n.take(t, "c")
	is.Equal(by, pimento.ProcessID("b"))
	is.Equal(n.called, []pimento.ProcessID{"a", "b", "b"})
	n.down["b"] = true
	_, by = n.take(t, "c")
	is.Equal(by, pimento.ProcessID("c")) // decides for itself, though the slots are taken
}

// TestWhoLeavesFreesItsPlace holds that slots and places in the queue come free
// when a request is given up, or its process is gone.
func TestWhoLeavesFreesItsPlace(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	for range slots {
		n.take(t, "b")
	}
	ctx, cancel := context.WithCancel(t.Context())
	gaveUp := make(chan error, 1)
	go func() {
		_, err := n.nodes["c"].Acquire(ctx, request(testTimeout), forwarder.AttemptState{Number: 1})
		gaveUp <- err
	}()
	for n.nodes["a"].Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	var out *pimento.OutcomeError
	is.True(errors.As(<-gaveUp, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
	is.Equal(n.nodes["a"].Waiting(), 0)
	n.nodes["a"].HandleClosed(n.links["b"])
	for range slots {
		_, by := n.take(t, "c")
		is.Equal(by, pimento.ProcessID("a"))
	}
}

// TestCrashesAreCounted holds that a request is blamed for the upstreams that
// started again after its connections broke, that this is reported once, and
// that what others found out counts.
func TestCrashesAreCounted(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a := n.nodes["a"]
	for i := range quarantiner.Limit {
		p, err := n.acquire(t, "b")
		is.NoErr(err)
		p.(*permit).result = scheduler.Result{Kind: scheduler.ResultBroken}
		p.Done(nil)
		n.learn(time.Unix(int64(i+2), 0))
	}
	is.Equal(a.Report().Strikes, []quarantiner.Print{7, 7, 7})
	is.Equal(len(a.Report().Strikes), 0)
	var out *pimento.OutcomeError
	_, err := n.acquire(t, "b")
	is.True(errors.As(err, &out))
	is.Equal(out.Reason, pimento.ReasonQuarantined)

	n.down["a"] = true
	_, by := n.take(t, "c")
	is.Equal(by, pimento.ProcessID("b")) // which has seen none of it
	n.nodes["b"].Block([]quarantiner.Print{7})
	_, err = n.acquire(t, "c")
	is.True(errors.As(err, &out))
	is.Equal(out.Reason, pimento.ReasonQuarantined)
}
