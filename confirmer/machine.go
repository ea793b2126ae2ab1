// Package confirmer decides whether a process has authority: whether it may
// use the rights that the plan gives it. It is a pure state machine; time and
// messages come in as arguments.
//
// Every process asks the confirmers that the plan names, several times within
// a lease. A process has authority until one lease after it sent the latest
// question that a majority of the confirmers, and a majority of the prior
// confirmers, have confirmed in its epoch. A confirmer confirms a process only
// in its own epoch, only if the plan lists the process, and only if it has
// not suspected it within this epoch. What a confirmer has withdrawn stays
// withdrawn until the next epoch.
//
// Two consequences carry all of sole ownership:
//
//   - Once a process has authority in epoch e, nobody gets authority in an
//     earlier epoch by a question sent later. One lease after that moment all
//     authority of earlier epochs has lapsed ([Machine.Settled]).
//   - Once so many confirmers have withdrawn a process that the others are no
//     majority, its authority lapses within one lease ([Machine.Lapsed]).
//
// The confirmations decide nothing. They let a decision of the plan stand or
// hold it back, and no state outlives a process. The idea is the leader lease
// of Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency" (1989), with a majority as the grantor.
//
// # Usage
//
//	m := confirmer.New(self, confirmer.DefaultTiming())
//	m.Learn(now, plan)
//	for _, peer := range m.Peers() { send(peer, m.Question()) }
//	answer := m.Ask(now, ask)          // as a confirmer
//	m.Answer(now, sentAt, answer)      // as an asker
//	if now.Before(m.AuthorityUntil()) { ... }
package confirmer

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Timing holds the intervals of the machine.
type Timing struct {
	Heartbeat time.Duration // between two questions
	Suspect   time.Duration // silence after which a process is withdrawn
	Lease     time.Duration // how long a confirmation lasts
	Drift     time.Duration // allowance for clocks that run at different rates
}

// DefaultTiming returns the intervals of the product.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 40 * time.Millisecond,
		Suspect:   240 * time.Millisecond,
		Lease:     280 * time.Millisecond,
		Drift:     10 * time.Millisecond,
	}
}

// mark records when this process first had authority in an epoch.
type mark struct {
	epoch   uint64
	firstAt time.Time
}

// maxMarks bounds the history of epochs.
const maxMarks = 256

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	self   pimento.ProcessID
	timing Timing
	plan   pimento.Plan

	// As a confirmer.
	heard     map[pimento.ProcessID]time.Time
	lastTick  time.Time
	withdrawn pimento.Withdrawn

	// As an asker.
	confirmed map[pimento.ProcessID]time.Time // when the confirmed question was sent
	seen      map[pimento.ProcessID]pimento.Withdrawn
	carried   time.Time // authority of earlier epochs
	marks     []mark    // consecutive epochs without a lapse, the last is this one
	blockedP  map[pimento.ProcessID]time.Time
	blockedU  map[pimento.UpstreamName]time.Time
}

// New returns a machine without a plan.
func New(self pimento.ProcessID, timing Timing) *Machine {
	m := &Machine{self: self, timing: timing}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.withdrawn = pimento.Withdrawn{}
	m.confirmed = make(map[pimento.ProcessID]time.Time)
	m.seen = make(map[pimento.ProcessID]pimento.Withdrawn)
	m.blockedP = make(map[pimento.ProcessID]time.Time)
	m.blockedU = make(map[pimento.UpstreamName]time.Time)
}

// Epoch returns the epoch of the plan in force here.
func (m *Machine) Epoch() uint64 { return m.plan.Epoch }

// Learn takes over a plan if it is newer than the one in force here.
func (m *Machine) Learn(now time.Time, plan pimento.Plan) bool {
	if plan.Epoch <= m.plan.Epoch {
		return false
	}
	m.carried = m.AuthorityUntil()
	m.addMark(now, plan.Epoch)
	old := m.heard
	if !m.isConfirmer() {
		old = nil // nobody had to ask this process so far
	}
	m.plan = plan
	m.reset()
	m.heard = make(map[pimento.ProcessID]time.Time, len(plan.Processes))
	for _, p := range plan.Processes {
		m.heard[p.ID] = now
		if at, ok := old[p.ID]; ok {
			m.heard[p.ID] = at
		}
	}
	m.confirmSelf(now)
	return true
}

// addMark begins the history of an epoch. A skipped epoch or a lapse ends the
// history before it, since another process may have taken rights up meanwhile.
func (m *Machine) addMark(now time.Time, epoch uint64) {
	if epoch != m.plan.Epoch+1 || !now.Before(m.AuthorityUntil()) || len(m.marks) >= maxMarks {
		m.marks = nil
	}
	m.marks = append(m.marks, mark{epoch: epoch})
}

