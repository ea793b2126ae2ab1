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

// push sends the members and this process itself what they lack.
func (l *Leader) push() {
	t := l.lead
	t.versions.Epoch = l.elector.Term().Epoch
	t.versions.Assignment = l.revision
	t.versions.Upstreams = t.upstreams.version
	t.versions.Manifest = l.Member.Versions().Manifest
	have := l.Member.Versions()
	if state := l.lacking(have); state != nil {
		l.Member.Apply(state)
	}
	now := timekeeper.Now()
	for _, m := range t.members {
		if m.pushing || m.failures > 0 || m.silent(now) {
			continue
		}
		if state := l.lacking(m.versions); state != nil {
			l.pushTo(m, state)
		}
	}
}

// lacking returns the parts of the state that are newer than what a member
// has, nil if there are none.
func (l *Leader) lacking(have messenger.Versions) *messenger.State {
	t := l.lead
	if have.Epoch != t.versions.Epoch {
		have = messenger.Versions{Manifest: have.Manifest}
	}
	out := &messenger.State{Versions: t.versions}
	some := false
	if have.Assignment < t.versions.Assignment {
		out.Assignment, some = l.assignment, true
	}
	if have.Upstreams < t.versions.Upstreams {
		out.Upstreams, some = t.upstreams.message(timekeeper.Now()), true
	}
	if have.Owners < t.versions.Owners {
		out.Owners, some = &messenger.OwnerList{Owners: t.owners}, true
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

// pushTo sends a state to a member.
func (l *Leader) pushTo(m *member, state *messenger.State) {
	t := l.lead
	m.pushing = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, pushTimeout)
		defer cancel()
		reply, err := l.Peers.Call(ctx, m.process, &messenger.Message{State: state})
		l.post(t.ctx, func() {
			m.pushing = false
			if err == nil && reply.State != nil && reply.State.Versions.Epoch == l.elector.Term().Epoch {
				m.versions = reply.State.Versions
			}
		})
	}()
}

// HandleState takes the state that a leader sent.
func (l *Leader) HandleState(from pimento.ProcessID, s *messenger.State, reply func(*messenger.Message)) {
	l.inbox <- func() {
		if s.Versions.Epoch >= l.elector.Term().Epoch {
			if s.Assignment != nil {
				l.learn(timekeeper.Now(), stored{assignment: s.Assignment, revision: s.Versions.Assignment})
			}
			if l.elector.Term().Leader == from {
				l.Member.Apply(s)
			}
		}
		reply(&messenger.Message{State: &messenger.State{Versions: l.Member.Versions()}})
	}
}
