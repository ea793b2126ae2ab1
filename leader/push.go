package leader

import (
	"context"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// pushTimeout bounds the wait for a member's reply to a state.
	pushTimeout = 700 * time.Millisecond
	// maxEagerManifest is the size in bytes up to which a manifest is sent to members
	// at once. Copies of larger ones for all members would occupy the leader's link,
	// so the members read them from the store.
	maxEagerManifest = 16 << 10
	// manifestReadTime is how long a member has to read a large manifest from the
	// store before the leader sends it.
	manifestReadTime = time.Second
	// ownersInterval is the time between two states with changes of owners to a member
	// that dispatches no keys. It only chooses a pool by them, and is told if it errs.
	ownersInterval = 500 * time.Millisecond
)

// updateOwners recomputes the owners and raises their version if they changed.
func (l *Leader) updateOwners(now time.Time, in keeper.Input) {
	t := l.term
	owners := t.nextOwners[:0]
	for s := range l.keeper.All(now, in) {
		o := messenger.Owner{Service: s.Service, Range: s.KeyRange, Upstream: s.Holder.Upstream, Ready: s.Ready}
		if n := len(owners); n > 0 && owners[n-1].Service == o.Service && owners[n-1].Upstream == o.Upstream && owners[n-1].Ready == o.Ready {
			owners[n-1].Range.To = o.Range.To
			continue
		}
		if !s.Ready && s.Lost {
			o.ReadyIn = max(0, s.LapsesAt.Sub(now))
		}
		owners = append(owners, o)
	}
	t.nextOwners = owners
	t.setOwners(owners)
}

// push brings this process itself and the members up to date.
func (l *Leader) push() {
	t := l.term
	t.versions.Epoch = l.elector.Term().Epoch
	t.versions.Upstreams = t.upstreams.version
	t.versions.Manifest = l.Member.Versions().Manifest
	t.versions.CrashFacts = t.crashes.Version()
	l.updateRoster()
	t.upstreamChanges = changes[messenger.UpstreamList]{}
	l.updateLimits(timekeeper.Now())
	if state := l.missingState(l.Self.ID, l.Member.Versions()); state != nil {
		l.Member.Apply(state)
	}
	now := timekeeper.Now()
	if read, ok := l.upstreamsRead(now); ok {
		l.Member.UpstreamsConfirmed(read)
	}
	for _, m := range l.pushOrder() {
		if m.pushing || m.unconfirmed || m.missedHeartbeats > 0 || m.silent(now) {
			continue
		}
		have := m.versions
		if !l.sendsManifest(now, m) {
			have.Manifest = t.versions.Manifest
		}
		if !l.sendsOwners(now, m) {
			have.Owners = t.versions.Owners
		}
		if state := l.paced(now, l.missingState(m.process.ID, have)); state != nil {
			l.sendState(m, state)
		}
	}
	l.reportSpread(now)
}

// paced returns the part of a state that may be sent now, nil if that is none. The roster
// does not wait for whole lists: a process that knows the dispatchers can serve requests.
func (l *Leader) paced(now time.Time, state *messenger.State) *messenger.State {
	t := l.term
	if state != nil && state.IsWhole() && !t.wholes.mayBegin(now) {
		state = state.WithoutWholes()
	}
	if state != nil && state.Roster != nil && !state.IsWhole() && !t.rosters.mayBegin(now) {
		state = state.WithoutRoster()
	}
	return state
}

// pacerOf returns what spaces the sending of a state, nil if nothing does.
func (l *Leader) pacerOf(state *messenger.State) *statePacer {
	switch {
	case state.IsWhole():
		return &l.term.wholes
	case state.Roster != nil:
		return &l.term.rosters
	}
	return nil
}

// pushOrder returns the members, those that dispatch keys first.
func (l *Leader) pushOrder() []*member {
	list := make([]*member, 0, len(l.term.members))
	for id, m := range l.term.members {
		if l.dispatchesKeys(id) {
			list = append(list, m)
		}
	}
	for id, m := range l.term.members {
		if !l.dispatchesKeys(id) {
			list = append(list, m)
		}
	}
	return list
}

// sendsManifest reports whether the leader sends the manifest to a member that
// lacks it: a small one at once, a large one if the member has made no progress for
// manifestReadTime. Heartbeats announce it in any case.
func (l *Leader) sendsManifest(now time.Time, m *member) bool {
	if !m.hasReplied || m.versions.Manifest >= l.term.versions.Manifest {
		m.lacksManifest = lack{}
		return false
	}
	if m.lacksManifest.since.IsZero() || m.versions.Manifest > m.lacksManifest.known {
		m.lacksManifest = lack{known: m.versions.Manifest, since: now}
	}
	_, encoded := l.Member.Manifest()
	return len(encoded) <= maxEagerManifest || now.Sub(m.lacksManifest.since) >= manifestReadTime
}

