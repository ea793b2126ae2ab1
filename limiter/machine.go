// Package limiter decides when a request may go to an upstream. It keeps how
// many may run at once, and a bounded queue of those that wait. It is a pure
// state machine; the dispatcher of the upstream is its only user, so the limit
// is exact.
//
// A cold upstream bears one request at a time. The limit grows by one after
// each growAfter successes that ran while the limit was in use, up to the
// slots of the upstream, and falls to one at the first sign of a restart. This
// is additive increase as in Chiu and Jain, "Analysis of the increase and
// decrease algorithms" (1989), with a fall to the floor instead of a halving,
// since an upstream that has restarted bears no more than the floor.
//
// Waiting requests are served by class, the interactive first, and within a
// class in order of arrival among the keys in turn, so that one hot key does
// not starve the others. A request that could not be served before its
// deadline is refused when it arrives.
//
// # Usage
//
//	m := limiter.New(slots)
//	switch m.Offer(now, ticket) { case limiter.Admitted: ... }
//	for _, id := range m.Done(now, limiter.ResultSuccess) { /* admitted now */ }
package limiter

import (
	"math"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// growAfter is the number of successes after which the limit grows.
	growAfter = 10
	// queuePerSlot is how many requests may wait for each slot.
	queuePerSlot = 32
	// uploadShare is the part of the slots that uploads may hold while others
	// could use them.
	uploadShare = 0.5
	// workSmoothing is the weight of a new sample in the mean time of a run.
	workSmoothing = 0.1
)

// Verdict says what becomes of a request on its arrival.
type Verdict string

// The verdicts.
const (
	Admitted Verdict = "Admitted"
	Queued   Verdict = "Queued"
	Refused  Verdict = "Refused"
)

// Result says how a run ended.
type Result string

// The results.
const (
	ResultSuccess   Result = "Success"   // the upstream answered
	ResultRefused   Result = "Refused"   // the upstream did not run it
	ResultFailed    Result = "Failed"    // the connection broke or the answer was wrong
	ResultCancelled Result = "Cancelled" // nobody waits for the answer any more
)

// Ticket is one request that wants to run.
type Ticket struct {
	ID       uint64
	Key      uint64
	Class    pimento.Class
	Deadline time.Time
}

// Machine is the state for one upstream. It is not safe for concurrent use.
type Machine struct {
	slots     int
	limit     int
	running   int
	uploads   int
	successes int
	work      time.Duration // mean time of a run
	waiting   map[pimento.Class]*fairQueue
	queued    int
}

// New returns the machine of an upstream that is cold.
func New(slots int) *Machine {
	return &Machine{
		slots: max(1, slots),
		limit: 1,
		waiting: map[pimento.Class]*fairQueue{
			pimento.ClassInteractive: {},
			pimento.ClassUpload:      {},
		},
	}
}

// Warm sets the limit that an earlier dispatcher of the same run of the
// upstream had reached.
func (m *Machine) Warm(limit int) { m.limit = max(1, min(limit, m.slots)) }

// Cold lowers the limit to what an upstream bears right after its start.
func (m *Machine) Cold() { m.limit, m.successes = 1, 0 }

// Offer admits, queues or refuses a request.
func (m *Machine) Offer(now time.Time, t Ticket) Verdict {
	if !now.Before(t.Deadline) {
		return Refused
	}
	if m.queued == 0 && m.fits(t.Class) {
		m.start(t.Class)
		return Admitted
	}
	if m.queued >= m.slots*queuePerSlot || m.wait() > t.Deadline.Sub(now) {
		return Refused
	}
	m.queue(t.Class).push(t)
	m.queued++
	return Queued
}

// queue returns the queue of a class; unknown classes wait as uploads do.
func (m *Machine) queue(c pimento.Class) *fairQueue {
	if q, ok := m.waiting[c]; ok {
		return q
	}
	return m.waiting[pimento.ClassUpload]
}

// fits reports whether a request of a class may start now.
func (m *Machine) fits(c pimento.Class) bool {
	if m.running >= m.limit {
		return false
	}
	return c == pimento.ClassInteractive || m.uploads < m.uploadLimit()
}

func (m *Machine) uploadLimit() int {
	return max(1, int(math.Ceil(float64(m.limit)*uploadShare)))
}

func (m *Machine) start(c pimento.Class) {
	m.running++
	if c != pimento.ClassInteractive {
		m.uploads++
	}
}

// wait estimates how long a request that arrives now will wait.
func (m *Machine) wait() time.Duration {
	return m.work * time.Duration(m.queued+1) / time.Duration(m.limit)
}

// Done ends a run that took the given time and returns the requests that
// start in its place.
func (m *Machine) Done(now time.Time, c pimento.Class, result Result, took time.Duration) []uint64 {
	m.running--
	if c != pimento.ClassInteractive {
		m.uploads--
	}
	switch result {
	case ResultSuccess:
		m.succeed(c, took)
	case ResultFailed:
		m.Cold()
	}
	return m.Next(now)
}

// succeed grows the limit while it is in use.
func (m *Machine) succeed(c pimento.Class, took time.Duration) {
	if c == pimento.ClassInteractive {
		m.work += time.Duration(workSmoothing * float64(took-m.work))
	}
	if m.limit >= m.slots {
		return
	}
	if m.successes++; m.successes >= growAfter {
		m.limit, m.successes = m.limit+1, 0
	}
}

// Next returns the waiting requests that may start now. Those whose deadline
// has passed are dropped; their callers have given up.
func (m *Machine) Next(now time.Time) []uint64 {
	var out []uint64
	for _, c := range []pimento.Class{pimento.ClassInteractive, pimento.ClassUpload} {
		for m.fits(c) {
			t, ok := m.waiting[c].pop()
			if !ok {
				break
			}
			m.queued--
			if now.Before(t.Deadline) {
				m.start(c)
				out = append(out, t.ID)
			}
		}
	}
	return out
}

// Leave takes a waiting request out of the queue and reports whether it was
// still there.
func (m *Machine) Leave(t Ticket) bool {
	if !m.queue(t.Class).remove(t) {
		return false
	}
	m.queued--
	return true
}

// Limit returns how many requests may run at once.
func (m *Machine) Limit() int { return m.limit }

// Running returns how many requests run.
func (m *Machine) Running() int { return m.running }

// Queued returns how many requests wait.
func (m *Machine) Queued() int { return m.queued }

// IsCold reports whether the limit is still below the slots.
func (m *Machine) IsCold() bool { return m.limit < m.slots }
