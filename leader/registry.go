package leader

import (
	"context"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// listsPerBound is how often the upstreams are read in the time after which a leaving
	// one must get nothing from any process.
	listsPerBound = 5
	// minListBackoff and maxListBackoff bound the backoff after failed readings.
	// After an outage of the store, readings resume within the maximum.
	minListBackoff = 250 * time.Millisecond
	maxListBackoff = time.Second
	// maxOutBackoff bounds the backoff after failed watches of the failure domains
	// out of service. Operators expect their changes to take effect within five
	// seconds.
	maxOutBackoff = 2 * time.Second
	// storeOutageThreshold is the time between two answers of the store, with a call
	// that failed between them, above which missing entries may have lapsed.
	storeOutageThreshold = 1200 * time.Millisecond
	// lapsedEntryGrace is how long such entries are kept after the store's return.
	lapsedEntryGrace = 2300 * time.Millisecond
	// outWatchTimeout bounds one watch of the failure domains out of service. It
	// is short because a watch may miss changes.
	outWatchTimeout = 1500 * time.Millisecond
)

// registry holds the known state of the upstreams.
type registry struct {
	known          map[pimento.UpstreamName]pimento.Server
	lastStarted    map[pimento.UpstreamName]time.Time // latest start seen
	outDomains     []pimento.DomainName
	outDomainsRead bool // whether they were read once
	coldFor        func(pimento.ServiceName) time.Duration
	coldUntil      map[pimento.UpstreamName]time.Time   // after their domain returned to service
	heldOut        []pimento.DomainName                 // out before the store was restored, until restoredUntil
	listedOut      []pimento.DomainName                 // as last read
	gone           map[pimento.UpstreamName]time.Time   // starts of the runs whose entries were removed
	toldLeaving    map[pimento.UpstreamName]pimento.Run // whose answers say that they leave
	era            uint64                               // of the store, as of the last reading
	readBeganAt    time.Time                            // of the last reading of the upstreams
	outReadAt      time.Time                            // as of when outDomains are known
	graceUntil     time.Time
	restoredUntil  time.Time // until then the store may show entries of before
	version        uint64
	published      []pimento.Server // upstreams as of version
	publishedOut   []pimento.DomainName
	changedAt      map[pimento.UpstreamName]uint64 // versions at which those published last changed
	removedAt      map[pimento.UpstreamName]uint64 // versions at which others were removed
	removedFrom    uint64                          // version from which on removedAt has all
}

// maxRemoved bounds the removed upstreams that are remembered.
const maxRemoved = 1024

// enterEra notes the era of the store before a reading is applied. In a store that was
// restored from a copy, entries may be older than those known, until upstreams and
// operators have written them again.
func (r *registry) enterEra(now time.Time, era uint64) {
	if r.era > 0 && era > r.era {
		r.holdRestored(now.Add(lapsedEntryGrace))
	}
	r.era = max(r.era, era)
}

// current returns what an entry says, or what is known if a restored store shows an
// older state of its upstream. It reports false for a run that is known to have ended.
func (r *registry) current(now time.Time, s pimento.Server) (pimento.Server, bool) {
	if !now.Before(r.restoredUntil) {
		return s, true
	}
	old, known := r.known[s.Name]
	if r.lastStarted[s.Name].After(s.Started) {
		return old, known
	}
	if at, gone := r.gone[s.Name]; gone && at.Equal(s.Started) {
		return s, false
	}
	if known && old.Started.Equal(s.Started) && old.State == pimento.StateLeaving {
		s.State = old.State
	}
	return s, true
}

// init makes the maps of a registry that has none.
func (r *registry) init() {
	if r.known != nil {
		return
	}
	r.known = make(map[pimento.UpstreamName]pimento.Server)
	r.lastStarted = make(map[pimento.UpstreamName]time.Time)
	r.gone = make(map[pimento.UpstreamName]time.Time)
	r.coldUntil = make(map[pimento.UpstreamName]time.Time)
}