// forgetLapsed drops the history of earlier epochs if authority has lapsed.
func (m *Machine) forgetLapsed(now time.Time) {
	if len(m.marks) > 1 && !now.Before(m.AuthorityUntil()) {
		m.marks = m.marks[len(m.marks)-1:]
	}
}

// Tick withdraws processes that have been silent for too long, and counts the
// machine's own confirmation.
func (m *Machine) Tick(now time.Time) {
	m.excusePause(now)
	m.forgetLapsed(now)
	if m.isConfirmer() {
		m.suspect(now)
	}
	m.confirmSelf(now)
}

// excusePause lets nobody be suspected for questions that this process itself
// could not take because it was paused.
func (m *Machine) excusePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > m.timing.Suspect/2 {
		for id := range m.heard {
			m.heard[id] = now
		}
	}
	m.lastTick = now
}

func (m *Machine) suspect(now time.Time) {
	for id, at := range m.heard {
		if id != m.self && now.Sub(at) > m.timing.Suspect && !m.withdrawn.HasProcess(id) {
			m.withdrawn.Processes = append(m.withdrawn.Processes, id)
		}
	}
}

func (m *Machine) isConfirmer() bool {
	return slices.Contains(m.plan.Confirmers, m.self) || m.isPrior()
}

func (m *Machine) isPrior() bool { return slices.Contains(m.plan.PriorConfirmers, m.self) }

// confirmSelf counts the vote of a process that is itself a confirmer.
func (m *Machine) confirmSelf(now time.Time) {
	if _, listed := m.plan.Process(m.self); listed && m.isConfirmer() {
		m.Answer(now, now, pimento.ConfirmAnswer{From: m.self, Epoch: m.plan.Epoch, Confirmed: true, Withdrawn: m.withdrawn})
	}
}

// Withdraw records that an upstream is lost, if this process is a confirmer.
func (m *Machine) Withdraw(names []pimento.UpstreamName) {
	for _, name := range names {
		if !m.withdrawn.HasUpstream(name) {
			m.withdrawn.Upstreams = append(m.withdrawn.Upstreams, name)
		}
	}
}

// Ask answers a question as a confirmer.
func (m *Machine) Ask(now time.Time, ask pimento.ConfirmAsk) pimento.ConfirmAnswer {
	answer := pimento.ConfirmAnswer{From: m.self, Epoch: m.plan.Epoch}
	if ask.Epoch != m.plan.Epoch {
		m.hear(now, ask.From)
		return answer
	}
	m.Withdraw(ask.Lost)
	m.hear(now, ask.From)
	_, listed := m.plan.Process(ask.From)
	answer.Confirmed = listed && m.isConfirmer() && !m.withdrawn.HasProcess(ask.From)
	answer.Withdrawn = pimento.Withdrawn{
		Processes: slices.Clone(m.withdrawn.Processes),
		Upstreams: slices.Clone(m.withdrawn.Upstreams),
	}
	return answer
}

// hear records a sign of life of a listed process.
func (m *Machine) hear(now time.Time, id pimento.ProcessID) {
	if _, listed := m.heard[id]; listed {
		m.heard[id] = now
	}
}

// Answer takes the answer to a question that was sent at sentAt.
func (m *Machine) Answer(now, sentAt time.Time, answer pimento.ConfirmAnswer) {
	if answer.Epoch != m.plan.Epoch {
		return
	}
	m.seen[answer.From] = answer.Withdrawn
	if answer.Confirmed && sentAt.After(m.confirmed[answer.From]) {
		m.confirmed[answer.From] = sentAt
	}
	m.noteFirst(now)
	m.noteBlocked(now, answer.Withdrawn)
}

// noteFirst records the first authority of this epoch.
func (m *Machine) noteFirst(now time.Time) {
	if n := len(m.marks); n > 0 && m.marks[n-1].firstAt.IsZero() && !m.agreedAt().IsZero() {
		m.marks[n-1].firstAt = now
	}
}

// noteBlocked records since when enough confirmers have withdrawn a right.
func (m *Machine) noteBlocked(now time.Time, w pimento.Withdrawn) {
	for _, id := range w.Processes {
		if _, known := m.blockedP[id]; !known && m.blocked(func(s *pimento.Withdrawn) bool { return s.HasProcess(id) }) {
			m.blockedP[id] = now
		}
	}
	for _, name := range w.Upstreams {
		if _, known := m.blockedU[name]; !known && m.blocked(func(s *pimento.Withdrawn) bool { return s.HasUpstream(name) }) {
			m.blockedU[name] = now
		}
	}
}

