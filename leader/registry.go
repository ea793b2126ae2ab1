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
	// listPause is the time between two readings of the upstreams. A leaving
	// upstream must be known everywhere within two seconds.
	listPause = 400 * time.Millisecond
	// listRetry and listRetryMost bound the time after readings that failed. An
	// outage ends for all of them within the longest.
	listRetry     = 250 * time.Millisecond
	listRetryMost = time.Second
	// outRetryMost is the same for watches of failure domains taken out, which
	// operators expect to act within five seconds.
	outRetryMost = 2 * time.Second
	// outageAfter is how long the store may not have answered before entries
	// that are missing then may have lapsed with it.
	outageAfter = 1200 * time.Millisecond
	// lapseGrace is how long after the store's return such entries may be
	// missing.
	lapseGrace = 2300 * time.Millisecond
	// outWait is how long one watch for failure domains taken out may wait. A
	// watch may hear nothing though there are changes, so it is short.
	outWait = 1500 * time.Millisecond
)

// registry is what is known of the upstreams.
type registry struct {
	known   map[pimento.UpstreamName]pimento.Server
	goneAt  map[pimento.UpstreamName]time.Time // when an entry was first missing
	lastRun map[pimento.UpstreamName]time.Time // latest start that was seen
	out     []pimento.DomainName
	outRead bool                               // out was read once
	coldTo  map[pimento.UpstreamName]time.Time // cold since their domain came back
	readAt  time.Time
	graceTo time.Time
	version uint64
	sent    []pimento.Server // as of version
	sentOut []pimento.DomainName
}

// take takes over a reading that began at startedAt.
func (r *registry) take(now, startedAt time.Time, list []pimento.Server) {
	if r.known == nil {
		r.known = make(map[pimento.UpstreamName]pimento.Server)
		r.goneAt = make(map[pimento.UpstreamName]time.Time)
		r.lastRun = make(map[pimento.UpstreamName]time.Time)
	}
	if r.coldTo == nil {
		r.coldTo = make(map[pimento.UpstreamName]time.Time)
	}
	if !r.readAt.IsZero() && startedAt.Sub(r.readAt) > outageAfter {
		r.graceTo = now.Add(lapseGrace)
	}
	r.readAt = now
	next := make(map[pimento.UpstreamName]pimento.Server, len(list))
	addresses := make(map[string]bool, len(list))
	for _, s := range list {
		if old, ok := r.known[s.Name]; ok {
			s.WarmAt = warmAt(old, s)
		}
		next[s.Name] = s
		addresses[s.Address.String()] = true
		if s.Started.After(r.lastRun[s.Name]) {
			r.lastRun[s.Name] = s.Started
		}
	}
	for name, s := range r.known {
		if _, there := next[name]; there || addresses[s.Address.String()] {
			continue
		}
		if now.Before(r.graceTo) {
			next[name] = s
		}
	}
	r.known = next
	r.changed()
}

// setOut replaces the failure domains that get no work. Upstreams of one that
// comes back may be cold.
func (r *registry) setOut(now time.Time, out []pimento.DomainName, cold func(pimento.ServiceName) time.Duration) {
	if r.coldTo == nil {
		r.coldTo = make(map[pimento.UpstreamName]time.Time)
	}
	for name, s := range r.known {
		if slices.Contains(r.out, s.Domain) && !slices.Contains(out, s.Domain) {
			r.coldTo[name] = now.Add(cold(s.Service))
		}
	}
	r.out, r.outRead = out, true
	r.changed()
}

// changed raises the version if there is something new to send. Nothing is
// known before both upstreams and failure domains were read.
func (r *registry) changed() {
	if r.readAt.IsZero() || !r.outRead {
		return
	}
	list := r.list()
	if slices.EqualFunc(list, r.sent, sameServer) && slices.Equal(r.out, r.sentOut) && r.version > 0 {
		return
	}
	r.version++
	r.sent, r.sentOut = list, slices.Clone(r.out)
}

