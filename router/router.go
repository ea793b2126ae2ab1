// Package router is one process of pimentorelay. It runs the other packages as
// a supervisor tree, with one goroutine per task:
//
//	acceptor -> forwarder -> admitter -> connector -> upstream
//	                            |  ^
//	               permits of peers|  snapshot
//	                            v  |
//	messenger <-> leader <-> follower <- store
//
// # Usage
//
//	r := &router.Router{Host: host, Peer: address, Store: store, Source: source, ...}
//	err := r.Run(ctx)
package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/acceptor"
	"pimentorelay.example/pimento/admitter"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/registrar"
)

// Router is one process. Set the exported fields before Run.
type Router struct {
	Host   pimento.HostName
	Domain pimento.DomainName
	// Strength is the relative capacity of the host; see pimento.Process.
	Strength float64

	Peer     netip.AddrPort // for other processes
	Caller   netip.AddrPort // for callers
	Ready    netip.AddrPort // for the load balancer's readiness checks; zero: disabled
	Operator netip.AddrPort // for status, timeline and metrics; zero: disabled
	// ReadyPath is the path of the load balancer's readiness checks.
	ReadyPath string
	// Token is required for status and timeline; empty: no token is checked.
	Token string

	Store        pimento.Store
	Source       pimento.Source
	CallerWire   pimento.CallerWire
	UpstreamWire pimento.UpstreamWire
	Bounds       pimento.Bounds // see SetBounds
	// RequireKey refuses requests without a key for keyed services.
	RequireKey bool
	Log        hclog.Logger
	// Memory is that of the process in bytes, of which callers may take callersMemoryShare;
	// zero: no bound.
	Memory int64
	// Connections is how many callers may be connected; zero: any number.
	Connections int
	// OnRegistered is called when the process is registered; it may be nil.
	OnRegistered func(pimento.Process)

	self        pimento.Process
	events      *recorder.Recorder
	metrics     *metrics.Set
	observer    *observer
	storeHealth storeHealth
	entryFaults entryFaults
	storeEra    atomic.Uint64                  // zero: none is known
	restored    chan struct{}                  // signals that the store was restored from a copy
	bounds      atomic.Pointer[pimento.Bounds] // in force
	acceptor    *acceptor.Acceptor
	admitter    *admitter.Admitter
	messenger   *messenger.Messenger
	registrar   *registrar.Registrar
	leader      *leader.Leader
	follower    *follower
	leaving     atomic.Bool
	endsAt      atomic.Pointer[time.Time] // see requestsEndAt
	killOnce    sync.Once
	killed      chan struct{}
}

// Run serves until ctx ends, and then drains the requests in progress.
func (r *Router) Run(ctx context.Context) error {
	r.killed = make(chan struct{})
	l, err := r.listen()
	if err != nil {
		return fmt.Errorf("Router.Run: %w", err)
	}
	r.assemble()
	r.events.Emit(pimento.EventProcessStarted, "Host", r.self.Host, "Domain", r.self.Domain, "Peer", r.self.Peer)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := r.newSupervisor(l).ServeBackground(runCtx)
	select {
	case <-ctx.Done():
		r.shutDown()
	case <-r.killed:
	case err := <-done:
		return fmt.Errorf("Router.Run: %w", err)
	}
	stop()
	r.follower.confirmer.close()
	r.acceptor.Abort()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("Router.Run: %w", err)
	}
	r.events.Emit(pimento.EventProcessStopped)
	return nil
}

// Kill ends Run as a crash would, without draining or notifying other
// processes. It is for tests.
func (r *Router) Kill() { r.killOnce.Do(func() { close(r.killed) }) }

// Process returns the process as registered in the store.
func (r *Router) Process() pimento.Process { return r.self }

