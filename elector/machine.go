// Package elector decides who leads and whether the leader may act. It is a
// pure state machine: time and messages are arguments.
//
// A term begins with a conditional write to the store, so there is one leader
// for each epoch. The write alone does not let the leader act: it also has to
// send heartbeats to the confirmers that the term names, several times within a
// lease, and has authority until one lease after it sent the latest heartbeat
// that a majority of them confirmed. A process confirms only the latest term
// that it knows. Exclusive ownership of keys rests on two consequences:
//
//   - Once so many of a set of confirmers know a term that the others are no
//     majority, no leader of an earlier term can get authority from that set
//     any more. One lease later, the authority that it had has lapsed
//     ([Machine.SettledAt]).
//   - The store may be unavailable as long as a majority of the confirmers can
//     be reached. A leader whose term the store has not shown for
//     [Timing.MaxWithoutStore] stops nevertheless, so that a later leader need
//     not wait for processes that were lost for good. One that meets the fence of
//     another leader stops a lease later ([Machine.RecordFenced]).
//
// The package persists nothing and runs no consensus protocol: a process that
// restarts is a new process, which confirms nothing before a term names it. The
// method is the lease of Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989), with
// a majority as the grantor.
//
// # Usage
//
//	m := elector.New(self, elector.DefaultTiming())
//	m.AdoptTerm(now, term)
//	m.RecordVerified(sentAt, term.Epoch)           // as the leader that wrote it
//	confirmed := m.HandleHeartbeat(now, heartbeat) // as a confirmer
//	m.HandleReply(sentAt, from, epoch, true)       // as the leader
//	if now.Before(m.AuthorityUntil()) { ... }
//	if m.MayCampaign(now, ended) { term := m.NextTerm(live, ended); ... }
package elector

import (
	"cmp"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Timing holds the intervals of the machine.
type Timing struct {
	HeartbeatInterval time.Duration // between two heartbeats to a confirmer
	Lease             time.Duration // how long a confirmation is valid
	Drift             time.Duration // allowance for clocks that run at different rates
	SuspectAfter      time.Duration // silence of a leader after which others campaign
	Stagger           time.Duration // added to the delay of each further candidate
	MaxWithoutStore   time.Duration // how long a leader may act after the store last showed its term
	StoreLossDelay    time.Duration // how long a leader may report that it cannot reach the store before confirmers campaign
}

// DefaultTiming returns the default intervals. A lease spans four heartbeats, so
// that one lost reply does not end the leader's authority.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 200 * time.Millisecond,
		Lease:             900 * time.Millisecond,
		Drift:             30 * time.Millisecond,
		SuspectAfter:      700 * time.Millisecond,
		Stagger:           150 * time.Millisecond,
		MaxWithoutStore:   20 * time.Second,
		StoreLossDelay:    200 * time.Millisecond,
	}
}

// MaxConfirmers is the maximum number of confirmers of a term. Nine tolerate the
// loss of four.
const MaxConfirmers = 9

// Heartbeat is a leader's request to confirm its term.
type Heartbeat struct {
	From      pimento.ProcessID
	Term      pimento.Term
	StoreLost bool // the leader cannot reach the store
}

// Machine is the election state of one process. It is not safe for concurrent
// use.
type Machine struct {
	// Strength returns the relative capacity of a process's host; nil: all are equal.
	// The strongest processes become confirmers and campaign first.
	Strength func(pimento.ProcessID) float64

	self   pimento.ProcessID
	timing Timing
	term   pimento.Term

	// As a follower.
	contactAt      time.Time // of the leader's last heartbeat, or when the term was adopted
	storeLostSince time.Time // since when the leader cannot reach the store

	// As the leader.
	electedAt    time.Time
	restoredAt   time.Time                       // when this leader last wrote its term to a restored store
	confirmed    map[pimento.ProcessID]time.Time // when the latest confirmed heartbeat was sent
	knowsTerm    map[pimento.ProcessID]bool      // processes that know this term
	verifiedAt   time.Time                       // when the store last showed this term
	fencedAt     time.Time                       // when an upstream first showed a higher fence since; zero: none did
	settledAt    time.Time                       // when all earlier authority lapses
	priorBlocked bool                            // no prior set of confirmers can confirm an earlier term
}

// New returns a machine that knows no term.
func New(self pimento.ProcessID, timing Timing) *Machine {
	return &Machine{self: self, timing: timing, confirmed: make(map[pimento.ProcessID]time.Time), knowsTerm: make(map[pimento.ProcessID]bool)}
}