// sameServer reports whether two descriptions of an upstream tell the same.
func sameServer(a, b pimento.Server) bool {
	return a.Name == b.Name && a.Address == b.Address && a.State == b.State && a.Started.Equal(b.Started) &&
		a.Slots == b.Slots && a.Domain == b.Domain && a.WarmAt.Sub(b.WarmAt).Abs() < warmSlack
}

// warmSlack is by how much the reported end of a cold start may differ without
// being news.
const warmSlack = 300 * time.Millisecond

// reportAge is how old what an entry says of a cold start may be.
const reportAge = 2500 * time.Millisecond

// warmAt returns when an upstream is warm, from the present reading and the
// one before. An entry says how long the upstream was cold when it was
// written, so the earliest reading of a run is the truest, unless the upstream
// has become cold again.
func warmAt(old, s pimento.Server) time.Time {
	again := s.WarmAt.Sub(old.WarmAt) > reportAge
	if s.Started.Equal(old.Started) && !again && old.WarmAt.Before(s.WarmAt) {
		return old.WarmAt
	}
	return s.WarmAt
}

// list returns the upstreams in order of their names.
func (r *registry) list() []pimento.Server {
	out := make([]pimento.Server, 0, len(r.known))
	for name, s := range r.known {
		if to := r.coldTo[name]; to.After(s.WarmAt) {
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

// usable reports whether an upstream takes new work.
func (r *registry) usable(s pimento.Server) bool {
	return s.State == pimento.StateArriving && !slices.Contains(r.out, s.Domain)
}

// ended reports whether a run has ended for certain: its upstream has started
// again.
func (r *registry) ended(run pimento.Run) bool {
	last, ok := r.lastRun[run.Upstream]
	return ok && last.After(run.Started)
}

// message returns the upstreams for a member that was told of some before.
func (r *registry) message(now time.Time, told []pimento.Server) *messenger.UpstreamList {
	out := &messenger.UpstreamList{Whole: told == nil, Out: r.sentOut}
	before := make(map[pimento.UpstreamName]pimento.Server, len(told))
	for _, s := range told {
		before[s.Name] = s
	}
	for _, s := range r.sent {
		if old, ok := before[s.Name]; !ok || !sameServer(old, s) {
			u := messenger.Upstream{Server: s, ColdFor: max(0, s.WarmAt.Sub(now))}
			u.WarmAt = time.Time{}
			out.Upstreams = append(out.Upstreams, u)
		}
		delete(before, s.Name)
	}
	for name := range before {
		out.Gone = append(out.Gone, name)
	}
	return out
}

// listUpstreams reads the upstreams from the store.
func (l *Leader) listUpstreams(now time.Time) {
	t := l.lead
	t.listing = true
	go func() {
		list, err := l.Source.Upstreams(t.ctx)
		if err == nil {
			l.noteStore()
		}
		l.postTerm(t, func() {
			end := timekeeper.Now()
			t.listing = false
			if err != nil {
				t.listAt = end.Add(t.listBackoff.Pause())
				return
			}
			t.listBackoff.Reset()
			t.listAt = now.Add(listPause)
			if t.upstreams.version == 0 {
				t.planAt = end
			}
			t.upstreams.take(end, now, list)
			for _, s := range list {
				t.runs[s.Name] = s
			}
		})
	}()
}

// followOut learns which failure domains are to get no work. After any fault
// it reads them anew.
func (l *Leader) followOut(t *term) {
	var after uint64
	backoff := timekeeper.Backoff{Least: listRetry, Most: outRetryMost}
	for t.ctx.Err() == nil {
		out, changed, revision, err := l.Source.Out(t.ctx, after, outWait)
		if err != nil {
			after = 0
			sleep(t.ctx, backoff.Pause())
			continue
		}
		backoff.Reset()
		after = revision
		l.noteStore()
		if changed {
			l.postTerm(t, func() { t.upstreams.setOut(timekeeper.Now(), out, l.coldFor) })
		}
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

// address returns where a run is reached.
func (t *term) address(r pimento.Run) (pimento.Server, bool) {
	s, ok := t.runs[r.Upstream]
	if !ok || !s.Started.Equal(r.Started) {
		return pimento.Server{}, false
	}
	return s, true
}
