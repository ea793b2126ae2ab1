package router

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// upstreamsCheckInterval is the time between two checks whether the upstreams in
	// force are too old.
	upstreamsCheckInterval = 50 * time.Millisecond
	// minUpstreamsPause is the first pause after reads that have failed twice in a row.
	minUpstreamsPause = 500 * time.Millisecond
)

// readAge returns how old the upstreams in force become before this process reads them:
// nearly half of the time after which a leaving one must get nothing, so that a second
// read is in time. It differs between processes that lose the same leader.
func readAge(leaving time.Duration) time.Duration {
	return leaving*9/20 + rand.N(leaving/10+1)
}

// domainsReadAge returns how old this process's reading of the failure domains out of
// service becomes before it reads them with the upstreams.
func domainsReadAge(evacuation time.Duration) time.Duration { return evacuation * 2 / 5 }

// sentUpstreams are the upstreams and the failure domains out of service as the leader has
// sent them.
type sentUpstreams struct {
	servers map[pimento.UpstreamName]pimento.Server
	out     []pimento.DomainName
	gone    map[pimento.UpstreamName]time.Time // starts of the runs that were removed
}

// apply applies changes of the upstreams, or replaces them all if the list is whole.
func (s *sentUpstreams) apply(now time.Time, list *messenger.UpstreamList) {
	if s.gone == nil {
		s.gone = make(map[pimento.UpstreamName]time.Time)
	}
	if list.Whole || s.servers == nil {
		for name, server := range s.servers {
			s.gone[name] = server.Started
		}
		s.servers = make(map[pimento.UpstreamName]pimento.Server)
	}
	for _, u := range list.Upstreams {
		server := u.Server
		server.WarmAt = now.Add(u.ColdFor)
		s.servers[server.Name] = server
		delete(s.gone, server.Name)
	}
	for _, name := range list.Gone {
		if server, ok := s.servers[name]; ok {
			s.gone[name] = server.Started
		}
		delete(s.servers, name)
	}
	s.out = list.Out
}

// updateUpstreams applies what the leader has sent. What this process has read stays in
// force until the leader's read is known to be later, but what leaves is obeyed at once.
// The caller holds mu.
func (f *follower) updateUpstreams(now time.Time, list *messenger.UpstreamList) {
	f.sent.apply(now, list)
	if f.own != nil {
		f.own.MarkLeaving(f.sentServers())
	}
	f.putInForce()
}

// putInForce puts the upstreams in force that this process has read, or else those that
// the leader has sent. The caller holds mu.
func (f *follower) putInForce() {
	if f.own == nil || !f.own.Complete() {
		f.upstreams, f.domainsOut = f.sent.servers, f.sent.out
		return
	}
	now, kept := time.Now(), timekeeper.Now()
	f.upstreams, f.domainsOut = make(map[pimento.UpstreamName]pimento.Server), f.own.Out()
	for _, s := range f.own.Servers() {
		s.WarmAt = now.Add(s.WarmAt.Sub(kept))
		f.upstreams[s.Name] = s
	}
}

// sentServers returns the upstreams that the leader has sent, warm by the clock of
// timekeeper. The caller holds mu.
func (f *follower) sentServers() []pimento.Server {
	now, kept := time.Now(), timekeeper.Now()
	out := make([]pimento.Server, 0, len(f.sent.servers))
	for _, s := range f.sent.servers {
		s.WarmAt = kept.Add(s.WarmAt.Sub(now))
		out = append(out, s)
	}
	return out
}

// KnownUpstreams implements leader.Member.
func (f *follower) KnownUpstreams() leader.KnownUpstreams {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own != nil && f.own.Complete() {
		return f.own.Known()
	}
	return f.knownAsSent()
}

// knownAsSent returns the upstreams that the leader has sent. The caller holds mu.
func (f *follower) knownAsSent() leader.KnownUpstreams {
	return leader.KnownUpstreams{Era: f.upstreamsEra, Servers: f.sentServers(), Out: f.sent.out, Gone: maps.Clone(f.sent.gone)}
}

