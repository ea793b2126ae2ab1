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
	"pimentorelay.example/pimento/appointer"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// standRetry is the time between two tries to lead, and standRetryMost where
	// the store does not answer; silentRetryMost if no leader is heard either, so
	// that nobody renews what upstreams hold.
	standRetry      = 300 * time.Millisecond
	standRetryMost  = 3 * time.Second
	silentRetryMost = 800 * time.Millisecond
	// voteTimeout bounds a question to an elector.
	voteTimeout = 350 * time.Millisecond
	// votePatience is how long a candidate keeps trying to get the votes that
	// it needs. Then they are lost for good, and the conditional write alone
	// decides; before, a part that is cut off would end the term of the others.
	votePatience = 7 * time.Second
	// strongerPause is how long a process waits for others on stronger hosts to
	// stand before it does: they may start 0.3 s later, and ask for votes of
	// processes that are gone.
	strongerPause = 800 * time.Millisecond
	// strongerBy is how many times as strong a host must be to be waited for.
	strongerBy = 1.5
	// writeRetry is the time after a write that got no answer.
	writeRetry = 150 * time.Millisecond
)

// registeredProcess is a process with the revision of its entry. Another entry
// of the same host with a higher revision means that the process has ended.
type registeredProcess struct {
	process  pimento.Process
	revision uint64
}

// listProcesses reads the registered processes from the store.
func (l *Leader) listProcesses(ctx context.Context, fresh pimento.Freshness) ([]registeredProcess, error) {
	list, err := l.Store.List(ctx, KindProcesses, fresh)
	if err != nil {
		return nil, fmt.Errorf("Leader.listProcesses: %w", err)
	}
	l.noteStore()
	var out []registeredProcess
	for _, e := range list.Entries {
		var p pimento.Process
		if err := json.Unmarshal(e.Value, &p); err != nil {
			l.Events.Emit(pimento.EventConfigInvalid, "Kind", e.Kind, "Name", e.Name, "Cause", err)
			continue
		}
		out = append(out, registeredProcess{process: p, revision: e.Revision})
	}
	return out, nil
}

// stored is the assignment as it stands in the store.
type stored struct {
	assignment *pimento.Assignment // nil: there is none
	revision   uint64
}

// readAssignment reads the assignment from the store.
func (l *Leader) readAssignment(ctx context.Context) (stored, error) {
	e, err := l.Store.Get(ctx, KindAssignment, AssignmentName)
	var missing *pimento.NotFoundError
	if errors.As(err, &missing) {
		l.noteStore()
		return stored{}, nil
	}
	if err != nil {
		return stored{}, fmt.Errorf("Leader.readAssignment: %w", err)
	}
	l.noteStore()
	return decodeAssignment(e)
}

func decodeAssignment(e pimento.Entry) (stored, error) {
	a := &pimento.Assignment{}
	if err := json.Unmarshal(e.Value, a); err != nil {
		return stored{}, fmt.Errorf("decodeAssignment: %w", err)
	}
	if err := a.Validate(); err != nil {
		return stored{}, fmt.Errorf("decodeAssignment: %w", err)
	}
	return stored{assignment: a, revision: e.Revision}, nil
}

// stand tries to lead the next term.
func (l *Leader) stand(ctx context.Context, now time.Time) {
	if l.standing || now.Before(l.standAt) {
		return
	}
	l.standing = true
	if l.lacksSince.IsZero() {
		l.lacksSince = now
	}
	go func() {
		s, err := l.readAssignment(ctx)
		var list []registeredProcess
		if err == nil {
			list, err = l.listProcesses(ctx, pimento.FreshnessLatest)
		}
		l.post(ctx, func() {
			if err != nil {
				l.standing = false
				l.standAt = timekeeper.Now().Add(l.retryPause())
				return
			}
			l.standPause.Reset()
			l.takeProcesses(list)
			l.canvass(ctx, s)
		})
	}()
}

// retryPause returns the time until the next try to lead after the store has not
// answered.
func (l *Leader) retryPause() time.Duration {
	pause := l.standPause.Pause()
	if l.elector.Silence(timekeeper.Now()) > l.Timing.Suspect {
		return min(pause, jitter(silentRetryMost))
	}
	return pause
}

func (l *Leader) stopStanding() {
	l.standing = false
	l.standAt = timekeeper.Now().Add(standRetry + jitter(standRetry))
}

// learn takes over an assignment that stands in the store.
func (l *Leader) learn(now time.Time, s stored) {
	if s.assignment == nil || s.revision <= l.revision {
		return
	}
	l.assignment, l.revision = s.assignment, s.revision
	if l.elector.Learn(now, s.assignment.Term) {
		l.Events.Emit(pimento.EventTermLearned, "Epoch", s.assignment.Term.Epoch, "Leader", s.assignment.Term.Leader)
	}
}

// strength returns how much the host of a process can carry, as far as it is
// known here.
func (l *Leader) strength(id pimento.ProcessID) float64 {
	if id == l.Self.ID {
		return l.Self.Strength
	}
	for _, p := range l.registered {
		if p.process.ID == id {
			return p.process.Strength
		}
	}
	if l.assignment == nil {
		return 0
	}
	m, _ := l.assignment.Member(id)
	return m.Strength
}

// leavesToStronger reports whether this process should still wait for others on
// stronger hosts to stand.
func (l *Leader) leavesToStronger(now time.Time) bool {
	if now.Sub(l.lacksSince) >= strongerPause {
		return false
	}
	for _, p := range l.registered {
		if p.process.Strength > strongerBy*l.Self.Strength {
			return true
		}
	}
	return false
}

