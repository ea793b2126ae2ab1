// Package runner assembles one entry process: a supervisor tree with a
// goroutine for each duty, joined by bounded channels.
//
//	core        owns the decision machines; all others send it messages
//	heartbeater asks the confirmers, and reports load
//	follower    learns plans and configurations from the platform
//	leader      writes the next plan when it is this process's turn
//	carrier     serves the other processes
//	dispatcher  speaks to the upstreams
//	callers     serves callers over HTTP
//	operators   serves health, metrics, status and time line over HTTP
//
// # Usage
//
//	node := &runner.Node{Host: "entry-1", Domain: "ub-bayangol", ...}
//	err := node.Run(ctx) // until ctx ends and the shutdown is complete
//
// When ctx ends, the process says that it is leaving, hands over what it
// dispatches, finishes the requests in flight and only then returns.
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/carrier"
	"pimentorelay.example/pimento/confirmer"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/dispatcher"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/requester"
)

const (
	// shutdownGrace bounds a graceful shutdown.
	shutdownGrace = 60 * time.Second
	// lingerTime is how long a process stays after its handover, so that the
	// others can gather its request records.
	lingerTime = time.Second
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
	// keepAliveTimeout is how long an idle caller connection is kept.
	keepAliveTimeout = 90 * time.Second
	// maxHeaderSize bounds a caller's headers in bytes.
	maxHeaderSize = 32 << 10
	// registerPause is the time between two tries to register.
	registerPause = 250 * time.Millisecond
)

// ErrExcluded says that the plan lists this process no more. It has to start
// again under a new identity.
var ErrExcluded = errors.New("the plan lists this process no more")

// Node is one entry process. Set the exported fields before Run.
type Node struct {
	Host     pimento.HostName
	Domain   pimento.DomainName
	Peer     netip.AddrPort // QUIC, between processes
	Caller   netip.AddrPort // HTTP, for callers
	Operator netip.AddrPort // HTTP, for operators
	Token    string         // that operators must show, empty: none
	Platform pimento.Platform
	Log      hclog.Logger
	Timing   confirmer.Timing
	// Connect returns the client of an upstream; nil: over HTTP.
	Connect dispatcher.Connect
	// Started is called once with the process as it was registered; nil: not.
	Started func(pimento.Process)

	self       pimento.Process
	identity   *carrier.Identity
	events     *recorder.Recorder
	metrics    *metrics.Set
	core       *core
	carrier    *carrier.Carrier
	dispatcher *dispatcher.Dispatcher
	book       *deduper.Book // of requests that run here
	witnessed  *deduper.Book // of requests that run elsewhere
	callers    net.Listener
	operators  net.Listener
	leaving    atomic.Bool
	killed     chan struct{}
	killOnce   sync.Once
	follower   *follower
	reportAt   time.Time // of the heartbeater: the next load report

	callerServer atomic.Pointer[http.Server]

	directoryMu sync.Mutex
	directory   map[pimento.ProcessID]pimento.Process
}

// Run serves until ctx ends and the graceful shutdown is complete, or until
// the process is excluded.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepare(); err != nil {
		return fmt.Errorf("Node.Run: %w", err)
	}
	defer n.closeListeners()
	if err := n.register(ctx); err != nil {
		return fmt.Errorf("Node.Run: %w", err)
	}
	if n.Started != nil {
		n.Started(n.self)
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := n.supervise(duties)
	select {
	case <-n.killed:
		n.carrier.Abort()
		stop()
		return nil
	case <-ctx.Done():
		n.shutDown()
	case <-n.core.excluded:
		n.events.Emit(pimento.EventExcluded, "Process", n.self.ID)
	}
	stop()
	<-ended
	n.unregister()
	n.events.Emit(pimento.EventProcessStopped, "Process", n.self.ID)
	if ctx.Err() == nil {
		return ErrExcluded
	}
	return nil
}

// Kill ends the process as a crash would: no handover, no word to its peers,
// and its registration stays. It is for tests and works once Started was
// called.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

