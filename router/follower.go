package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/admitter"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// manifestWait is how long one watch for a manifest may wait. A watch may
	// hear nothing though there are changes, so it is short.
	manifestWait = time.Second
	// manifestRetry is the time after a watch that failed.
	manifestRetry = 250 * time.Millisecond
	// manifestPause is the least time between two watches, so that manifests
	// in quick succession cost few calls.
	manifestPause = 150 * time.Millisecond
	// ledPause is the time between two looks at whether a leader tells this
	// process of manifests.
	ledPause = 100 * time.Millisecond
	// alonePause is the time between two readings of the state by a process
	// that hears no leader.
	alonePause = 500 * time.Millisecond
)

// follower holds what this process knows of the state that all share.
type follower struct {
	router *Router

	view atomic.Pointer[forwarder.View]

	mu         sync.Mutex
	versions   messenger.Versions
	manifest   []byte // as it stands in the store
	assignment *pimento.Assignment
	upstreams  []scheduler.Upstream
	owners     map[pimento.ServiceName][]scheduler.Owner
	alone      bool // the upstreams were read from the store
}

// limits returns what callers may send.
func (f *follower) limits() pimento.Limits {
	if v := f.view.Load(); v != nil {
		return v.Manifest.Limits
	}
	var m pimento.Manifest
	m.Defaults()
	return m.Limits
}

// Manifest implements leader.Member.
func (f *follower) Manifest() (*pimento.Manifest, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.view.Load(); v != nil {
		return v.Manifest, f.manifest
	}
	return nil, nil
}

// Versions implements leader.Member.
func (f *follower) Versions() messenger.Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions
}

// Report implements leader.Member.
func (f *follower) Report() ([]messenger.KeyLoad, []messenger.Speed) {
	return f.router.admitter.Report()
}

// Apply implements leader.Member.
func (f *follower) Apply(s *messenger.State) {
	now := time.Now()
	f.mu.Lock()
	if s.Versions.Epoch < f.versions.Epoch {
		f.mu.Unlock()
		return
	}
	if s.Versions.Epoch > f.versions.Epoch {
		f.versions = messenger.Versions{Epoch: s.Versions.Epoch, Manifest: f.versions.Manifest}
	}
	if s.Assignment != nil && s.Versions.Assignment > f.versions.Assignment {
		f.assignment, f.versions.Assignment = s.Assignment, s.Versions.Assignment
	}
	if s.Upstreams != nil && s.Versions.Upstreams > f.versions.Upstreams {
		f.upstreams, f.versions.Upstreams = upstreams(now, s.Upstreams), s.Versions.Upstreams
	}
	if s.Owners != nil && s.Versions.Owners > f.versions.Owners {
		f.owners, f.versions.Owners = owners(now, s.Owners), s.Versions.Owners
	}
	board := f.board()
	f.mu.Unlock()
	if s.Manifest != nil {
		f.takeManifest(s.Manifest)
	}
	f.router.admitter.Learn(board)
}

// upstreams turns a message into what the scheduler reads.
func upstreams(now time.Time, list *messenger.UpstreamList) []scheduler.Upstream {
	out := make([]scheduler.Upstream, 0, len(list.Upstreams))
	for _, u := range list.Upstreams {
		x := scheduler.Upstream{Server: u.Server, Usable: u.State == pimento.StateArriving}
		x.WarmAt = now.Add(u.ColdFor)
		for _, d := range list.Out {
			x.Usable = x.Usable && u.Domain != d
		}
		out = append(out, x)
	}
	return out
}

// owners turns a message into what the scheduler reads.
func owners(now time.Time, list *messenger.OwnerList) map[pimento.ServiceName][]scheduler.Owner {
	out := make(map[pimento.ServiceName][]scheduler.Owner)
	for _, o := range list.Owners {
		out[o.Service] = append(out[o.Service], scheduler.Owner{
			KeyRange: o.Range, Upstream: o.Upstream, Ready: o.Ready, ReadyAt: now.Add(o.ReadyIn),
		})
	}
	return out
}

// board returns what the admitter reads. The caller holds mu.
func (f *follower) board() *admitter.Board {
	b := &admitter.Board{Upstreams: f.upstreams, Owners: f.owners, Processes: make(map[pimento.ProcessID]pimento.Process)}
	if v := f.view.Load(); v != nil {
		b.Services = v.Manifest.Services
	}
	if f.assignment != nil {
		b.Pools = f.assignment.Pools
		for _, m := range f.assignment.Members {
			b.Processes[m.ID] = m.Process
		}
	}
	return b
}

// followManifest learns manifests from the store until ctx ends. A process
// that is led hears of them from its leader.
func (f *follower) followManifest(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		if f.router.leader.IsLed() && !f.router.leader.Leads() && f.view.Load() != nil {
			revision = 0
			sleep(ctx, ledPause)
			continue
		}
		next, err := f.awaitManifest(ctx, revision)
		revision = next
		if err != nil {
			sleep(ctx, manifestRetry)
			continue
		}
		f.router.leader.StoreAnswered()
		sleep(ctx, manifestPause)
	}
	return ctx.Err()
}

// awaitManifest waits for a manifest after a revision and takes it over.
func (f *follower) awaitManifest(ctx context.Context, after uint64) (uint64, error) {
	value, revision, err := f.router.registry.Manifest(ctx, after, manifestWait)
	if err != nil || value == nil {
		return revision, err
	}
	f.takeManifest(value)
	return revision, nil
}

// takeManifest takes over a manifest as it stands in the store, unless it is
// older than the one in force.
func (f *follower) takeManifest(value []byte) {
	m, err := platform.DecodeManifest(value)
	if err != nil {
		f.router.events.Emit(pimento.EventConfigInvalid, "Name", "manifest", "Cause", err)
		return
	}
	f.mu.Lock()
	if old := f.view.Load(); old != nil && old.Manifest.Version >= m.Version {
		f.mu.Unlock()
		return
	}
	f.view.Store(&forwarder.View{Manifest: &m, Routes: pimento.NewRouteTable(m.Routes)})
	f.manifest, f.versions.Manifest = value, m.Version
	board := f.board()
	f.mu.Unlock()
	f.router.events.Emit(pimento.EventManifestLearned, "Version", m.Version, "Routes", len(m.Routes), "Services", len(m.Services))
	f.router.admitter.Learn(board)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// followState reads the state from the store as long as no leader tells it.
func (f *follower) followState(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, alonePause)
		if f.router.leader.IsLed() {
			continue
		}
		f.readState(ctx)
	}
	return ctx.Err()
}

// readState reads upstreams and failure domains from the store. What a leader
// said of keys stays: an upstream refuses what it does not hold.
func (f *follower) readState(ctx context.Context) {
	servers, err := f.router.registry.Upstreams(ctx)
	if err != nil {
		return // the next try comes soon
	}
	out, _, _, err := f.router.registry.Out(ctx, 0, 0)
	if err != nil {
		return
	}
	f.router.leader.StoreAnswered()
	now := timekeeper.Now()
	list := &messenger.UpstreamList{Out: out}
	for _, s := range servers {
		u := messenger.Upstream{Server: s, ColdFor: max(0, s.WarmAt.Sub(now))}
		list.Upstreams = append(list.Upstreams, u)
	}
	f.mu.Lock()
	f.upstreams, f.versions.Upstreams = upstreams(time.Now(), list), 0
	f.alone = true
	board := f.board()
	f.mu.Unlock()
	f.router.admitter.Learn(board)
}