// Timing returns the intervals of the machine.
func (m *Machine) Timing() Timing { return m.timing }

// Term returns the latest term that is known here.
func (m *Machine) Term() pimento.Term { return m.term }

// IsLeader reports whether this process is the leader of the latest term.
func (m *Machine) IsLeader() bool { return m.term.Leader == m.self }

// AdoptTerm adopts a term if it is later than the one known here, and reports
// whether it was. A new leader has no authority before [Machine.RecordVerified].
func (m *Machine) AdoptTerm(now time.Time, term pimento.Term) bool {
	if term.Epoch <= m.term.Epoch {
		return false
	}
	reelected := m.IsLeader() && term.Leader == m.self
	m.term = term
	m.contactAt, m.storeLostSince = now, time.Time{}
	clear(m.confirmed)
	clear(m.knowsTerm)
	m.priorBlocked = false
	m.knowsTerm[m.self] = true
	if m.IsLeader() && !reelected {
		m.electedAt, m.settledAt, m.verifiedAt, m.fencedAt = now, time.Time{}, time.Time{}, time.Time{}
	}
	return true
}

// Resign ends the leadership of this process. It keeps the term, so that a later one
// waits for its confirmers.
func (m *Machine) Resign() {
	if m.IsLeader() {
		m.term.Leader = ""
	}
}

// HandleHeartbeat handles a leader's heartbeat and reports whether this process
// confirms it.
func (m *Machine) HandleHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	m.AdoptTerm(now, heartbeat.Term)
	if heartbeat.Term.Epoch != m.term.Epoch || heartbeat.From != m.term.Leader {
		return false
	}
	m.contactAt = now
	switch {
	case !heartbeat.StoreLost:
		m.storeLostSince = time.Time{}
	case m.storeLostSince.IsZero():
		m.storeLostSince = now
	}
	return true
}

// HandleReply handles the reply to a heartbeat that was sent at sentAt. epoch is
// the latest that the replying process knows.
func (m *Machine) HandleReply(sentAt time.Time, from pimento.ProcessID, epoch uint64, confirmed bool) {
	if epoch != m.term.Epoch || !m.IsLeader() {
		return
	}
	m.knowsTerm[from] = true
	if confirmed && sentAt.After(m.confirmed[from]) {
		m.confirmed[from] = sentAt
	}
}

// RecordVerified records that the store showed the term of an epoch in the answer
// to a call that was sent at sentAt.
func (m *Machine) RecordVerified(sentAt time.Time, epoch uint64) {
	if epoch != m.term.Epoch || !m.IsLeader() || !sentAt.After(m.verifiedAt) {
		return
	}
	m.verifiedAt = sentAt
	if sentAt.After(m.fencedAt) {
		m.fencedAt = time.Time{}
	}
}

// RecordFenced records that an upstream has seen a higher fence than this leader has given,
// so that another one may have replaced it. Its authority ends within a lease unless the
// store shows its term. It reports whether this is the first time since the store did.
func (m *Machine) RecordFenced(now time.Time) bool {
	if !m.IsLeader() || !m.fencedAt.IsZero() {
		return false
	}
	m.fencedAt = now
	return true
}

// Tick advances the machine to now. ended reports whether a process has ended for
// certain.
func (m *Machine) Tick(now time.Time, ended func(pimento.ProcessID) bool) {
	if !m.IsLeader() {
		return
	}
	if slices.Contains(m.term.Confirmers, m.self) {
		m.confirmed[m.self] = now
	}
	for _, set := range m.term.Prior {
		if !pimento.LacksMajority(set, func(id pimento.ProcessID) bool { return m.knowsTerm[id] || ended(id) }) {
			return
		}
	}
	m.priorBlocked = true
	if !m.settledAt.IsZero() {
		return
	}
	m.settledAt = now
	if m.term.Epoch > 1 {
		m.settledAt = now.Add(m.timing.Lease + m.timing.Drift)
	}
}

