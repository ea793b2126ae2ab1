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

// pushTimeout bounds the sending of the state to a member.
const pushTimeout = 700 * time.Millisecond

// noteOwners raises the version of the owners if they have changed.
func (l *Leader) noteOwners(now time.Time, in keeper.Input) {
	var owners []messenger.Owner
	for _, s := range l.keeper.States(now, in) {
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
	same := slices.EqualFunc(owners, l.lead.owners, func(a, b messenger.Owner) bool {
		return a.Service == b.Service && a.Range == b.Range && a.Upstream == b.Upstream && a.Ready == b.Ready
	})
	if !same {
		l.lead.owners = owners
		l.lead.versions.Owners++
	}
}

// snapshot is the state as a member was last told of it.
type snapshot struct {
	upstreams []pimento.Server
	owners    []messenger.Owner
}

// push sends the members and this process itself what they lack.
func (l *Leader) push() {
	t := l.lead
	t.versions.Epoch = l.elector.Term().Epoch
	t.versions.Upstreams = t.upstreams.version
	t.versions.Manifest = l.Member.Versions().Manifest
	l.noteRoster()
	if state := l.lacking(l.Self.ID, l.Member.Versions(), &t.own); state != nil {
		l.Member.Apply(state)
		t.own = l.snapshot(state, t.own)
	}
	now := timekeeper.Now()
	for _, m := range t.members {
		if m.pushing || m.failures > 0 || m.silent(now) {
			continue
		}
		if state := l.lacking(m.process.ID, m.versions, &m.told); state != nil {
			l.pushTo(m, state)
		}
	}
}

// noteRoster raises the version of the roster if processes or pools changed.
func (l *Leader) noteRoster() {
	t := l.lead
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

// inLine reports whether a process dispatches or may come to dispatch keys.
func (l *Leader) inLine(id pimento.ProcessID) bool {
	return slices.ContainsFunc(l.assignment.Pools, func(p pimento.Pool) bool {
		return l.assignment.Table(p.Service) != nil && slices.Contains(p.Line, id)
	}) || len(l.assignment.PoolsOf(l.keyedService())) > 1
}

// keyedService returns the first service that is divided by key.
func (l *Leader) keyedService() pimento.ServiceName {
	if len(l.assignment.Tables) == 0 {
		return ""
	}
	return l.assignment.Tables[0].Service
}

// lacking returns the parts of the state that are newer than what a member
// has, nil if there are none.
func (l *Leader) lacking(id pimento.ProcessID, have messenger.Versions, told *snapshot) *messenger.State {
	t := l.lead
	if have.Epoch != t.versions.Epoch {
		have = messenger.Versions{Manifest: have.Manifest}
	}
	if have.Upstreams == 0 {
		told.upstreams = nil
	}
	if have.Owners == 0 {
		told.owners = nil
	}
	out := &messenger.State{Versions: t.versions}
	some := false
	if have.Roster < t.versions.Roster {
		out.Roster, some = t.roster, true
	}
	if have.Upstreams < t.versions.Upstreams {
		out.Upstreams, some = t.upstreams.message(timekeeper.Now(), told.upstreams), true
	}
	if have.Owners < t.versions.Owners && l.inLine(id) {
		out.Owners, some = ownersSince(t.owners, told.owners), true
	}
	if have.Blocked < t.versions.Blocked {
		out.Blocked, some = t.blocked, true
	}
	if have.Manifest < t.versions.Manifest {
		_, out.Manifest = l.Member.Manifest()
		some = true
	}
	if !some {
		return nil
	}
	return out
}

// snapshot returns what a member knows after it has taken a state.
func (l *Leader) snapshot(s *messenger.State, before snapshot) snapshot {
	if s.Upstreams != nil {
		before.upstreams = l.lead.upstreams.sent
	}
	if s.Owners != nil {
		before.owners = l.lead.owners
	}
	return before
}

// ownersSince returns the owners that differ from those told before.
func ownersSince(now, told []messenger.Owner) *messenger.OwnerList {
	if told == nil {
		return &messenger.OwnerList{Whole: true, Owners: now}
	}
	before := make(map[messenger.Owner]bool, len(told))
	for _, o := range told {
		o.ReadyIn = 0
		before[o] = true
	}
	out := &messenger.OwnerList{}
	for _, o := range now {
		key := o
		key.ReadyIn = 0
		if !before[key] {
			out.Owners = append(out.Owners, o)
		}
	}
	return out
}

// pushTo sends a state to a member.
func (l *Leader) pushTo(m *member, state *messenger.State) {
	t := l.lead
	m.pushing = true
	after := l.snapshot(state, m.told)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, pushTimeout)
		defer cancel()
		reply, err := l.Peers.Call(ctx, m.process, &messenger.Message{State: state})
		l.postTerm(t, func() {
			m.pushing = false
			if err == nil && reply.State != nil && reply.State.Versions.Epoch == l.elector.Term().Epoch {
				m.versions, m.told = reply.State.Versions, after
				return
			}
			// Whether it was taken is not known, so all is sent again.
			m.versions = messenger.Versions{}
		})
	}()
}

// HandleState takes the state that a leader sent.
func (l *Leader) HandleState(from pimento.ProcessID, s *messenger.State, reply func(*messenger.Message)) {
	l.inbox <- func() {
		term := l.elector.Term()
		if s.Versions.Epoch == term.Epoch && term.Leader == from {
			l.Member.Apply(s)
		}
		reply(&messenger.Message{State: &messenger.State{Versions: l.Member.Versions()}})
	}
}