// applyList applies a reading that began at startedAt.
func (r *registry) applyList(now, startedAt time.Time, list []pimento.Server) {
	r.init()
	r.readBeganAt = startedAt
	next := make(map[pimento.UpstreamName]pimento.Server, len(list))
	addresses := make(map[string]bool, len(list))
	for _, s := range list {
		s, ok := r.current(now, s)
		if ok && s.State == pimento.StateUnseen {
			s, ok = r.seen(s)
		}
		if !ok {
			continue
		}
		if !s.WarmAt.After(now) {
			s.WarmAt = time.Time{}
		}
		if old, ok := r.known[s.Name]; ok {
			s.WarmAt = reconcileWarmAt(now, old, s)
		}
		s = r.withToldState(s)
		next[s.Name] = s
		addresses[s.Address.String()] = true
		if s.Started.After(r.lastStarted[s.Name]) {
			r.lastStarted[s.Name] = s.Started
		}
	}
	for name, s := range r.known {
		if _, found := next[name]; found || addresses[s.Address.String()] {
			continue
		}
		if now.Before(r.graceUntil) {
			next[name] = s
		} else {
			r.gone[name] = s.Started
		}
	}
	r.known = next
	r.forgetToldLeaving()
	r.refreshOut(now)
	r.publish()
}

// seen returns what is known of an upstream that the source lists without having seen it:
// the leader, or an earlier one, has.
func (r *registry) seen(s pimento.Server) (pimento.Server, bool) {
	old, known := r.known[s.Name]
	return old, known && old.Address == s.Address
}

// setOut replaces the failure domains that are out of service, as read in an era of the
// store. Upstreams of a domain that returns count as cold for a while.
func (r *registry) setOut(now time.Time, era uint64, out []pimento.DomainName, cold func(pimento.ServiceName) time.Duration) {
	r.enterEra(now, era)
	r.listedOut, r.coldFor, r.outDomainsRead = out, cold, true
	r.refreshOut(now)
	r.publish()
}

