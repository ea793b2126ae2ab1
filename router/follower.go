package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/admitter"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/scheduler"
)

const (
	// manifestWait is how long one watch for a manifest may wait.
	manifestWait = 25 * time.Second
	// manifestRetry is the time after a watch that failed.
	manifestRetry = 300 * time.Millisecond
	// manifestPause is the least time between two watches, so that manifests
	// in quick succession cost few calls.
	manifestPause = 150 * time.Millisecond
)

// follower holds what this process knows of the state that all share.
type follower struct {
	router *Router

	view atomic.Pointer[forwarder.View]

	mu         sync.Mutex
	versions   messenger.Versions
	assignment *pimento.Assignment
	upstreams  []scheduler.Upstream
	owners     map[pimento.ServiceName][]scheduler.Owner
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
func (f *follower) Manifest() *pimento.Manifest {
	if v := f.view.Load(); v != nil {
		return v.Manifest
	}
	return nil
}

// Versions implements leader.Member.
func (f *follower) Versions() messenger.Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions
}

// Report implements leader.Member.
func (f *follower) Report() ([]messenger.KeyLoad, []messenger.Speed) { return f.router.admitter.Report() }

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

// followManifest learns manifests from the store until ctx ends.
func (f *follower) followManifest(ctx context.Context) error {
	var revision uint64
	for {
		next, err := f.awaitManifest(ctx, revision)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			var gone *pimento.HistoryGoneError
			if errors.As(err, &gone) {
				revision = 0
				continue
			}
			sleep(ctx, manifestRetry)
			continue
		}
		f.router.leader.StoreAnswered()
		revision = next
		sleep(ctx, manifestPause)
	}
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
	f.versions.Manifest = m.Version
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

// followState keeps the state fresh where no leader does.
func (f *follower) followState(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