// canvass asks the electors of the term in the store whether they lack a
// leader, and others that have registered since.
func (l *Leader) canvass(ctx context.Context, s stored) {
	now := timekeeper.Now()
	l.learn(now, s)
	if !l.elector.MayStand(now, l.ended) || l.leavesToStronger(now) {
		l.stopStanding()
		return
	}
	electors, need := l.elector.Electors(l.ended)
	epoch := l.elector.Term().Epoch
	asked := make(map[pimento.ProcessID]pimento.Process)
	for _, id := range electors {
		if m, ok := l.assignment.Member(id); ok {
			asked[id] = m.Process
		}
	}
	for _, p := range l.registered {
		if !l.inTerm(p.process.ID) {
			asked[p.process.ID] = p.process
		}
	}
	delete(asked, l.Self.ID)
	votes := make(chan pimento.ProcessID, len(asked))
	for _, p := range asked {
		go func() { votes <- l.askVote(ctx, p, epoch) }()
	}
	go func() {
		live := []pimento.ProcessID{l.Self.ID}
		for range len(asked) {
			if id := <-votes; id != "" {
				live = append(live, id)
			}
		}
		consent := 0
		for _, id := range live {
			if slices.Contains(electors, id) {
				consent++
			}
		}
		l.post(ctx, func() { l.count(ctx, epoch, live, consent >= need) })
	}()
}

// askVote returns the ID of an elector that lacks a leader, or nothing.
func (l *Leader) askVote(ctx context.Context, p pimento.Process, epoch uint64) pimento.ProcessID {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	reply, err := l.Peers.Call(ctx, p, &messenger.Message{Vote: &messenger.Vote{Epoch: epoch}})
	if err != nil || reply.Vote == nil || !reply.Vote.Lacks {
		return ""
	}
	return p.ID
}

// count writes the next term if enough electors consent. live are the processes
// that answered.
func (l *Leader) count(ctx context.Context, epoch uint64, live []pimento.ProcessID, consent bool) {
	now := timekeeper.Now()
	patient := l.elector.Silence(now) < votePatience
	if l.elector.Term().Epoch != epoch || !consent && patient || !l.elector.MayStand(now, l.ended) {
		l.stopStanding()
		return
	}
	next := pimento.Assignment{NextFence: 1}
	if l.assignment != nil {
		next = l.assignment.Clone()
	}
	next.Term = l.elector.Next(live, l.ended)
	next.Members = l.membersFor(&next, func(id pimento.ProcessID) bool {
		return l.inTerm(id) && !slices.Contains(live, id)
	})
	next.Pools = appointer.Lines(next.Pools, l.sizes(), next.Members)
	l.write(ctx, next, l.revision, func(s stored, won bool) {
		l.stopStanding()
		l.learn(timekeeper.Now(), s)
		if !won {
			return
		}
		l.step(ctx)
	})
}

// inTerm reports whether a process confirms the present term.
func (l *Leader) inTerm(id pimento.ProcessID) bool {
	return slices.Contains(l.elector.Term().Confirmers, id)
}

// membersFor lists the processes of the next assignment: those that registered
// last for their hosts, and every one that a term still names, so that it can
// be told whether that one has ended.
func (l *Leader) membersFor(a *pimento.Assignment, idle func(pimento.ProcessID) bool) []pimento.Member {
	byID := make(map[pimento.ProcessID]pimento.Member)
	for _, m := range a.Members {
		if a.Term.Names(m.ID) {
			byID[m.ID] = pimento.Member{Process: m.Process, Idle: idle(m.ID) || l.ended(m.ID)}
		}
	}
	if l.lead != nil {
		for id, m := range l.lead.members {
			if a.Term.Names(id) {
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

// write puts an assignment into the store, based on a revision, however long
// the store takes to answer. A write without an answer may take effect later,
// so it is repeated as it was: only one of the two can stand.
func (l *Leader) write(ctx context.Context, next pimento.Assignment, based uint64, then func(stored, bool)) {
	next.Write = string(l.Self.ID) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // plain fields
	}
	e := pimento.Entry{Kind: KindAssignment, Name: AssignmentName, Revision: based, Value: value}
	go func() {
		for tries := 0; ctx.Err() == nil; tries++ {
			sentAt := timekeeper.Now()
			s, won, err := l.tryWrite(ctx, e, next.Write)
			if err == nil {
				l.post(ctx, func() {
					then(s, won)
					if won {
						l.elector.Verified(sentAt, next.Term.Epoch)
					}
				})
				return
			}
			if tries == 0 {
				l.Events.Emit(pimento.EventWriteUncertain, "Epoch", next.Term.Epoch, "Revision", based, "Cause", err)
			}
			sleep(ctx, writeRetry)
		}
	}()
}

// tryWrite makes one try and returns what stands in the store after it.
func (l *Leader) tryWrite(ctx context.Context, e pimento.Entry, id string) (stored, bool, error) {
	var saved pimento.Entry
	var err error
	if e.Revision == 0 {
		saved, err = l.Store.Create(ctx, e)
	} else {
		saved, err = l.Store.Replace(ctx, e)
	}
	var exists *pimento.ExistsError
	var conflict *pimento.ConflictError
	switch {
	case err == nil:
		saved.Value = e.Value
	case errors.As(err, &exists):
		saved = exists.Current
	case errors.As(err, &conflict):
		saved = conflict.Entry
	default:
		return stored{}, false, err
	}
	l.noteStore()
	s, err := decodeAssignment(saved)
	if err != nil {
		return stored{}, false, err
	}
	return s, s.assignment.Write == id, nil
}
