package leader

import (
	"maps"
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// outages tells from the calls of this process to the store, and from those that its
// leader vouches for, whether the store was away of late, so that entries may have lapsed.
// An election without an outage makes a gap between two answers too, but no call fails in
// it. It is safe for concurrent use.
type outages struct {
	mu            sync.Mutex
	answeredAt    time.Time // beginning of the latest call that was answered
	failedAt      time.Time // end of the latest call that failed
	lapsedUntil   time.Time
	restoredUntil time.Time
}

// answered records that the store has answered a call that began at beganAt.
func (o *outages) answered(now, beganAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !beganAt.After(o.answeredAt) {
		return
	}
	isLong := beganAt.Sub(o.answeredAt) > storeOutageThreshold
	if isLong && o.failedAt.After(o.answeredAt) {
		o.lapsedUntil = now.Add(lapsedEntryGrace)
	}
	o.answeredAt = beganAt
}

// failed records that a call to the store has failed.
func (o *outages) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt = now
}

// restored records that the store was restored from a copy.
func (o *outages) restored(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restoredUntil = now.Add(lapsedEntryGrace)
}

// ends returns until when entries that are missing may have lapsed in an outage, and until
// when the store may show entries of before its restore.
func (o *outages) ends() (lapsedUntil, restoredUntil time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lapsedUntil, o.restoredUntil
}

// KnownUpstreams are the upstreams and the failure domains out of service that a process
// knows. Times are those of timekeeper.
type KnownUpstreams struct {
	Era     uint64 // of the store; zero: the present one
	Servers []pimento.Server
	Out     []pimento.DomainName
	Gone    map[pimento.UpstreamName]time.Time // starts of the runs whose entries were removed
}

// seed lets a registry that has read nothing begin with what a process knows: what it
// misses in its first reading may have lapsed, and which domains return is known.
func (r *registry) seed(now time.Time, k KnownUpstreams) {
	r.init()
	r.era, r.outDomains = k.Era, slices.Clone(k.Out)
	r.gone = maps.Clone(k.Gone)
	if r.gone == nil {
		r.gone = make(map[pimento.UpstreamName]time.Time)
	}
	for _, s := range k.Servers {
		r.known[s.Name], r.lastStarted[s.Name] = s, s.Started
		if s.WarmAt.After(now) {
			r.coldUntil[s.Name] = s.WarmAt // its entry may not show the return of its domain
		}
	}
	for _, s := range k.Servers {
		if s.State == pimento.StateLeaving {
			r.markLeaving(pimento.Run{Upstream: s.Name, Started: s.Started})
		}
	}
}

// keepMissing keeps entries that are missing until a time.
func (r *registry) keepMissing(until time.Time) { r.graceUntil = later(r.graceUntil, until) }

// holdRestored keeps what is known, as the store may show entries of before its restore
// until a time.
func (r *registry) holdRestored(until time.Time) {
	r.restoredUntil, r.heldOut = until, r.outDomains
	r.keepMissing(until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreFailed records that a call of this process to the store has failed.
func (l *Leader) StoreFailed() { l.outages.failed(timekeeper.Now()) }

// seedTerm lets a new term begin with the upstreams that this process knows.
func (l *Leader) seedTerm(now time.Time, t *term) {
	known := l.Member.KnownUpstreams()
	if known.Era == 0 {
		known.Era = l.storeEra.Load()
	}
	t.upstreams.seed(now, known)
	if _, until := l.outages.ends(); now.Before(until) {
		t.upstreams.holdRestored(until)
	}
	maps.Copy(t.servers, t.upstreams.known)
}