// updateRoster rebuilds the roster and raises its version if processes or pools
// changed.
func (l *Leader) updateRoster() {
	t := l.term
	if t.rosterOf == l.assignment {
		return
	}
	t.rosterOf = l.assignment
	r := &messenger.Roster{Pools: l.assignment.Pools}
	for _, m := range l.assignment.Members {
		r.Processes = append(r.Processes, m.Process)
	}
	sameProcess := func(a, b pimento.Process) bool { return a.ID == b.ID && a.Peer == b.Peer }
	if t.roster != nil && slices.EqualFunc(r.Processes, t.roster.Processes, sameProcess) && slices.EqualFunc(r.Pools, t.roster.Pools, samePool) {
		return
	}
	t.roster = r
	t.versions.Roster++
}

// updateLimits raises the version of the limits if one has begun, changed or ended.
func (l *Leader) updateLimits(now time.Time) {
	t := l.term
	if len(t.limits.Changes(now)) > 0 {
		t.versions.Limits++
	}
	t.limits.Retain(now, func(name pimento.UpstreamName) bool { _, known := t.upstreams.known[name]; return known })
}

// sendsOwners reports whether the leader sends a member the owners that it lacks: at once
// if it dispatches keys, else with those of ownersInterval.
func (l *Leader) sendsOwners(now time.Time, m *member) bool {
	return m.versions.Owners == 0 || now.Sub(m.ownersSentAt) >= ownersInterval || l.dispatchesKeys(m.process.ID)
}

// dispatchesKeys reports whether a process is in the preference list of a pool with keys.
func (l *Leader) dispatchesKeys(id pimento.ProcessID) bool {
	return slices.ContainsFunc(l.assignment.Pools, func(p pimento.Pool) bool {
		return l.assignment.Table(p.Service) != nil && slices.Contains(p.PreferenceList, id)
	})
}

// needsOwners reports whether a process uses the owners of keys: it dispatches keys, or
// the first keyed service has several pools to choose from.
func (l *Leader) needsOwners(id pimento.ProcessID) bool {
	return len(l.assignment.PoolsOf(l.firstKeyedService())) > 1 || l.dispatchesKeys(id)
}

// firstKeyedService returns the first service whose keys are assigned.
func (l *Leader) firstKeyedService() pimento.ServiceName {
	if len(l.assignment.Tables) == 0 {
		return ""
	}
	return l.assignment.Tables[0].Service
}

// missingState returns the parts of the state that are newer than a member's
// versions, nil if there are none.
func (l *Leader) missingState(id pimento.ProcessID, have messenger.Versions) *messenger.State {
	t := l.term
	if have.Epoch != t.versions.Epoch {
		have = messenger.Versions{Manifest: have.Manifest}
	}
	out := &messenger.State{Versions: t.versions}
	found := false
	if have.Roster < t.versions.Roster {
		out.Roster, found = t.roster, true
	}
	if have.Upstreams < t.versions.Upstreams {
		out.Upstreams, found = t.changedUpstreams(have.Upstreams), true
	}
	if have.Owners < t.versions.Owners && l.needsOwners(id) {
		out.Owners, found = t.changedOwners(have.Owners), true
	}
	if have.CrashFacts < t.versions.CrashFacts {
		out.CrashFacts, found = t.crashes.Since(timekeeper.Now(), have.CrashFacts), true
	}
	if have.Limits < t.versions.Limits {
		out.Limits, found = t.limits.Reports(timekeeper.Now()), true
	}
	if have.Manifest < t.versions.Manifest {
		var manifest *pimento.Manifest
		manifest, out.Manifest = l.Member.Manifest()
		out.Secret = manifest != nil && manifest.Authenticated
		found = true
	}
	if !found {
		return nil
	}
	return out
}

// sendState sends a state to a member.
func (l *Leader) sendState(m *member, state *messenger.State) {
	t := l.term
	m.pushing = true
	beganAt := timekeeper.Now()
	if state.Owners != nil {
		m.ownersSentAt = beganAt
	}
	pacer := l.pacerOf(state)
	if pacer != nil {
		pacer.begin(beganAt)
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, pushTimeout)
		defer cancel()
		reply, err := l.Peers.Call(ctx, m.process, &messenger.Message{State: state})
		took := timekeeper.Now().Sub(beganAt)
		l.observeState(m, state, took, err)
		l.postTerm(t, func() {
			m.pushing = false
			if pacer != nil {
				pacer.end(sentState{beganAt: beganAt, took: took, taken: err == nil, strength: m.process.Strength, size: state.Len()})
			}
			if err == nil && reply.State != nil && reply.State.Versions.Epoch == l.elector.Term().Epoch {
				m.versions = reply.State.Versions
				return
			}
			m.unconfirmed = true // the next reply to a heartbeat says whether it was applied
		})
	}()
}

// HandleState applies a state if it comes from the leader of the current term.
func (l *Leader) HandleState(from pimento.ProcessID, s *messenger.State, reply func(*messenger.Message)) {
	l.post(context.Background(), func() {
		term := l.elector.Term()
		if s.Versions.Epoch == term.Epoch && term.Leader == from {
			l.Member.Apply(s)
		}
		reply(&messenger.Message{State: &messenger.State{Versions: l.Member.Versions()}})
	})
}