// refreshOut derives the failure domains that are out of service from those last read.
// After a restore of the store, those that were out before stay so for a while.
func (r *registry) refreshOut(now time.Time) {
	if !r.outDomainsRead {
		return
	}
	r.init()
	out := slices.Clone(r.listedOut)
	if now.Before(r.restoredUntil) {
		out = append(out, r.heldOut...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	for name, s := range r.known {
		if slices.Contains(r.outDomains, s.Domain) && !slices.Contains(out, s.Domain) {
			r.coldUntil[name] = now.Add(r.coldFor(s.Service))
		}
	}
	r.outDomains = out
}

// publish raises the version if the upstreams or the failure domains out of
// service changed. It waits until both were read.
func (r *registry) publish() {
	if r.readBeganAt.IsZero() || !r.outDomainsRead {
		return
	}
	list := r.list()
	if slices.EqualFunc(list, r.published, sameServer) && slices.Equal(r.outDomains, r.publishedOut) && r.version > 0 {
		return
	}
	r.version++
	r.noteChanges(list)
	r.published, r.publishedOut = list, slices.Clone(r.outDomains)
}

// noteChanges notes the upstreams that differ between those published and a list that is
// published next.
func (r *registry) noteChanges(next []pimento.Server) {
	if r.changedAt == nil {
		r.changedAt = make(map[pimento.UpstreamName]uint64)
		r.removedAt = make(map[pimento.UpstreamName]uint64)
	}
	before := make(map[pimento.UpstreamName]pimento.Server, len(r.published))
	for _, s := range r.published {
		before[s.Name] = s
	}
	for _, s := range next {
		if old, ok := before[s.Name]; !ok || !sameServer(old, s) {
			r.changedAt[s.Name] = r.version
		}
		delete(before, s.Name)
		delete(r.removedAt, s.Name)
	}
	for name := range before {
		delete(r.changedAt, name)
		r.removedAt[name] = r.version
	}
	if len(r.removedAt) > maxRemoved {
		clear(r.removedAt)
		r.removedFrom = r.version
	}
}

// sameServer compares the fields whose changes are sent to members.
func sameServer(a, b pimento.Server) bool {
	return a.Name == b.Name && a.Address == b.Address && a.State == b.State && a.Started.Equal(b.Started) &&
		a.Slots == b.Slots && a.Domain == b.Domain && a.WarmAt.Sub(b.WarmAt).Abs() < warmTolerance
}

// warmTolerance is the difference in the reported end of a cold start that is
// not sent as a change.
const warmTolerance = 300 * time.Millisecond

// coldReportMaxAge bounds the age of an entry's remaining cold time.
const coldReportMaxAge = 2500 * time.Millisecond

// reconcileWarmAt returns when an upstream is warm, from the previous and the
// current reading. An entry holds the remaining cold time as of its writing, so
// the earliest reading of a run is the most accurate unless the upstream became
// cold again. One that is warm now, with a zero WarmAt, keeps the time at which that
// was expected, so that it does not count as changed.
func reconcileWarmAt(now time.Time, old, s pimento.Server) time.Time {
	if s.WarmAt.IsZero() && s.Started.Equal(old.Started) && !old.WarmAt.After(now.Add(coldReportMaxAge)) {
		return old.WarmAt
	}
	again := s.WarmAt.Sub(old.WarmAt) > coldReportMaxAge
	if s.Started.Equal(old.Started) && !again && old.WarmAt.Before(s.WarmAt) {
		return old.WarmAt
	}
	return s.WarmAt
}

// list returns the upstreams sorted by name.
func (r *registry) list() []pimento.Server {
	out := make([]pimento.Server, 0, len(r.known))
	for name, s := range r.known {
		if to := r.coldUntil[name]; to.After(s.WarmAt) {
			s.WarmAt = to
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b pimento.Server) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// usable reports whether an upstream may get new work.
func (r *registry) usable(s pimento.Server) bool {
	return s.State == pimento.StateArriving && !slices.Contains(r.outDomains, s.Domain)
}

// ended reports whether a run has definitely ended, which is so if its upstream
// has started again.
func (r *registry) ended(run pimento.Run) bool {
	last, ok := r.lastStarted[run.Upstream]
	return ok && last.After(run.Started)
}

// message returns what a member lacks that has the upstreams as of a version or a later
// one: all of them if that is zero, or so old that not all removals since are known.
func (r *registry) message(now time.Time, since uint64) *messenger.UpstreamList {
	out := &messenger.UpstreamList{Whole: since == 0 || since < r.removedFrom, Out: r.publishedOut}
	for _, s := range r.published {
		if out.Whole || r.changedAt[s.Name] > since {
			u := messenger.Upstream{Server: s, ColdFor: max(0, s.WarmAt.Sub(now))}
			u.WarmAt = time.Time{}
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	if out.Whole {
		return out
	}
	for name, at := range r.removedAt {
		if at > since {
			out.Gone = append(out.Gone, name)
		}
	}
	return out
}

// readUpstreams reads the upstreams from the store.
func (l *Leader) readUpstreams(now time.Time) {
	t := l.term
	t.listing = true
	go func() {
		list, err := l.Source.Upstreams(t.ctx)
		if err == nil {
			l.recordStoreAnswer()
		}
		l.postTerm(t, func() {
			end := timekeeper.Now()
			t.listing = false
			if err != nil {
				l.StoreFailed()
				t.listAt = end.Add(t.listBackoff.Pause())
				return
			}
			t.listBackoff.Reset()
			t.listAt = now.Add(l.bounds().Leaving / listsPerBound)
			if t.upstreams.version == 0 {
				t.planAt = end
			}
			t.upstreams.enterEra(end, l.storeEra.Load())
			lapsedUntil, _ := l.outages.ends()
			t.upstreams.keepMissing(lapsedUntil)
			t.upstreams.applyList(end, now, list)
			for name, s := range t.upstreams.known {
				t.servers[name] = s
			}
		})
	}()
}

// watchOutDomains watches the failure domains that are out of service. After an
// error it reads them from the start.
func (l *Leader) watchOutDomains(t *term) {
	var after pimento.Revision
	backoff := timekeeper.Backoff{Initial: minListBackoff, Max: maxOutBackoff}
	for t.ctx.Err() == nil {
		beganAt := timekeeper.Now()
		out, changed, revision, err := l.Source.DomainsOut(t.ctx, after, outWatchTimeout)
		if err != nil {
			after = pimento.Revision{}
			sleep(t.ctx, backoff.Pause())
			continue
		}
		backoff.Reset()
		after = revision
		l.StoreAnswered(beganAt)
		l.postTerm(t, func() {
			t.upstreams.outReadAt = beganAt // the watch would have shown what was written before
			if changed {
				t.upstreams.setOut(timekeeper.Now(), l.storeEra.Load(), out, l.coldFor)
			}
		})
	}
}

// coldFor returns how long an upstream of a service is cold after its start.
func (l *Leader) coldFor(name pimento.ServiceName) time.Duration {
	m := l.manifest()
	if m == nil {
		return 0
	}
	s, _ := m.Service(name)
	return s.ColdFor
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serverOf returns the server of a run, if it is known and still that run.
func (t *term) serverOf(r pimento.Run) (pimento.Server, bool) {
	s, ok := t.servers[r.Upstream]
	if !ok || !s.Started.Equal(r.Started) {
		return pimento.Server{}, false
	}
	return s, true
}
