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
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
)

// follower holds what this process knows of the shared state.
type follower struct {
	router    *Router
	confirmer *confirmer // of the manifest

	view       atomic.Pointer[forwarder.View]
	reportedTo atomic.Uint64 // epoch of the leader that got the last report

	mu              sync.Mutex
	snapshots       uint64 // taken so far
	versions        messenger.Versions
	encodedManifest []byte // as stored
	announced       announcement
	announcedNewer  chan struct{} // signals that announced has become newer than the one in force
	// manifestDecoding is how long decoding the manifest in force took.
	manifestDecoding time.Duration
	manifestReadAt   time.Time // when the last answered read of the manifest in the store began
	vouchedAt        time.Time // when the leader last announced no newer manifest
	vouched          bool      // see noteVouched
	roster           *messenger.Roster
	owners           map[pimento.ServiceName][]scheduler.Owner

	upstreams    map[pimento.UpstreamName]pimento.Server // in force
	domainsOut   []pimento.DomainName                    // that get no work
	sent         sentUpstreams                           // versions.Upstreams is the version
	own          *leader.OwnList                         // in force instead of sent; nil: sent is in force
	confirmed    leader.UpstreamsRead                    // the last that the leader has told of
	upstreamsAt  time.Time                               // when those in force were certainly the newest, on the clock of timekeeper; zero: never
	upstreamsEra uint64                                  // of the store then
	upstreamsDue time.Time                               // when to read them, unless the leader confirms them before
}

// Versions implements leader.Member.
func (f *follower) Versions() messenger.Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions
}

// Process implements leader.Member.
func (f *follower) Process(id pimento.ProcessID) (pimento.Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roster == nil {
		return pimento.Process{}, false
	}
	i := slices.IndexFunc(f.roster.Processes, func(p pimento.Process) bool { return p.ID == id })
	if i < 0 {
		return pimento.Process{}, false
	}
	return f.roster.Processes[i], true
}

// Report implements leader.Member.
func (f *follower) Report() messenger.Report {
	epoch := f.router.leader.Term().Epoch
	report := f.router.admitter.Report(epoch)
	if f.reportedTo.Swap(epoch) != epoch {
		report.Limits = f.router.admitter.KnownLimits() // a new leader knows none
	}
	return report
}

// CreditsGranted implements leader.Member.
func (f *follower) CreditsGranted(epoch uint64, c *messenger.Credits) {
	if c != nil {
		f.router.admitter.ApplyCredits(epoch, c.Dispatchers, c.Grants)
	}
}

// Apply implements leader.Member. A state may arrive late, over a connection that
// was given up, so parts that are not newer than those known are ignored.
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
	rosterChanged := s.Roster != nil && s.Versions.Roster > f.versions.Roster
	if rosterChanged {
		f.roster, f.versions.Roster = s.Roster, s.Versions.Roster
		f.dropOwners()
	}
	if list := s.Upstreams; list != nil && mayApply(f.versions.Upstreams, s.Versions.Upstreams, list.Whole) {
		f.updateUpstreams(now, list)
		f.versions.Upstreams = s.Versions.Upstreams
		f.applyConfirmation()
	}
	if list := s.Owners; list != nil && mayApply(f.versions.Owners, s.Versions.Owners, list.Whole) {
		f.updateOwners(now, list)
		f.versions.Owners = s.Versions.Owners
	}
	f.versions.CrashFacts = max(f.versions.CrashFacts, s.Versions.CrashFacts)
	f.versions.Limits = max(f.versions.Limits, s.Versions.Limits)
	snapshot := f.snapshot()
	f.mu.Unlock()
	f.router.admitter.MergeCrashFacts(s.CrashFacts)
	f.router.admitter.MergeLimits(s.Limits)
	if s.Manifest != nil {
		f.adoptManifest(s.Manifest, manifestOrigin{From: string(f.router.leader.Term().Leader)})
	}
	f.router.admitter.Update(snapshot)
	if rosterChanged {
		f.router.registrar.Update(snapshot.Pools, snapshot.Processes)
	}
}

// dropOwners forgets the owners of keys if this process no longer dispatches requests for
// them: the leader tells it of no changes then. The caller holds mu.
func (f *follower) dropOwners() {
	for service := range f.owners {
		pools := slices.DeleteFunc(slices.Clone(f.roster.Pools), func(p pimento.Pool) bool { return p.Service != service })
		if len(pools) != 1 || slices.Contains(pools[0].PreferenceList, f.router.self.ID) {
			return
		}
	}
	f.owners, f.versions.Owners = nil, 0
}

// mayApply reports whether a part of the state with the version next applies to
// the version known here: it is newer and, unless it is whole, some is known.
func mayApply(known, next uint64, whole bool) bool {
	return next > known && (whole || known > 0)
}

// unheldKeys returns how many keys have no ready holder, as far as this process
// knows.
func (f *follower) unheldKeys() int {
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

// listUpstreams returns all upstreams, marking those that take new work. The
// caller holds mu.
func (f *follower) listUpstreams() []scheduler.Upstream {
	out := make([]scheduler.Upstream, 0, len(f.upstreams))
	for _, s := range f.upstreams {
		usable := s.State == pimento.StateArriving && !slices.Contains(f.domainsOut, s.Domain)
		out = append(out, scheduler.Upstream{Server: s, Usable: usable})
	}
	return out
}

// updateOwners applies changes of the owners of keys, or replaces them all if
// the list is whole. The previous lists are not modified, since the admitter
// reads them. The caller holds mu.
func (f *follower) updateOwners(now time.Time, list *messenger.OwnerList) {
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

// overlay returns the changed owners and, for the keys that they do not cover,
// those of before. Both lists are sorted by key.
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
				out = append(out, withRange(o, from, int(c.From)-1))
			}
			from = max(from, int(c.To)+1)
		}
		if from <= int(o.To) {
			out = append(out, withRange(o, from, int(o.To)))
		}
	}
	slices.SortFunc(out, func(a, b scheduler.Owner) int { return cmp.Compare(a.From, b.From) })
	return out
}

func withRange(o scheduler.Owner, from, to int) scheduler.Owner {
	o.KeyRange = pimento.KeyRange{From: pimento.Key(from), To: pimento.Key(to)}
	return o
}

// snapshot returns the known state for the admitter. The caller holds mu.
func (f *follower) snapshot() *admitter.Snapshot {
	f.snapshots++
	s := &admitter.Snapshot{
		Sequence: f.snapshots, Upstreams: f.listUpstreams(), Owners: f.owners, OwnersVersion: f.versions.Owners,
		Processes: make(map[pimento.ProcessID]pimento.Process),
	}
	if v := f.view.Load(); v != nil {
		s.Services, s.Customers = v.Manifest.Services, v.Customers
	}
	if f.roster != nil {
		s.Pools = f.roster.Pools
		for _, p := range f.roster.Processes {
			s.Processes[p.ID] = p
		}
	}
	return s
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
