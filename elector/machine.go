// Package elector decides who leads and whether the leader may act. It is a
// pure state machine; time and messages come in as arguments.
//
// A term begins with a conditional write to the store, so there is one leader
// for each epoch. The write alone does not let the leader act: it also has to
// ask the confirmers that the term names, several times within a lease, and
// has authority until one lease after it sent the latest question that a
// majority of them confirmed. A process confirms only the latest term that it
// has learned. Two consequences carry all of sole ownership:
//
//   - Once so many of a set of confirmers have learned of a term that the
//     others are no majority, no leader of an earlier term can get authority
//     from that set any more. One lease later, what it had has lapsed
//     ([Machine.SettledAt]).
//   - The store may be away as long as a majority of the processes is in
//     touch. A leader that has not seen the store for [Timing.Blind] stops
//     nevertheless, so that a later leader need not wait for processes that
//     were lost for good.
//
// Nothing is kept, agreed or repaired here: a process that starts again is
// another process, which confirms nothing before a term names it. The idea is
// the lease of Gray and Cheriton, "Leases: an efficient fault-tolerant
// mechanism for distributed file cache consistency" (1989), with a majority as
// the grantor.
//
// # Usage
//
//	m := elector.New(self, elector.DefaultTiming())
//	m.Learn(now, term)
//	confirmed := m.Ask(now, ask)             // as a confirmer
//	m.Answer(sentAt, from, epoch, true) // as the leader
//	if now.Before(m.AuthorityUntil()) { ... }
//	if m.MayStand(now, ended, ready) { term := m.Next(live, ended); ... }
package elector