// assemble creates and connects the parts of the process.
func (r *Router) assemble() {
	r.bounds.Store(&r.Bounds)
	r.metrics = metrics.NewSet()
	r.events = &recorder.Recorder{Process: r.self.ID, Log: r.Log, OnDropped: func(n pimento.EventNumber) {
		r.observer.count("relay_log_lines_dropped_total", "Event", int(n))
	}}
	r.observer = &observer{
		events: r.events, metrics: r.metrics, epoch: func() uint64 { return r.leader.Term().Epoch },
		manifestReadAt:    func() time.Time { return r.follower.ManifestReadAt() },
		manifestVouchedAt: func() time.Time { return r.follower.manifestVouchedAt() },

		manifestConfirmedAt: func() time.Time { return r.follower.confirmer.at() },
	}
	r.messenger = &messenger.Messenger{Self: r.self, Handler: (*handler)(r)}
	r.admitter = &admitter.Admitter{
		Self: r.self, Peers: r.messenger, Wire: r.UpstreamWire, RetryBudget: retryBudget(r.Bounds), LeavingBound: r.Bounds.Leaving,
		OnLimit: r.observer.limitChanged, OnCrashFinding: r.observer.crashFound, OnNotice: r.observer.noticeChanged,
	}
	r.admitter.SetTolerance(leader.Tolerance(r.Bounds))
	r.registrar = &registrar.Registrar{Self: r.self, Peers: r.messenger, Events: r.events}
	r.follower = &follower{router: r, announcedNewer: make(chan struct{}, 1)}
	r.follower.confirmer = newConfirmer(r.follower.readManifest, func() time.Duration { return r.bounds.Load().Apply })
	r.follower.confirmer.away = r.storeIsAway
	r.follower.confirmer.revoke = func() time.Duration { return r.bounds.Load().Revocation }
	r.follower.confirmer.isVouched = r.follower.mayTrustStore
	r.admitter.IsStale = r.follower.upstreamsAreStale
	r.admitter.UpstreamsAge = r.follower.upstreamsAge
	r.restored = make(chan struct{}, 1)
	r.leader = &leader.Leader{
		Self: r.self, Store: r.Store, Source: observedSource{r.Source, &r.storeHealth}, Peers: r.messenger, Member: r.follower, Events: r.events,
		ElectorTiming: elector.DefaultTiming(), KeeperTiming: keeper.DefaultTiming(r.Bounds.MaxHold), Grantor: r.admitter,
		Bounds: func() pimento.Bounds { return *r.bounds.Load() }, OnStateSent: r.observer.stateSent, OnEra: r.enterEra, OnDelay: r.observer.leaderDelay(),
	}
	r.leader.Init()
	r.acceptor = &acceptor.Acceptor{
		Handler: &forwarder.Forwarder{
			View: r.follower.view.Load, Dispatcher: r.admitter, Records: r.registrar, RequireKey: r.RequireKey, Observer: r.observer,
			Currency: r.follower.confirmer, EndsAt: r.requestsEndAt,
		},
		Wire: r.CallerWire, Limits: r.follower.limits, IsCurrent: r.follower.confirmer.IsCurrent, OnRefused: r.observer.Refused, OnTruncated: r.observer.AnswerCut,
		Budget: r.callersBudget(), MaxConnections: r.Connections, OnReplaced: r.observer.connectionReplaced, Delay: r.leader.Delay,
	}
	r.registerGauges()
}

func retryBudget(b pimento.Bounds) admitter.RetryBudget {
	return admitter.RetryBudget{RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow}
}

// SetBounds replaces the bounds of a running process, except for MaxHold.
func (r *Router) SetBounds(b pimento.Bounds) {
	r.bounds.Store(&b)
	r.admitter.SetRetryBudget(retryBudget(b))
	r.admitter.SetLeavingBound(b.Leaving)
	r.admitter.SetTolerance(leader.Tolerance(b))
}

// LogEvent logs an event of the program that runs the Router.
func (r *Router) LogEvent(number pimento.EventNumber, pairs ...any) { r.events.Emit(number, pairs...) }

// listeners are the sockets of a process.
type listeners struct {
	peers     net.Listener
	callers   net.Listener
	ready     net.Listener // nil: disabled
	operators net.Listener // nil: disabled
}

// listen opens the sockets and sets r.self, with the addresses they are bound to.
func (r *Router) listen() (listeners, error) {
	var l listeners
	r.self = pimento.Process{
		ID:   pimento.ProcessID(string(r.Host) + "-" + strconv.FormatUint(rand.Uint64(), 36)),
		Host: r.Host, Domain: r.Domain, Started: time.Now().Round(0), Strength: r.Strength,
		Token: strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36),
	}
	var ready netip.AddrPort
	for _, x := range []struct {
		listener *net.Listener
		address  netip.AddrPort
		bound    *netip.AddrPort
	}{
		{&l.peers, r.Peer, &r.self.Peer}, {&l.callers, r.Caller, &r.self.Caller},
		{&l.ready, r.Ready, &ready}, {&l.operators, r.Operator, &r.self.Operator},
	} {
		if !x.address.IsValid() {
			continue
		}
		opened, err := net.Listen("tcp", x.address.String())
		if err != nil {
			return l, err
		}
		*x.listener, *x.bound = opened, opened.Addr().(*net.TCPAddr).AddrPort()
	}
	return l, nil
}

// task is one goroutine of the supervisor tree.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (t task) Serve(ctx context.Context) error { return t.run(ctx) }

// String returns the name of the task in logs.
func (t task) String() string { return t.name }

// newSupervisor returns a supervisor that runs all tasks and restarts those that
// fail.
func (r *Router) newSupervisor(l listeners) *suture.Supervisor {
	supervisor := suture.New("router", suture.Spec{EventHook: func(e suture.Event) {
		r.events.Emit(pimento.EventTaskFailed, "Duty", e.String())
	}})
	for _, t := range []task{
		{"messages", func(ctx context.Context) error { return r.messenger.Run(ctx, l.peers) }},
		{"permits", r.admitter.Run},
		{"leader", r.leader.Run},
		{"records", r.registrar.Run},
		{"registration", r.register},
		{"manifest", r.follower.watchManifest},
		{"confirmation", r.follower.confirmWhileLeading},
		{"state", r.follower.pollState},
		{"callers", func(ctx context.Context) error { return r.acceptor.Serve(ctx, l.callers) }},
	} {
		supervisor.Add(t)
	}
	if l.ready != nil {
		supervisor.Add(task{"ready", func(ctx context.Context) error { return r.serveReady(ctx, l.ready) }})
	}
	if l.operators != nil {
		supervisor.Add(task{"operators", func(ctx context.Context) error { return r.serveOperators(ctx, l.operators) }})
	}
	return supervisor
}
