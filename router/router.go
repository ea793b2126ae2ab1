// Package router is one process of pimentorelay on the platform. It puts the
// parts together as a supervisor tree, one goroutine a duty:
//
//	acceptor -> forwarder -> admitter -> connector -> upstream
//	                            |  ^
//	               permits of peers|  board
//	                            v  |
//	messenger <-> leader <-> follower <- store
//
// # Usage
//
//	r := &router.Router{Settings: s, Log: logger}
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
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/recorder"
)

// Router is one process. Set the exported fields before Run.
type Router struct {
	Settings platform.Settings
	Log      hclog.Logger
	Metrics  netip.AddrPort // where metrics are served; zero: nowhere

	self      pimento.Process
	events    *recorder.Recorder
	metrics   *metrics.Set
	store     *platform.Store
	registry  *platform.Registry
	acceptor  *acceptor.Acceptor
	admitter  *admitter.Admitter
	messenger *messenger.Messenger
	leader    *leader.Leader
	follower  *follower
	leaving   atomic.Bool
}

// Run serves until ctx ends, and then finishes what is under way.
func (r *Router) Run(ctx context.Context) error {
	r.assemble()
	r.events.Emit(pimento.EventProcessStarted, "Host", r.self.Host, "Domain", r.self.Domain, "Peer", r.self.Peer)
	listeners, err := r.listen()
	if err != nil {
		return fmt.Errorf("Router.Run: %w", err)
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := r.tree(listeners)
	ended := tree.ServeBackground(running)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return fmt.Errorf("Router.Run: %w", err)
	}
	r.shutDown()
	stop()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("Router.Run: %w", err)
	}
	r.events.Emit(pimento.EventProcessStopped)
	return nil
}

// assemble makes the parts.
func (r *Router) assemble() {
	s := r.Settings
	r.self = pimento.Process{
		ID: pimento.ProcessID(string(s.Host) + "-" + strconv.FormatUint(rand.Uint64(), 36)), Host: s.Host, Domain: s.Domain,
		Peer: netip.AddrPortFrom(s.IP, s.FirstPort), Caller: s.Caller, Started: time.Now().Round(0),
		Token: strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36),
	}
	r.events = &recorder.Recorder{Process: r.self.ID, Log: r.Log}
	r.metrics = metrics.NewSet()
	r.store = &platform.Store{Address: s.Store, HTTP: platform.NewHTTP()}
	r.registry = &platform.Registry{Store: r.store, OnFault: func(name string, err error) {
		r.events.Emit(pimento.EventConfigInvalid, "Name", name, "Cause", err)
	}}
	r.messenger = &messenger.Messenger{Self: r.self, Handler: (*handler)(r)}
	r.admitter = &admitter.Admitter{Self: r.self, Peers: r.messenger, Wire: platform.Wire{}, Bounds: admitter.Bounds{
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, RetryWindow: s.Bounds.RetryWindow,
	}}
	r.follower = &follower{router: r}
	r.leader = &leader.Leader{
		Self: r.self, Store: r.store, Registry: r.registry, Peers: r.messenger, Member: r.follower, Events: r.events,
		Timing: elector.DefaultTiming(), Keys: keeper.DefaultTiming(s.Bounds.MaxHold), Grantor: r.admitter,
	}
	r.leader.Init()
	r.acceptor = &acceptor.Acceptor{
		Handler: &forwarder.Forwarder{View: r.follower.view.Load, Dispatch: r.admitter},
		Wire:    platform.Wire{}, Limits: r.follower.limits,
	}
}

// listeners are the sockets of a process.
type listeners struct {
	peers   net.Listener
	callers net.Listener
	ready   net.Listener
	metrics net.Listener // nil: none
}

func (r *Router) listen() (listeners, error) {
	var l listeners
	var err error
	for _, x := range []struct {
		to      *net.Listener
		address netip.AddrPort
	}{{&l.peers, r.self.Peer}, {&l.callers, r.Settings.Caller}, {&l.ready, r.Settings.Ready}, {&l.metrics, r.Metrics}} {
		if !x.address.IsValid() {
			continue
		}
		if *x.to, err = net.Listen("tcp", x.address.String()); err != nil {
			return l, err
		}
	}
	return l, nil
}

// duty is one goroutine of the supervisor tree.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (d duty) Serve(ctx context.Context) error { return d.run(ctx) }

// String names the duty in logs.
func (d duty) String() string { return d.name }

func (r *Router) tree(l listeners) *suture.Supervisor {
	tree := suture.New("router", suture.Spec{EventHook: func(e suture.Event) {
		r.events.Emit(pimento.EventDutyFailed, "Duty", e.String())
	}})
	for _, d := range []duty{
		{"messages", func(ctx context.Context) error { return r.messenger.Run(ctx, l.peers) }},
		{"permits", r.admitter.Run},
		{"leader", r.leader.Run},
		{"registration", r.register},
		{"manifest", r.follower.followManifest},
		{"state", r.follower.followState},
		{"ready", func(ctx context.Context) error { return r.serveReady(ctx, l.ready) }},
		{"callers", func(ctx context.Context) error { return r.acceptor.Serve(ctx, l.callers) }},
	} {
		tree.Add(d)
	}
	if l.metrics != nil {
		tree.Add(duty{"metrics", func(ctx context.Context) error { return r.serveMetrics(ctx, l.metrics) }})
	}
	return tree
}
