package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// writeRetryInterval is the pause after a write that got no answer.
	writeRetryInterval = 150 * time.Millisecond
	// encodeRetryInterval is the pause after an assignment that cannot be encoded.
	encodeRetryInterval = time.Second
)

// storedAssignment is an assignment as read from the store.
type storedAssignment struct {
	assignment *pimento.Assignment // nil: there is none, or it is not to be used
	revision   pimento.Revision
}

// readAssignment reads the assignment from the store.
func (l *Leader) readAssignment(ctx context.Context) (storedAssignment, error) {
	e, err := l.Store.Get(ctx, KindAssignment, AssignmentName)
	var missing *pimento.NotFoundError
	if errors.As(err, &missing) {
		l.recordStoreAnswer()
		l.ObserveEra(missing.Era)
		return storedAssignment{revision: pimento.Revision{Era: missing.Era}}, nil
	}
	if err != nil {
		l.StoreFailed()
		return storedAssignment{}, fmt.Errorf("Leader.readAssignment: %w", err)
	}
	l.recordStoreAnswer()
	l.ObserveEra(e.Revision.Era)
	return decodeAssignment(e)
}

func decodeAssignment(e pimento.Entry) (storedAssignment, error) {
	a := &pimento.Assignment{}
	if err := json.Unmarshal(e.Value, a); err != nil {
		return storedAssignment{}, fmt.Errorf("decodeAssignment: %w", err)
	}
	if err := a.Validate(); err != nil {
		return storedAssignment{}, fmt.Errorf("decodeAssignment: %w", err)
	}
	return storedAssignment{assignment: a, revision: e.Revision}, nil
}

// adoptAssignment adopts an assignment from the store if it is newer than the one known
// here. One that is older comes from a copy of the store or from an old write that was
// carried out late.
// won means that it was written here.
func (l *Leader) adoptAssignment(now time.Time, s storedAssignment, won bool) {
	confirmed := won && s.revision == l.revision // a reading has shown it before the answer to the write
	if !s.revision.After(l.revision) && !confirmed {
		return
	}
	if s.revision.Era != l.revision.Era {
		l.doubtfulSince = time.Time{}
	}
	l.revision = s.revision
	l.storeBehind = l.assignment != nil && (s.assignment == nil || l.assignment.IsNewerThan(s.assignment))
	if s.assignment == nil || l.storeBehind || !won && l.refusesTerm(s.assignment.Term) {
		return
	}
	l.assignment, l.handedEpoch = s.assignment, 0
	l.members.Store(int64(len(s.assignment.Members)))
	if l.elector.AdoptTerm(now, s.assignment.Term) {
		l.Events.Emit(pimento.EventTermAdopted, "Epoch", s.assignment.Term.Epoch, "Leader", s.assignment.Term.Leader)
	}
}

// assignmentMembers returns the members of the next assignment: the latest
// registered process of each host, and every process that a term still names, so
// that its end can be detected.
func (l *Leader) assignmentMembers(a *pimento.Assignment, idle func(pimento.ProcessID) bool) []pimento.Member {
	byID := make(map[pimento.ProcessID]pimento.Member)
	for _, m := range a.Members {
		if a.Term.Includes(m.ID) {
			byID[m.ID] = pimento.Member{Process: m.Process, Idle: idle(m.ID) || l.ended(m.ID)}
		}
	}
	for id, p := range l.learned {
		if a.Term.Includes(id) {
			byID[id] = pimento.Member{Process: p, Idle: idle(id) || l.ended(id)}
		}
	}
	if l.term != nil {
		for id, m := range l.term.members {
			if a.Term.Includes(id) {
				byID[id] = pimento.Member{Process: m.process, Idle: idle(id)}
			}
		}
	}
	for _, p := range l.registered {
		byID[p.process.ID] = pimento.Member{Process: p.process, Idle: idle(p.process.ID)}
	}
	if _, ok := byID[l.Self.ID]; !ok {
		byID[l.Self.ID] = pimento.Member{Process: l.Self, Idle: idle(l.Self.ID)}
	}
	out := make([]pimento.Member, 0, len(byID))
	for _, m := range byID {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b pimento.Member) int {
		if a.Host != b.Host {
			if a.Host < b.Host {
				return -1
			}
			return 1
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// writeAssignment writes an assignment conditionally on a revision and retries
// until the store answers. A write without an answer may take effect later, so
// it is retried unchanged: the condition lets only one of the two succeed.
// If the store is restored meanwhile, or the assignment cannot be encoded, done gets no
// assignment.
func (l *Leader) writeAssignment(ctx context.Context, next pimento.Assignment, base pimento.Revision, done func(storedAssignment, bool)) {
	l.writtenVersion = max(l.writtenVersion, next.Version) + 1
	next.Version = l.writtenVersion
	next.WriteID = string(l.Self.ID) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	value, err := json.Marshal(next)
	if err != nil {
		l.Events.Emit(pimento.EventAssignmentInvalid, "Epoch", next.Term.Epoch, "Cause", err)
		go func() {
			sleep(ctx, encodeRetryInterval)
			l.post(ctx, func() { done(storedAssignment{}, false) })
		}()
		return
	}
	e := pimento.Entry{Kind: KindAssignment, Name: AssignmentName, Revision: base, Value: value}
	go func() {
		for attempts := 0; ctx.Err() == nil; attempts++ {
			if attempts > 0 && l.storeEra.Load() > base.Era {
				// The condition could be true again, of another entry.
				l.post(ctx, func() { done(storedAssignment{}, false) })
				return
			}
			sentAt := timekeeper.Now()
			s, won, err := l.attemptWrite(ctx, e, next.WriteID)
			if err == nil {
				l.post(ctx, func() {
					done(s, won)
					if won {
						l.elector.RecordVerified(sentAt, next.Term.Epoch)
					}
				})
				return
			}
			if attempts == 0 {
				l.Events.Emit(pimento.EventWriteUncertain, "Epoch", next.Term.Epoch, "Revision", base, "Cause", err)
			}
			sleep(ctx, writeRetryInterval)
		}
	}()
}

// attemptWrite attempts the write once. It returns the assignment stored
// afterwards, and whether that is the one with the given write ID.
func (l *Leader) attemptWrite(ctx context.Context, e pimento.Entry, id string) (storedAssignment, bool, error) {
	var saved pimento.Entry
	var err error
	if e.Revision.IsZero() {
		saved, err = l.Store.Create(ctx, e)
	} else {
		saved, err = l.Store.Replace(ctx, e)
	}
	var exists *pimento.ExistsError
	var conflict *pimento.ConflictError
	var missing *pimento.NotFoundError
	switch {
	case err == nil && !e.Revision.IsZero() && saved.Revision.Era != e.Revision.Era:
		// It replaced an entry that this process has not seen.
		l.ObserveEra(saved.Revision.Era)
		return storedAssignment{revision: saved.Revision}, false, nil
	case err == nil:
		saved.Value = e.Value
	case errors.As(err, &missing):
		l.ObserveEra(missing.Era)
		return storedAssignment{revision: pimento.Revision{Era: missing.Era}}, false, nil
	case errors.As(err, &exists):
		saved = exists.Current
	case errors.As(err, &conflict):
		saved = conflict.Entry
	default:
		return storedAssignment{}, false, err
	}
	l.recordStoreAnswer()
	l.ObserveEra(saved.Revision.Era)
	s, err := decodeAssignment(saved)
	if err != nil {
		return storedAssignment{}, false, err
	}
	return s, s.assignment.WriteID == id, nil
}
