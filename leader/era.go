package leader

import (
	"encoding/json"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// incumbentGrace is how long a process whose leader still sends heartbeats lets that
// one bring its decisions back into a store that was restored from a copy.
const incumbentGrace = 1500 * time.Millisecond

// ObserveEra records the era of the store in an answer, or as another process knows it.
func (l *Leader) ObserveEra(era uint64) {
	for known := l.storeEra.Load(); era > known; known = l.storeEra.Load() {
		if !l.storeEra.CompareAndSwap(known, era) {
			continue
		}
		l.eraHeardAt.Store(timekeeper.Now().UnixNano())
		if known > 0 {
			l.outages.restored(timekeeper.Now())
		}
		if l.OnEra != nil {
			l.OnEra(era, known)
		}
	}
}

// isCertain reports whether the assignment known here is the newest one: it was stored
// in the present era and is of the latest known term, or the leader of that term has
// handed it over. Before the first restore of a store, none means that there is none.
func (l *Leader) isCertain() bool {
	epoch := l.knownEpoch()
	if l.assignment == nil {
		return epoch == 0 && l.revision.Era <= 1
	}
	if l.assignment.Term.Epoch != epoch {
		return false
	}
	return l.handedEpoch == epoch || !l.storeBehind && l.assignment.WrittenIn() >= l.revision.Era
}

// knowsLatest reports whether the assignment known here is the newest one. One that was
// handed over may not be after a restore: a process that was cut off from the others, and not
// from the store, may have replaced their leader in a term that the store has lost.
func (l *Leader) knowsLatest() bool {
	handed := l.assignment != nil && l.handedEpoch == l.knownEpoch()
	return l.isCertain() && !(handed && l.assignment.WrittenIn() < l.revision.Era)
}

// refusesTerm reports whether a term names this process as its leader although its write
// was not confirmed: the store was restored meanwhile, and the write may have replaced
// the decisions of another leader.
func (l *Leader) refusesTerm(t pimento.Term) bool {
	if t.Leader != l.Self.ID || t.Epoch <= l.elector.Term().Epoch {
		return false
	}
	l.refusedEpoch = max(l.refusedEpoch, t.Epoch)
	return true
}

// knownEpoch returns the latest epoch that this process knows.
func (l *Leader) knownEpoch() uint64 { return max(l.elector.Term().Epoch, l.refusedEpoch) }

// defersToIncumbent reports whether this process should let its leader, which sends
// heartbeats and knows the newest assignment, write it to a restored store.
func (l *Leader) defersToIncumbent(now time.Time) bool {
	if l.isCertain() {
		l.doubtfulSince = time.Time{}
		return false
	}
	if l.doubtfulSince.IsZero() {
		l.doubtfulSince = now
	}
	silence := l.elector.LeaderSilence(now)
	return l.elector.Term().Leader != "" && silence < l.ElectorTiming.SuspectAfter && now.Sub(l.doubtfulSince) < incumbentGrace
}

// process returns the process with an ID, if it is a member, registered, or known to
// the voters.
func (l *Leader) process(id pimento.ProcessID) (pimento.Process, bool) {
	if l.assignment != nil {
		if m, ok := l.assignment.Member(id); ok {
			return m.Process, true
		}
	}
	for _, p := range l.registered {
		if p.process.ID == id {
			return p.process, true
		}
	}
	p, ok := l.learned[id]
	return p, ok
}

// processesOf returns the processes that a term names, as far as they are known.
func (l *Leader) processesOf(t pimento.Term) []pimento.Process {
	var out []pimento.Process
	for _, set := range append(t.Prior[:len(t.Prior):len(t.Prior)], t.Confirmers) {
		for _, id := range set {
			p, ok := l.process(id)
			if !ok {
				p, ok = l.Member.Process(id)
			}
			if ok {
				out = append(out, p)
			}
		}
	}
	return out
}

// learnFromVotes adopts the latest term that voters know and, if its leader replied,
// the assignment that it handed over.
func (l *Leader) learnFromVotes(replies []vote) {
	now := timekeeper.Now()
	for _, v := range replies {
		for _, p := range v.Processes {
			if l.learned == nil {
				l.learned = make(map[pimento.ProcessID]pimento.Process)
			}
			l.learned[p.ID] = p
		}
		if v.Term != nil && !l.refusesTerm(*v.Term) && l.elector.AdoptTerm(now, *v.Term) {
			l.Events.Emit(pimento.EventTermAdopted, "Epoch", v.Term.Epoch, "Leader", v.Term.Leader)
		}
	}
	for _, v := range replies {
		if v.from != l.elector.Term().Leader || len(v.Assignment) == 0 {
			continue
		}
		a := &pimento.Assignment{}
		if err := json.Unmarshal(v.Assignment, a); err != nil || a.Validate() != nil || a.Term.Epoch != l.elector.Term().Epoch {
			l.Events.Emit(pimento.EventConfigInvalid, "Kind", KindAssignment, "From", v.from, "Cause", err)
			continue
		}
		if l.assignment == nil || !l.assignment.IsNewerThan(a) {
			l.assignment, l.handedEpoch = a, a.Term.Epoch
			l.storeBehind = true
		}
	}
}

// handOver returns the assignment of this leader for a candidate, nil if it does not
// lead or the assignment cannot be encoded.
func (l *Leader) handOver() []byte {
	if !l.elector.IsLeader() || l.assignment == nil || l.assignment.Term.Epoch != l.elector.Term().Epoch {
		return nil
	}
	value, err := json.Marshal(l.assignment)
	if err != nil {
		l.Events.Emit(pimento.EventAssignmentInvalid, "Epoch", l.assignment.Term.Epoch, "Cause", err)
		return nil
	}
	return value
}

// needsRepair reports whether the store holds no present assignment of this leader.
func (l *Leader) needsRepair() bool {
	return l.storeBehind || l.storeEra.Load() > l.assignment.WrittenIn()
}

// repairStore brings the decisions of this leader back into a store that was restored
// from a copy or holds an older assignment for another reason. It reports whether that
// is necessary. In a restored store it begins a term that is later than any which the store
// has lost, as the leader of one may come back. Without authority this process may have been
// replaced in such a term: then it waits, and at last resigns to campaign like any other.
func (l *Leader) repairStore(now time.Time) bool {
	t := l.term
	era := l.storeEra.Load()
	if !l.needsRepair() {
		return false
	}
	if !l.HasAuthority() {
		if now.Sub(t.lastAuthorityAt) > quorumLossTimeout {
			l.elector.Resign()
		}
		return true
	}
	if !l.StoreReachable() || now.Before(t.repairAt) {
		return true
	}
	t.repairAt = now.Add(writeRetryInterval)
	if l.revision.Era < era {
		l.readStored()
		return true
	}
	t.writing = true
	next := l.assignment.Clone()
	if l.revision.Era > l.assignment.WrittenIn() {
		next.Term = l.elector.NextTerm(l.elector.Term().Confirmers, l.ended)
		next.Term.Epoch = max(next.Term.Epoch, l.knownEpoch()+1)
		next.EnterEra(l.revision.Era, true)
	}
	isCopy := l.sawLostTerm(now)
	if isCopy {
		next.RestoreFromCopy()
	}
	l.writeAssignment(t.ctx, next, l.revision, func(s storedAssignment, won bool) {
		t.writing = false
		l.adoptAssignment(timekeeper.Now(), s, won)
		if won {
			l.Events.Emit(pimento.EventStoreRepaired, "Epoch", next.Term.Epoch, "Revision", s.revision, "Era", s.revision.Era)
			l.elector.RecordRestore(timekeeper.Now())
		}
		if won && l.term == t {
			l.delayMoves(timekeeper.Now())
		}
		if won && isCopy {
			l.beginCopy(t, s)
		}
		if l.term == t && l.elector.IsLeader() {
			l.keeper.Adopt(timekeeper.Now(), l.assignment)
		}
	})
	return true
}

// readStored reads which revision the stored assignment has in the present era.
func (l *Leader) readStored() {
	t := l.term
	t.writing = true
	go func() {
		s, err := l.readAssignment(t.ctx)
		l.postTerm(t, func() {
			t.writing = false
			if err == nil {
				l.adoptAssignment(timekeeper.Now(), s, false)
			}
		})
	}()
}
