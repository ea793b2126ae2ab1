package confirmer

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// mark records when this process first had authority in an epoch.
type mark struct {
	epoch   uint64
	firstAt time.Time
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
