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

// LearnedBy reports whether a process has answered in this epoch, and so has
// learned it.
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