// UpstreamsConfirmed implements leader.Member.
func (f *follower) UpstreamsConfirmed(r leader.UpstreamsRead) {
	f.mu.Lock()
	f.confirmed = r
	if !f.applyConfirmation() {
		f.mu.Unlock()
		return
	}
	snapshot := f.snapshot()
	f.mu.Unlock()
	f.router.admitter.Update(snapshot)
}

// applyConfirmation dates the upstreams that the leader has sent by its last read, if it
// has sent all that this showed, and puts them in force if this process's own read began
// before. It reports whether those in force have changed. The caller holds mu.
func (f *follower) applyConfirmation() bool {
	r := f.confirmed
	if r.Epoch != f.versions.Epoch || f.versions.Upstreams == 0 || r.Version > f.versions.Upstreams || !r.BeganAt.After(f.upstreamsAt) {
		return false
	}
	f.dateUpstreams(r.BeganAt, r.Era)
	if f.own == nil {
		return false
	}
	f.own = nil
	f.putInForce()
	return true
}

// dateUpstreams notes when the upstreams in force were certainly the newest, and in which
// era of the store. The caller holds mu.
func (f *follower) dateUpstreams(at time.Time, era uint64) {
	f.upstreamsAt, f.upstreamsEra = at, era
	f.upstreamsDue = at.Add(readAge(f.router.bounds.Load().Leaving))
}

// upstreamsKnownAt returns when the upstreams in force were certainly the newest, zero if
// never.
func (f *follower) upstreamsKnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreamsAt
}

// upstreamsAge returns how old the upstreams in force are, zero if that is not known.
func (f *follower) upstreamsAge() time.Duration {
	at := f.upstreamsKnownAt()
	if at.IsZero() {
		return 0
	}
	return timekeeper.Now().Sub(at)
}

// upstreamsAreStale reports whether the upstreams in force are so old that one of them may
// have left nearly as long ago as it may still get requests. The margin is for requests on
// their way. While neither this process nor its leader reaches the store, requests go on by
// what is known.
func (f *follower) upstreamsAreStale() bool {
	r, at := f.router, f.upstreamsKnownAt()
	if at.IsZero() || timekeeper.Now().Sub(at) < r.bounds.Load().Leaving*9/10 {
		return false
	}
	return r.leader.FollowsStore() || !r.storeHealth.isFailing()
}

// mustReadUpstreams reports whether the upstreams in force are so old that this process
// has to read them. A leader reads them anyway.
func (f *follower) mustReadUpstreams() bool {
	if f.router.leader.IsLeader() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !timekeeper.Now().Before(f.upstreamsDue)
}

// pollState reads the upstreams and the failure domains out of service from the store
// while no leader confirms them in time. The owners last sent by a leader are kept: an
// upstream refuses keys that it does not hold.
func (f *follower) pollState(ctx context.Context) error {
	sleep(ctx, firstLeaderWait)
	f.awaitTurn(ctx)
	backoff := timekeeper.Backoff{Initial: minUpstreamsPause, Max: maxStoreRetry}
	timeout, failures := confirmTimeout, 0
	for ctx.Err() == nil {
		if !f.mustReadUpstreams() || f.router.storeIsAway() {
			sleep(ctx, upstreamsCheckInterval)
			continue
		}
		began := time.Now()
		err := f.readState(ctx, timeout) // reported through ObserveStoreCall
		if err == nil {
			timeout, failures = nextTimeout(time.Since(began)), 0
			backoff.Reset()
			continue
		}
		f.router.leader.StoreFailed()
		var busy *pimento.BusyError
		if failures++; failures == 1 && !errors.As(err, &busy) {
			sleep(ctx, confirmRetryPause) // the failure may be that of its connection
			continue
		}
		timeout = maxConfirmTimeout
		sleep(ctx, backoff.Pause())
		f.awaitTurn(ctx)
	}
	return ctx.Err()
}

// listSpacing is the mean time between two processes that read the whole list of upstreams
// while there is no leader. The campaigns of the others need the store meanwhile.
const listSpacing = 20 * time.Millisecond

// awaitTurn waits for a random part of the time in which all processes can read the list of
// upstreams one after the other, or until a leader has sent it.
func (f *follower) awaitTurn(ctx context.Context) {
	spread := time.Duration(f.router.leader.Members()) * listSpacing
	if spread == 0 {
		return
	}
	for end := time.Now().Add(rand.N(spread)); f.mustReadUpstreams() && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, upstreamsCheckInterval)
	}
}