func (m *Machine) blocked(has func(*pimento.Withdrawn) bool) bool {
	out := func(id pimento.ProcessID) bool {
		w := m.seen[id]
		return has(&w)
	}
	return pimento.Blocked(m.plan.Confirmers, out) || pimento.Blocked(m.plan.PriorConfirmers, out)
}

// agreedAt returns when the latest question was sent that majorities of both
// lists have confirmed in this epoch, or zero.
func (m *Machine) agreedAt() time.Time {
	if len(m.plan.Confirmers) == 0 {
		return time.Time{}
	}
	at := m.majorityAt(m.plan.Confirmers)
	if len(m.plan.PriorConfirmers) == 0 {
		return at
	}
	if prior := m.majorityAt(m.plan.PriorConfirmers); prior.Before(at) {
		return prior
	}
	return at
}

func (m *Machine) majorityAt(list []pimento.ProcessID) time.Time {
	times := make([]time.Time, 0, len(list))
	for _, id := range list {
		times = append(times, m.confirmed[id])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[pimento.Majority(len(times))-1]
}

// AuthorityUntil returns the end of this process's authority, zero if it
// never had any. Authority of an earlier epoch lasts until it lapses.
func (m *Machine) AuthorityUntil() time.Time {
	at := m.agreedAt()
	if at.IsZero() {
		return m.carried
	}
	if until := at.Add(m.timing.Lease); until.After(m.carried) {
		return until
	}
	return m.carried
}

// Settled reports whether all authority of epochs before the given one has
// lapsed, and a question sent since then was confirmed. Only then may a right
// be taken up whose earlier holder has not given it back.
func (m *Machine) Settled(epoch uint64) bool {
	for _, k := range m.marks {
		if k.epoch >= epoch && !k.firstAt.IsZero() {
			return m.lapsed(k.firstAt)
		}
	}
	return false
}

// lapsed reports whether one lease has passed since a moment, and a question
// sent after that was confirmed.
func (m *Machine) lapsed(since time.Time) bool {
	return m.agreedAt().After(since.Add(m.timing.Lease + m.timing.Drift))
}

// Lapsed reports whether the authority of a withdrawn process has lapsed: that
// of this epoch, and that which it may carry from earlier ones.
func (m *Machine) Lapsed(id pimento.ProcessID) bool {
	since, ok := m.blockedP[id]
	return ok && m.lapsed(since) && m.Settled(m.plan.Epoch)
}

// Lost reports whether enough confirmers know that an upstream is lost, so
// that nobody can get authority without learning of it.
func (m *Machine) Lost(name pimento.UpstreamName) bool {
	_, ok := m.blockedU[name]
	return ok
}

// Withdrawn returns everything that this process knows to be withdrawn in its
// epoch, by whichever confirmer. Rights that depend on it end at once.
func (m *Machine) Withdrawn() pimento.Withdrawn {
	out := pimento.Withdrawn{Upstreams: slices.Clone(m.withdrawn.Upstreams)}
	for _, w := range m.seen {
		for _, name := range w.Upstreams {
			if !out.HasUpstream(name) {
				out.Upstreams = append(out.Upstreams, name)
			}
		}
	}
	for id := range m.blockedP {
		out.Processes = append(out.Processes, id)
	}
	slices.Sort(out.Processes)
	slices.Sort(out.Upstreams)
	return out
}

// Suspects returns the processes that this process itself has withdrawn.
func (m *Machine) Suspects() []pimento.ProcessID { return slices.Clone(m.withdrawn.Processes) }

// Suspicious reports whether any confirmer has withdrawn a process.
func (m *Machine) Suspicious(id pimento.ProcessID) bool {
	for _, w := range m.seen {
		if w.HasProcess(id) {
			return true
		}
	}
	return false
}

// LearnedBy returns the confirmers that have answered in this epoch, which
// therefore have learned it.
func (m *Machine) LearnedBy(id pimento.ProcessID) bool {
	_, ok := m.seen[id]
	return ok
}

// InForce reports whether enough prior confirmers have learned this epoch, so
// that the next one may be written. Processes in ended count as learned.
func (m *Machine) InForce(ended func(pimento.ProcessID) bool) bool {
	if len(m.plan.PriorConfirmers) == 0 {
		return true
	}
	return pimento.Blocked(m.plan.PriorConfirmers, func(id pimento.ProcessID) bool {
		return m.LearnedBy(id) || ended(id)
	})
}

// Peers returns every process that the machine asks: confirmers and prior
// confirmers other than itself.
func (m *Machine) Peers() []pimento.ProcessID {
	var out []pimento.ProcessID
	for _, list := range [][]pimento.ProcessID{m.plan.Confirmers, m.plan.PriorConfirmers} {
		for _, id := range list {
			if id != m.self && !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// Timing returns the intervals of the machine.
func (m *Machine) Timing() Timing { return m.timing }