// AuthorityUntil returns the end of this process's authority to act as the
// leader, zero if it has none.
func (m *Machine) AuthorityUntil() time.Time {
	if !m.IsLeader() || len(m.term.Confirmers) == 0 || m.verifiedAt.IsZero() {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(m.term.Confirmers))
	for _, id := range m.term.Confirmers {
		times = append(times, m.confirmed[id])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	at := times[pimento.Majority(len(times))-1]
	if at.IsZero() {
		return at
	}
	until, storeLimit := at.Add(m.timing.Lease), m.verifiedAt.Add(m.timing.MaxWithoutStore)
	if fenceLimit := m.fencedAt.Add(m.timing.Lease); !m.fencedAt.IsZero() && fenceLimit.Before(storeLimit) {
		storeLimit = fenceLimit
	}
	if storeLimit.Before(until) {
		return storeLimit
	}
	return until
}

// SettledAt returns when the authority of all earlier leaders has lapsed; false
// if this process does not lead.
func (m *Machine) SettledAt() (time.Time, bool) {
	if !m.IsLeader() {
		return time.Time{}, false
	}
	last := m.lastSettledAt()
	if m.settledAt.IsZero() || last.Before(m.settledAt) {
		return last, true
	}
	return m.settledAt, true
}

// UnknownSettledAt is like [Machine.SettledAt] if the term may not name all earlier ones:
// only the time for which a leader may act without the store ends their authority.
func (m *Machine) UnknownSettledAt() (time.Time, bool) {
	if !m.IsLeader() {
		return time.Time{}, false
	}
	return m.lastSettledAt(), true
}

// RecordRestore records that this leader has written its term to a restored store. Until now
// the store may have shown an earlier term to the leader of that one, or a later term that is
// lost.
func (m *Machine) RecordRestore(now time.Time) { m.restoredAt = now }

// lastSettledAt returns when leaders that the store has not shown since the election, or since
// it was restored, have stopped.
func (m *Machine) lastSettledAt() time.Time {
	since := m.electedAt
	if m.restoredAt.After(since) {
		since = m.restoredAt
	}
	return since.Add(m.timing.MaxWithoutStore + m.timing.Lease + 2*m.timing.Drift)
}

// GrantsVote reports whether this process votes for a candidate for the epoch
// after the given one: it knows no later epoch, and has no leader that sends
// heartbeats and reaches the store.
func (m *Machine) GrantsVote(now time.Time, epoch uint64) bool {
	if epoch < m.term.Epoch {
		return false
	}
	return m.hasNoLeader(now, m.timing.SuspectAfter/2, m.timing.StoreLossDelay)
}

// HasLeader reports whether this process receives heartbeats from a leader that
// reaches the store. A leader that lost the store counts for storeLossPatience,
// since another one may replace it within that time.
func (m *Machine) HasLeader(now time.Time) bool {
	storeLost := !m.storeLostSince.IsZero() && now.Sub(m.storeLostSince) > storeLossPatience
	return m.term.Leader != "" && !m.IsLeader() && !storeLost && now.Sub(m.contactAt) < 3*m.timing.HeartbeatInterval
}

// LeaderHasStore reports whether this process receives heartbeats from a leader that
// says that it reaches the store.
func (m *Machine) LeaderHasStore(now time.Time) bool {
	return m.HasLeader(now) && m.storeLostSince.IsZero()
}

// LeaderLostStore reports whether this process receives heartbeats from a leader that says
// that it does not reach the store.
func (m *Machine) LeaderLostStore(now time.Time) bool {
	return !m.IsLeader() && !m.storeLostSince.IsZero() && now.Sub(m.contactAt) < 3*m.timing.HeartbeatInterval
}

// storeLossPatience is how long a leader may be unable to reach the store before its
// followers count it as lost.
const storeLossPatience = 2500 * time.Millisecond

// hasNoLeader reports whether no leader is known, or it has been silent or unable
// to reach the store for longer than the given times. A process that leads has none
// once the store has not shown its term for maxVerifiedAge.
func (m *Machine) hasNoLeader(now time.Time, maxSilence, maxStoreLoss time.Duration) bool {
	if m.term.Leader == "" {
		return true
	}
	if m.IsLeader() {
		return now.Sub(m.verifiedAt) > maxVerifiedAge
	}
	storeLost := !m.storeLostSince.IsZero() && now.Sub(m.storeLostSince) > maxStoreLoss
	return storeLost || now.Sub(m.contactAt) > maxSilence
}

// maxVerifiedAge is how long ago the store may last have shown a leader its term
// before the leader votes for others.
const maxVerifiedAge = 1200 * time.Millisecond

// LeaderSilence returns the time since the last contact with the leader; zero if
// this process leads or knows no leader.
func (m *Machine) LeaderSilence(now time.Time) time.Duration {
	if m.term.Leader == "" || m.IsLeader() {
		return 0
	}
	return now.Sub(m.contactAt)
}

// MayCampaign reports whether this process should campaign to lead the next term.
// Confirmers that have not ended campaign in the order of the term's list, each
// Stagger after the one before it; other processes follow.
func (m *Machine) MayCampaign(now time.Time, ended func(pimento.ProcessID) bool) bool {
	if m.IsLeader() {
		return false
	}
	if m.term.Leader == "" {
		return true
	}
	rank, storeLossDelay := 0, nonConfirmerDelay
	for _, id := range m.term.Confirmers {
		if id == m.self {
			storeLossDelay = m.timing.StoreLossDelay + time.Duration(rank)*m.timing.Stagger
			break
		}
		if id != m.term.Leader && !ended(id) {
			rank++
		}
	}
	wait := m.timing.SuspectAfter
	if ended(m.term.Leader) {
		wait = 0
	}
	return m.hasNoLeader(now, wait+time.Duration(rank)*m.timing.Stagger, storeLossDelay)
}

// nonConfirmerDelay is how long a leader that sends heartbeats may be unable to
// reach the store before processes that are not confirmers campaign. The confirmers
// suffice unless the store rejects all of them.
const nonConfirmerDelay = 3 * time.Second

// Electors returns the processes whose votes a candidate needs, and how many:
// a majority of the confirmers that have not ended.
func (m *Machine) Electors(ended func(pimento.ProcessID) bool) ([]pimento.ProcessID, int) {
	var out []pimento.ProcessID
	for _, id := range m.term.Confirmers {
		if !ended(id) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return nil, 0
	}
	return out, pimento.Majority(len(out))
}

// NextTerm returns the next term, with this process as its leader. Its confirmers
// are chosen from live, the processes that answered.
func (m *Machine) NextTerm(live []pimento.ProcessID, ended func(pimento.ProcessID) bool) pimento.Term {
	t := pimento.Term{Epoch: m.term.Epoch + 1, Leader: m.self, Confirmers: m.chooseConfirmers(live)}
	var prior [][]pimento.ProcessID
	if !m.priorBlocked {
		prior = slices.Clone(m.term.Prior)
	}
	if len(m.term.Confirmers) > 0 {
		// Also if this process leads already: it acts by the present term until
		// it knows that the next one is stored.
		prior = append(prior, m.term.Confirmers)
	}
	for _, set := range prior {
		set = slices.Clone(set)
		slices.Sort(set)
		known := slices.ContainsFunc(t.Prior, func(s []pimento.ProcessID) bool { return slices.Equal(s, set) })
		if !known && !pimento.LacksMajority(set, ended) {
			t.Prior = append(t.Prior, set)
		}
	}
	return t
}

// chooseConfirmers returns this process, then the strongest live ones in
// descending order; among equals, present confirmers come first.
func (m *Machine) chooseConfirmers(live []pimento.ProcessID) []pimento.ProcessID {
	list := slices.DeleteFunc(slices.Clone(live), func(id pimento.ProcessID) bool { return id == m.self })
	strength := make(map[pimento.ProcessID]float64, len(list))
	for _, id := range list {
		strength[id] = m.strength(id)
	}
	slices.SortFunc(list, func(a, b pimento.ProcessID) int {
		return cmp.Or(cmp.Compare(strength[b], strength[a]), m.confirmerRank(a)-m.confirmerRank(b), cmp.Compare(a, b))
	})
	list = slices.Compact(list)
	return append([]pimento.ProcessID{m.self}, list[:min(len(list), MaxConfirmers-1)]...)
}

// confirmerRank returns the index of a process among the confirmers, or their
// number if it is none.
func (m *Machine) confirmerRank(id pimento.ProcessID) int {
	if i := slices.Index(m.term.Confirmers, id); i >= 0 {
		return i
	}
	return len(m.term.Confirmers)
}

func (m *Machine) strength(id pimento.ProcessID) float64 {
	if m.Strength == nil {
		return 0
	}
	return m.Strength(id)
}

// IsStronger reports whether a set of confirmers is so much stronger than that of
// the present term that it justifies a new one.
func (m *Machine) IsStronger(set []pimento.ProcessID) bool {
	sum := func(list []pimento.ProcessID) (total float64) {
		for _, id := range list {
			total += m.strength(id)
		}
		return total
	}
	return sum(set) > minStrengthRatio*sum(m.term.Confirmers)
}

// minStrengthRatio is how many times as strong as the present confirmers a new
// set must be to justify a new term.
const minStrengthRatio = 1.5