// readState reads the upstreams and, if they were not read of late, the failure domains
// out of service. Each of the two reads may take as long as the timeout.
func (f *follower) readState(ctx context.Context, timeout time.Duration) error {
	began := timekeeper.Now()
	servers, err := f.readUpstreams(ctx, timeout)
	if err != nil {
		return err
	}
	f.router.leader.StoreAnswered(began)
	f.applyOwnUpstreams(began, servers)
	if !f.mustReadDomains() {
		return nil
	}
	began = timekeeper.Now()
	out, err := f.readDomains(ctx, timeout)
	if err != nil {
		return err
	}
	f.applyOwnDomains(began, out)
	return nil
}

// applyOwnUpstreams applies a read of the upstreams by this process, unless the leader's
// list is known to be newer by now.
func (f *follower) applyOwnUpstreams(beganAt time.Time, servers []pimento.Server) {
	f.mu.Lock()
	if !beganAt.After(f.upstreamsAt) {
		f.mu.Unlock()
		return
	}
	now, begins, knownAt := timekeeper.Now(), f.own == nil, f.upstreamsAt
	if begins {
		f.own = f.newOwnList(beganAt)
	}
	f.own.Apply(now, beganAt, f.router.storeEra.Load(), servers)
	f.mu.Unlock()
	if begins {
		f.router.events.Emit(pimento.EventUpstreamsRead, "Upstreams", len(servers), "Known", pimento.Age(now, knownAt), "Took", roundToMillis(now.Sub(beganAt)))
	}
	f.putOwnInForce()
}

// newOwnList returns a list that begins with what the leader has sent, if it has. The
// caller holds mu.
func (f *follower) newOwnList(beganAt time.Time) *leader.OwnList {
	at, known := f.upstreamsAt, f.knownAsSent()
	if at.IsZero() && f.sent.servers != nil { // by a leader that confirms nothing
		at, known.Era = beganAt, f.router.storeEra.Load()
	}
	return f.router.leader.NewOwnList(at, known, f.coldFor)
}

// coldFor returns how long the upstreams of a service are cold after the return of their
// failure domain.
func (f *follower) coldFor(name pimento.ServiceName) time.Duration {
	v := f.view.Load()
	if v == nil {
		return 0
	}
	s, _ := v.Manifest.Service(name)
	return s.ColdFor
}

// mustReadDomains reports whether this process's reading of the failure domains out of
// service is missing or too old.
func (f *follower) mustReadDomains() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own != nil && timekeeper.Now().Sub(f.own.OutReadAt()) > domainsReadAge(f.router.bounds.Load().Evacuation)
}

// applyOwnDomains applies a read of the failure domains out of service by this process,
// unless the leader's list is known to be newer by now.
func (f *follower) applyOwnDomains(beganAt time.Time, out []pimento.DomainName) {
	f.mu.Lock()
	if f.own == nil {
		f.mu.Unlock()
		return
	}
	f.own.SetOut(timekeeper.Now(), beganAt, f.router.storeEra.Load(), out)
	f.mu.Unlock()
	f.putOwnInForce()
}

// putOwnInForce puts what this process has read in force once it is complete.
func (f *follower) putOwnInForce() {
	f.mu.Lock()
	if f.own == nil || !f.own.Complete() {
		f.mu.Unlock()
		return
	}
	f.dateUpstreams(f.own.ReadAt(), f.router.storeEra.Load())
	f.putInForce()
	snapshot := f.snapshot()
	f.mu.Unlock()
	f.router.admitter.Update(snapshot)
}

func (f *follower) readUpstreams(ctx context.Context, timeout time.Duration) ([]pimento.Server, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return observedSource{f.router.Source, &f.router.storeHealth}.Upstreams(ctx)
}

func (f *follower) readDomains(ctx context.Context, timeout time.Duration) ([]pimento.DomainName, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, _, _, err := f.router.Source.DomainsOut(ctx, pimento.Revision{}, 0)
	return out, err
}