// prepare makes the parts and opens the addresses.
func (n *Node) prepare() error {
	id := pimento.ProcessID(fmt.Sprintf("%s.%s", n.Host, strconv.FormatUint(rand.Uint64(), 36)))
	identity, err := carrier.NewIdentity(id)
	if err != nil {
		return err
	}
	n.identity = identity
	n.events = &recorder.Recorder{Process: id, Log: n.Log}
	n.metrics = metrics.NewSet()
	n.killed = make(chan struct{})
	n.book, n.witnessed = &deduper.Book{}, &deduper.Book{}
	n.directory = make(map[pimento.ProcessID]pimento.Process)
	if n.Connect == nil {
		n.Connect = connect
	}
	n.carrier = &carrier.Carrier{Identity: identity, Address: n.Peer, Directory: n, Handler: n}
	if n.Peer, err = n.carrier.Open(); err != nil {
		return err
	}
	if n.callers, n.Caller, err = listen(n.Caller); err != nil {
		return err
	}
	if n.operators, n.Operator, err = listen(n.Operator); err != nil {
		return err
	}
	n.self = pimento.Process{
		ID: id, Host: n.Host, Domain: n.Domain, Peer: n.Peer, Caller: n.Caller, Operator: n.Operator,
		CertHash: identity.CertHash, Started: time.Now().UTC(),
	}
	n.core = newCore(n)
	n.follower = &follower{node: n}
	n.dispatcher = &dispatcher.Dispatcher{
		Self: id, Events: n.events, Book: n.book,
		Authority: n.core.authority, Plan: n.core.plan, Connect: n.Connect,
		Witness: n.witness, Reached: n.core.reached,
		OnSliceDrained:    func(id pimento.SliceID) { go n.core.send(func(c *core) { c.claim.DrainedSlice(id) }) },
		OnUpstreamDrained: func(name pimento.UpstreamName) { go n.core.send(func(c *core) { c.claim.DrainedUpstream(name) }) },
	}
	return nil
}

func listen(addr netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, addr, err
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func connect(s pimento.Server, verify func(pimento.GrantAnswer) error) pimento.Upstream {
	return requester.New(s, verify)
}

func (n *Node) closeListeners() {
	n.callers.Close()
	n.operators.Close()
}

// supervise runs the duties and returns a channel that closes at their end.
func (n *Node) supervise(ctx context.Context) <-chan error {
	tree := suture.New("relay", suture.Spec{
		EventHook: func(e suture.Event) {
			if e.Type() != suture.EventTypeResume && ctx.Err() == nil {
				n.events.Emit(pimento.EventDutyFailed, "Cause", e.String())
			}
		},
		Timeout: shutdownGrace,
	})
	decisions := suture.NewSimple("decisions")
	decisions.Add(duty(n.core.run))
	decisions.Add(duty(n.heartbeat))
	decisions.Add(duty(n.follower.followPlan))
	decisions.Add(duty(n.follower.followConfig))
	decisions.Add(duty((&leader{node: n}).run))
	traffic := suture.NewSimple("traffic")
	traffic.Add(duty(n.carrier.Run))
	traffic.Add(duty(n.dispatcher.Run))
	traffic.Add(duty(n.serveCallers))
	traffic.Add(duty(n.serveOperators))
	tree.Add(decisions)
	tree.Add(traffic)
	n.events.Emit(pimento.EventProcessStarted, "Process", n.self.ID, "Domain", n.Domain, "Peer", n.Peer, "Caller", n.Caller, "Operator", n.Operator)
	ended := make(chan error, 1)
	go func() { ended <- tree.Serve(ctx) }()
	return ended
}

// duty adapts a function to the supervisor.
type duty func(context.Context) error

// Serve implements suture.Service.
func (d duty) Serve(ctx context.Context) error { return d(ctx) }

// shutDown hands over what this process does and waits for the end of it.
func (n *Node) shutDown() {
	n.events.Emit(pimento.EventProcessStopping, "Process", n.self.ID)
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	for !n.core.handedOver() && ctx.Err() == nil {
		time.Sleep(heartbeatPause)
	}
	time.Sleep(lingerTime)
	server := n.callerServer.Load()
	if server == nil {
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		n.events.Emit(pimento.EventDutyFailed, "Cause", err)
	}
}
