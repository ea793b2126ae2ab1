package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/admitter"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// manifestWait is how long one watch for a manifest may wait. A watch may
	// hear nothing though there are changes, so it is short.
	manifestWait = time.Second
	// storeRetry and storeRetryMost bound the time after calls to the store that
	// failed.
	storeRetry     = 250 * time.Millisecond
	storeRetryMost = 2 * time.Second
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

	mu        sync.Mutex
	versions  messenger.Versions
	manifest  []byte // as it stands in the store
	roster    *messenger.Roster
	upstreams map[pimento.UpstreamName]pimento.Server
	out       []pimento.DomainName // that get no work
	owners    map[pimento.ServiceName][]scheduler.Owner
	alone     bool // the upstreams were read from the store
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
func (f *follower) Report() messenger.Report {
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
	if s.Roster != nil {
		f.roster, f.versions.Roster = s.Roster, s.Versions.Roster
	}
	if s.Upstreams != nil && (s.Upstreams.Whole || f.versions.Upstreams > 0) {
		f.takeUpstreams(now, s.Upstreams)
		f.versions.Upstreams = s.Versions.Upstreams
	}
	if s.Owners != nil && (s.Owners.Whole || f.versions.Owners > 0) {
		f.takeOwners(now, s.Owners)
		f.versions.Owners = s.Versions.Owners
	}
	f.versions.Blocked = s.Versions.Blocked
	board := f.board()
	f.mu.Unlock()
	f.router.admitter.Block(s.Blocked)
	if s.Manifest != nil {
		f.takeManifest(s.Manifest)
	}
	f.router.admitter.Learn(board)
	if s.Roster != nil {
		f.router.registrar.Learn(board.Pools, board.Processes)
	}
}

// unheld returns how many keys have no ready holder, as far as this process
// knows.
func (f *follower) unheld() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, list := range f.owners {
		for _, o := range list {
			if !o.Ready {
				n += o.Len()
			}
		}
	}
	return n
}

// takeUpstreams takes over what is new of the upstreams. The caller holds mu.
func (f *follower) takeUpstreams(now time.Time, list *messenger.UpstreamList) {
	if list.Whole || f.upstreams == nil {
		f.upstreams = make(map[pimento.UpstreamName]pimento.Server)
	}
	for _, u := range list.Upstreams {
		s := u.Server
		s.WarmAt = now.Add(u.ColdFor)
		f.upstreams[s.Name] = s
	}
	for _, name := range list.Gone {
		delete(f.upstreams, name)
	}
	f.out = list.Out
}

// usable returns the upstreams with whether they take new work. The caller
// holds mu.
func (f *follower) usable() []scheduler.Upstream {
	out := make([]scheduler.Upstream, 0, len(f.upstreams))
	for _, s := range f.upstreams {
		usable := s.State == pimento.StateArriving && !slices.Contains(f.out, s.Domain)
		out = append(out, scheduler.Upstream{Server: s, Usable: usable})
	}
	return out
}

// takeOwners takes over what is new of the keys. The caller holds mu. The
// lists of before are not changed, since the admitter reads them.
func (f *follower) takeOwners(now time.Time, list *messenger.OwnerList) {
	next := make(map[pimento.ServiceName][]scheduler.Owner)
	if !list.Whole {
		maps.Copy(next, f.owners)
	}
	byService := make(map[pimento.ServiceName][]scheduler.Owner)
	for _, o := range list.Owners {
		byService[o.Service] = append(byService[o.Service], scheduler.Owner{
			KeyRange: o.Range, Upstream: o.Upstream, Ready: o.Ready, ReadyAt: now.Add(o.ReadyIn),
		})
	}
	for service, changed := range byService {
		next[service] = overlay(next[service], changed)
	}
	f.owners = next
}