import (
	"cmp"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Timing holds the intervals of the machine.
type Timing struct {
	Ask     time.Duration // between two questions to a confirmer
	Lease   time.Duration // how long a confirmation lasts
	Drift   time.Duration // allowance for clocks that run at different rates
	Suspect time.Duration // silence of a leader after which others stand
	Stagger time.Duration // how much longer each further candidate waits
	Blind   time.Duration // how long a leader acts without seeing the store
	Yield   time.Duration // how long a leader may say that it lacks the store before others stand
}

// DefaultTiming returns the intervals of the product. A lease spans four
// questions, so that one lost answer ends nothing.
func DefaultTiming() Timing {
	return Timing{
		Ask:     200 * time.Millisecond,
		Lease:   900 * time.Millisecond,
		Drift:   30 * time.Millisecond,
		Suspect: 700 * time.Millisecond,
		Stagger: 150 * time.Millisecond,
		Blind:   20 * time.Second,
		Yield:   200 * time.Millisecond,
	}
}

// MaxConfirmers is the most confirmers of a term. Nine bear the loss of four.
const MaxConfirmers = 9

// Ask is the question of a leader.
type Ask struct {
	From  pimento.ProcessID
	Term  pimento.Term
	Blind bool // the leader does not reach the store
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	// Strength returns how much the host of a process can carry; nil: all are
	// alike. The strongest processes confirm, and stand first.
	Strength func(pimento.ProcessID) float64

	self   pimento.ProcessID
	timing Timing
	term   pimento.Term

	// As one who is led.
	heardAt    time.Time // when the leader last asked, or the term was learned
	blindSince time.Time // since when the leader lacks the store

	// As the leader.
	electedAt  time.Time
	confirmed  map[pimento.ProcessID]time.Time // when the confirmed question was sent
	learned    map[pimento.ProcessID]bool      // who knows this term
	verifiedAt time.Time                       // when the store last showed this term
	settledAt  time.Time                       // when all earlier authority lapses
	inForce    bool                            // no prior set of confirmers can confirm an earlier term
}

// New returns a machine that knows no term.
func New(self pimento.ProcessID, timing Timing) *Machine {
	return &Machine{self: self, timing: timing, confirmed: make(map[pimento.ProcessID]time.Time), learned: make(map[pimento.ProcessID]bool)}
}

// Timing returns the intervals of the machine.
func (m *Machine) Timing() Timing { return m.timing }

// Term returns the latest term that is known here.
func (m *Machine) Term() pimento.Term { return m.term }

// Leads reports whether this process is the leader of the latest term.
func (m *Machine) Leads() bool { return m.term.Leader == m.self }

// Learn takes over a term if it is later than the one known here.
func (m *Machine) Learn(now time.Time, term pimento.Term) bool {
	if term.Epoch <= m.term.Epoch {
		return false
	}
	again := m.Leads() && term.Leader == m.self
	m.term = term
	m.heardAt, m.blindSince = now, time.Time{}
	clear(m.confirmed)
	clear(m.learned)
	m.inForce = false
	m.learned[m.self] = true
	if m.Leads() {
		m.verifiedAt = now
	}
	if m.Leads() && !again {
		m.electedAt, m.settledAt = now, time.Time{}
	}
	return true
}

// Ask answers a leader's question: whether this process confirms it.
func (m *Machine) Ask(now time.Time, ask Ask) bool {
	m.Learn(now, ask.Term)
	if ask.Term.Epoch != m.term.Epoch || ask.From != m.term.Leader {
		return false
	}
	m.heardAt = now
	switch {
	case !ask.Blind:
		m.blindSince = time.Time{}
	case m.blindSince.IsZero():
		m.blindSince = now
	}
	return true
}

// Answer takes the answer to a question that was sent at sentAt. learned says
// that the process knows the term of that epoch, or a later one.
func (m *Machine) Answer(sentAt time.Time, from pimento.ProcessID, epoch uint64, confirmed bool) {
	if epoch != m.term.Epoch || !m.Leads() {
		return
	}
	m.learned[from] = true
	if confirmed && sentAt.After(m.confirmed[from]) {
		m.confirmed[from] = sentAt
	}
}

// Verified says that the store showed this process's term in an answer to a
// question that was sent at sentAt.
func (m *Machine) Verified(sentAt time.Time, epoch uint64) {
	if epoch == m.term.Epoch && m.Leads() && sentAt.After(m.verifiedAt) {
		m.verifiedAt = sentAt
	}
}

// Tick brings the machine up to now. ended tells which processes have ended
// for certain.
func (m *Machine) Tick(now time.Time, ended func(pimento.ProcessID) bool) {
	if !m.Leads() {
		return
	}
	if slices.Contains(m.term.Confirmers, m.self) {
		m.confirmed[m.self] = now
	}
	for _, set := range m.term.Prior {
		if !pimento.Blocked(set, func(id pimento.ProcessID) bool { return m.learned[id] || ended(id) }) {
			return
		}
	}
	m.inForce = true
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
	if !m.Leads() || len(m.term.Confirmers) == 0 {
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
	until, blind := at.Add(m.timing.Lease), m.verifiedAt.Add(m.timing.Blind)
	if blind.Before(until) {
		return blind
	}
	return until
}

// SettledAt returns when the authority of all earlier leaders has lapsed, and
// false as long as that cannot be told.
func (m *Machine) SettledAt() (time.Time, bool) {
	if !m.Leads() {
		return time.Time{}, false
	}
	last := m.electedAt.Add(m.timing.Blind + m.timing.Lease + 2*m.timing.Drift)
	if m.settledAt.IsZero() || last.Before(m.settledAt) {
		return last, true
	}
	return m.settledAt, true
}

// Vote reports whether this process lacks a leader that it hears and that
// reaches the store, so that another may stand for the epoch after the given.
func (m *Machine) Vote(now time.Time, epoch uint64) bool {
	if epoch < m.term.Epoch {
		return false
	}
	return m.lacksLeader(now, m.timing.Suspect/2, m.timing.Yield)
}

// IsLed reports whether this process hears a leader that reaches the store, or
// has lacked it for so short a time that another one that does may still take
// its place.
func (m *Machine) IsLed(now time.Time) bool {
	blind := !m.blindSince.IsZero() && now.Sub(m.blindSince) > ledBlind
	return m.term.Leader != "" && !m.Leads() && !blind && now.Sub(m.heardAt) < 3*m.timing.Ask
}

// ledBlind is how long a leader may lack the store before those that it leads
// ask the store themselves.
const ledBlind = 2500 * time.Millisecond

// lacksLeader reports whether the leader has been silent, or has lacked the
// store, for longer than the given times.
func (m *Machine) lacksLeader(now time.Time, silence, yield time.Duration) bool {
	if m.term.Leader == "" {
		return true
	}
	if m.Leads() {
		return now.Sub(m.verifiedAt) > verifiedLately
	}
	blind := !m.blindSince.IsZero() && now.Sub(m.blindSince) > yield
	return blind || now.Sub(m.heardAt) > silence
}

// verifiedLately is how long ago the store may have shown a leader its term
// before it votes for others.
const verifiedLately = 1200 * time.Millisecond

// Silence returns how long this process has heard no leader.
func (m *Machine) Silence(now time.Time) time.Duration {
	if m.term.Leader == "" || m.Leads() {
		return 0
	}
	return now.Sub(m.heardAt)
}

// MayStand reports whether this process should try to lead the next term.
func (m *Machine) MayStand(now time.Time, ended func(pimento.ProcessID) bool) bool {
	if m.Leads() {
		return false
	}
	if m.term.Leader == "" {
		return true
	}
	rank, yield := 0, outsiderYield
	for _, id := range m.term.Confirmers {
		if id == m.self {
			yield = m.timing.Yield + time.Duration(rank)*m.timing.Stagger
			break
		}
		if id != m.term.Leader && !ended(id) {
			rank++
		}
	}
	wait := m.timing.Suspect
	if ended(m.term.Leader) {
		wait = 0
	}
	return m.lacksLeader(now, wait+time.Duration(rank)*m.timing.Stagger, yield)
}

// outsiderYield is how long a leader that is heard may lack the store before
// processes stand that do not confirm it. The confirmers are enough unless the
// store turns all of them away.
const outsiderYield = 3 * time.Second

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

// Next returns the term that follows with this process as its leader. live are
// the processes that answered, of which the confirmers are chosen.
func (m *Machine) Next(live []pimento.ProcessID, ended func(pimento.ProcessID) bool) pimento.Term {
	t := pimento.Term{Epoch: m.term.Epoch + 1, Leader: m.self, Confirmers: m.choose(live)}
	var prior [][]pimento.ProcessID
	if !m.inForce {
		prior = slices.Clone(m.term.Prior)
	}
	if len(m.term.Confirmers) > 0 {
		// Also where this process leads already: it acts by the present term
		// until it knows that the next one stands.
		prior = append(prior, m.term.Confirmers)
	}
	for _, set := range prior {
		set = slices.Clone(set)
		slices.Sort(set)
		known := slices.ContainsFunc(t.Prior, func(s []pimento.ProcessID) bool { return slices.Equal(s, set) })
		if !known && !pimento.Blocked(set, ended) {
			t.Prior = append(t.Prior, set)
		}
	}
	return t
}

// choose returns this process and the strongest live ones; of those that are
// alike, such that confirm already. The strongest come first.
func (m *Machine) choose(live []pimento.ProcessID) []pimento.ProcessID {
	list := slices.DeleteFunc(slices.Clone(live), func(id pimento.ProcessID) bool { return id == m.self })
	strength := make(map[pimento.ProcessID]float64, len(list))
	for _, id := range list {
		strength[id] = m.strength(id)
	}
	slices.SortFunc(list, func(a, b pimento.ProcessID) int {
		return cmp.Or(cmp.Compare(strength[b], strength[a]), m.place(a)-m.place(b), cmp.Compare(a, b))
	})
	list = slices.Compact(list)
	return append([]pimento.ProcessID{m.self}, list[:min(len(list), MaxConfirmers-1)]...)
}

// place returns the place of a process among the confirmers, a later one than
// any for others.
func (m *Machine) place(id pimento.ProcessID) int {
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

// Stronger reports whether a set of confirmers is so much stronger than that of
// the present term that it is worth a new one.
func (m *Machine) Stronger(set []pimento.ProcessID) bool {
	sum := func(list []pimento.ProcessID) (total float64) {
		for _, id := range list {
			total += m.strength(id)
		}
		return total
	}
	return sum(set) > worthATerm*sum(m.term.Confirmers)
}

// worthATerm is how many times as strong as before confirmers must be for a
// change of the term.
const worthATerm = 1.5
