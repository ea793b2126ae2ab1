package leader

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/timekeeper"
)

// doubtTerm lets the store show the term of this leader soon, since a grant was refused that
// no grant or release of this leader can have overtaken.
func (l *Leader) doubtTerm(now time.Time, c keeper.Call) {
	l.term.fencedAt = now
	if !l.elector.RecordFenced(now) {
		return
	}
	l.term.verifyAt = l.term.verifyAt.Add(fencedVerifyInterval - verifyInterval)
	l.Events.Emit(pimento.EventTermDoubted, "Epoch", l.elector.Term().Epoch, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence)
}

// lostTermMayAct reports whether a leader whose term a restored store has lost may still act:
// the store may have shown it until the restore.
func (l *Leader) lostTermMayAct(now time.Time) bool {
	return l.storeEra.Load() > 1 && now.Sub(l.heardEraAt()) < l.ElectorTiming.MaxWithoutStore
}

// heardEraAt returns when this process first heard of the present era of the store.
func (l *Leader) heardEraAt() time.Time { return time.Unix(0, l.eraHeardAt.Load()) }

// sawLostTerm reports whether an upstream has shown, around a restore of the store, the fence
// of another leader. As the store does not show that one, it has lost its term.
func (l *Leader) sawLostTerm(now time.Time) bool {
	t := l.term
	return l.lostTermMayAct(now) && t.copyEra < l.storeEra.Load() && !t.fencedAt.IsZero() &&
		l.heardEraAt().Sub(t.fencedAt) < l.ElectorTiming.MaxWithoutStore
}

// delayMoves lets no keys move before upstreams have had the time to refuse a renewal, if they
// may have seen the fence of a leader whose term the store has lost.
func (l *Leader) delayMoves(now time.Time) {
	if l.lostTermMayAct(now) {
		l.term.movesAt = now.Add(l.KeeperTiming.Renew + l.KeeperTiming.AnswerTimeout)
	}
}

// beginCopy notes that this leader has written an assignment which it takes for a copy.
func (l *Leader) beginCopy(t *term, s storedAssignment) {
	now := timekeeper.Now()
	t.copyEra, t.copyAt = s.revision.Era, now
	clear(t.regained)
	l.elector.RecordRestore(now)
	l.Events.Emit(pimento.EventCopyTaken, "Epoch", s.assignment.Term.Epoch, "Revision", s.revision)
}

// mayHoldKeys returns the runs of all upstreams of a service, false while some may not be
// known: after a restore of the store, entries are written again within lapsedEntryGrace.
func (l *Leader) mayHoldKeys(service pimento.ServiceName) ([]pimento.Run, bool) {
	r := &l.term.upstreams
	if !r.readBeganAt.After(l.heardEraAt().Add(lapsedEntryGrace)) {
		return nil, false
	}
	var out []pimento.Run
	for _, s := range r.list() {
		if s.Service == service {
			out = append(out, pimento.Run{Upstream: s.Name, Started: s.Started})
		}
	}
	return out, true
}

// logRegained logs, once for each service of a restored assignment, that no grant of an
// earlier leader can be in force any more.
func (l *Leader) logRegained(now time.Time, in keeper.Input) {
	if !l.assignment.Restored {
		return
	}
	expired := l.keeper.EarlierGrantsExpired(now, in)
	for _, table := range l.assignment.Tables {
		name := table.Service
		revoked := l.keeper.Revoked(name)
		if l.term.regained[name] || !revoked && !expired {
			continue
		}
		l.term.regained[name] = true
		l.Events.Emit(pimento.EventKeysRegained, "Service", name, "Epoch", l.elector.Term().Epoch, "Revoked", revoked, "Took", now.Sub(l.term.copyAt).Round(time.Millisecond))
	}
}