// overlay puts owners over those of before, which keep the keys that no
// changed one names. Both lists are sorted.
func overlay(before, changed []scheduler.Owner) []scheduler.Owner {
	out := make([]scheduler.Owner, 0, len(before)+2*len(changed))
	out = append(out, changed...)
	for _, o := range before {
		from := int(o.From)
		for _, c := range changed {
			if !c.Overlaps(o.KeyRange) {
				continue
			}
			if from < int(c.From) {
				out = append(out, part(o, from, int(c.From)-1))
			}
			from = max(from, int(c.To)+1)
		}
		if from <= int(o.To) {
			out = append(out, part(o, from, int(o.To)))
		}
	}
	slices.SortFunc(out, func(a, b scheduler.Owner) int { return cmp.Compare(a.From, b.From) })
	return out
}

func part(o scheduler.Owner, from, to int) scheduler.Owner {
	o.KeyRange = pimento.KeyRange{From: pimento.Key(from), To: pimento.Key(to)}
	return o
}

// board returns what the admitter reads. The caller holds mu.
func (f *follower) board() *admitter.Board {
	b := &admitter.Board{
		Upstreams: f.usable(), Owners: f.owners, OwnersVersion: f.versions.Owners,
		Processes: make(map[pimento.ProcessID]pimento.Process),
	}
	if v := f.view.Load(); v != nil {
		b.Services = v.Manifest.Services
	}
	if f.roster != nil {
		b.Pools = f.roster.Pools
		for _, p := range f.roster.Processes {
			b.Processes[p.ID] = p
		}
	}
	return b
}

// followManifest learns manifests from the store until ctx ends. A process
// that is led hears of them from its leader.
func (f *follower) followManifest(ctx context.Context) error {
	var revision uint64
	backoff := timekeeper.Backoff{Least: storeRetry, Most: storeRetryMost}
	for ctx.Err() == nil {
		if f.router.leader.IsLed() && !f.router.leader.Leads() && f.view.Load() != nil {
			revision = 0
			sleep(ctx, ledPause)
			continue
		}
		next, err := f.awaitManifest(ctx, revision)
		revision = next
		if err != nil {
			sleep(ctx, backoff.Pause())
			continue
		}
		backoff.Reset()
		f.router.leader.StoreAnswered()
		sleep(ctx, manifestPause)
	}
	return ctx.Err()
}

// awaitManifest waits for a manifest after a revision and takes it over.
func (f *follower) awaitManifest(ctx context.Context, after uint64) (uint64, error) {
	value, revision, err := f.router.Source.Manifest(ctx, after, manifestWait)
	if err != nil {
		return 0, err // it is read anew
	}
	if value == nil {
		return revision, nil
	}
	f.takeManifest(value)
	return revision, nil
}

// takeManifest takes over a manifest as it stands in the store, unless it is
// older than the one in force.
func (f *follower) takeManifest(value []byte) {
	m, err := f.router.Source.DecodeManifest(value)
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
	pause := alonePause
	backoff := timekeeper.Backoff{Least: alonePause, Most: storeRetryMost}
	for ctx.Err() == nil {
		sleep(ctx, pause)
		pause = alonePause
		if f.router.leader.IsLed() {
			continue
		}
		if err := f.readState(ctx); err != nil { // told by the store's client
			pause = backoff.Pause()
			continue
		}
		backoff.Reset()
	}
	return ctx.Err()
}

// readState reads upstreams and failure domains from the store. What a leader
// said of keys stays: an upstream refuses what it does not hold.
func (f *follower) readState(ctx context.Context) error {
	servers, err := f.router.Source.Upstreams(ctx)
	if err != nil {
		return err
	}
	out, _, _, err := f.router.Source.Out(ctx, 0, 0)
	if err != nil {
		return err
	}
	f.router.leader.StoreAnswered()
	now := timekeeper.Now()
	list := &messenger.UpstreamList{Out: out}
	for _, s := range servers {
		u := messenger.Upstream{Server: s, ColdFor: max(0, s.WarmAt.Sub(now))}
		list.Upstreams = append(list.Upstreams, u)
	}
	f.mu.Lock()
	list.Whole = true
	f.takeUpstreams(time.Now(), list)
	f.versions.Upstreams = 0
	f.alone = true
	board := f.board()
	f.mu.Unlock()
	f.router.admitter.Learn(board)
	return nil
}
