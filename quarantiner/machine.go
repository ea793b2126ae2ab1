// Package quarantiner recognizes requests that crash the upstreams that run
// them. It is a pure state machine; time and results come in as arguments.
//
// A broken connection alone proves no crash: answers get lost, and an upstream
// may crash for other reasons. It opens a suspicion, which only evidence ends, no
// lapse of time:
//
//   - The run is found replaced or gone while it was not leaving, or nothing listens at
//     its address: it crashed. This is a [Fact].
//   - It answers something that was sent later: the suspicion no longer counts. If the
//     run is then found replaced by one that had already started, that one has
//     answered, and it was a crash.
//   - A later copy of the request is answered: the request crashes nothing. This ends
//     suspicions and clears facts.
//
// A request that ended in another way without an answer opens a weak suspicion, which
// counts once it is confirmed. Facts are shared by all processes through the leader
// (see [Book]); suspicions stay in the process that has them.
//
// A request that has crashed [CrashLimit] runs is refused for a while, and one whose
// open suspicions would bring it there for a moment.
//
// Requests are identified by a fingerprint of what callers send again: method,
// host, path and body.
//
// # Usage
//
//	m := quarantiner.New()
//	m.ConnectionBroke(now, run, fingerprint)
//	m.Listed(now, runs)                  // or Down
//	m.Answered(now, run, sentAt, fingerprint)
//	facts := m.Reports(now, epoch)       // for the leader
//	m.Merge(now, facts)                  // from the leader
//	if wait := m.RetryAfter(now, fingerprint); wait > 0 { ... }
package quarantiner

import (
	"time"

	"pimentorelay.example/pimento"
)

const (
	// unconfirmedRetryAfter is how long a request is refused when its open suspicions
	// could bring it to CrashLimit.
	unconfirmedRetryAfter = 500 * time.Millisecond
	// clockTolerance is the greatest difference that is expected between the clocks of
	// two hosts.
	clockTolerance = time.Second
)

// Listing is what the list of upstreams says of one of them.
type Listing struct {
	Started int64 // of its run, Unix milliseconds
	Leaving bool
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	book       Book
	suspicions suspicions
	reportedTo uint64 // epoch of the leader of the last report
	findings   []Finding
}

// New returns a machine without suspicions or facts.
func New() *Machine { return &Machine{suspicions: newSuspicions()} }

// ConnectionBroke records that the connection of a request to a run broke without an
// answer.
func (m *Machine) ConnectionBroke(now time.Time, run Run, p Fingerprint) {
	m.suspect(suspicion{fingerprint: p, run: run, at: now})
}

// Unanswered records that a request to a run ended without an answer, and not because
// its connection broke.
func (m *Machine) Unanswered(now time.Time, run Run, p Fingerprint) {
	m.suspect(suspicion{fingerprint: p, run: run, at: now, weak: true})
}

func (m *Machine) suspect(s suspicion) {
	if s.fingerprint == 0 {
		return
	}
	m.suspicions.open(s)
	for _, old := range m.suspicions.surplus() {
		m.drop(old.at, old, EvidenceFull)
	}
}

// Down records that nothing listens at the address of a run. A run that leaves may
// have ended in order.
func (m *Machine) Down(now time.Time, run Run) {
	r, ok := m.suspicions.runs[run]
	if !ok || r.leaving {
		return
	}
	for _, s := range m.suspicions.of(run) {
		if s.answeredAt.IsZero() {
			m.confirm(now, s, EvidenceDown)
		}
	}
}

// Listed passes the upstreams that are known now.
func (m *Machine) Listed(now time.Time, upstreams map[pimento.UpstreamName]Listing) {
	for run, r := range m.suspicions.runs {
		next, ok := upstreams[run.Upstream]
		switch {
		case !ok:
			m.gone(now, run, r.leaving)
		case next.Started == run.Started:
			r.leaving = r.leaving || next.Leaving
		case next.Started > run.Started:
			m.replaced(now, run, Run{Upstream: run.Upstream, Started: next.Started}, r.leaving)
		}
	}
}

// gone ends the suspicions of a run whose entry was removed. Those that were answered
// remain until its next run is known.
func (m *Machine) gone(now time.Time, run Run, left bool) {
	for _, s := range m.suspicions.of(run) {
		switch {
		case left:
			m.drop(now, s, EvidenceLeft)
		case s.answeredAt.IsZero():
			m.confirm(now, s, EvidenceRestarted)
		}
	}
}

// replaced ends the suspicions of a run that another has followed. A request that the
// next run may have had itself is suspected there too.
func (m *Machine) replaced(now time.Time, run, next Run, left bool) {
	startedAt := next.StartedAt()
	for _, s := range m.suspicions.of(run) {
		switch {
		case left:
			m.drop(now, s, EvidenceLeft)
		case !s.answeredAt.IsZero() && !startedAt.Before(s.answeredAt.Add(clockTolerance)):
			m.drop(now, s, EvidenceAnswered)
		default:
			m.confirm(now, s, EvidenceRestarted)
			if s.at.After(startedAt.Add(-clockTolerance)) {
				m.suspicions.open(suspicion{fingerprint: s.fingerprint, run: next, at: s.at, answeredAt: s.answeredAt, weak: true})
			}
		}
	}
}

// confirm turns a suspicion into a fact.
func (m *Machine) confirm(now time.Time, s *suspicion, evidence Evidence) {
	m.suspicions.remove(s)
	wasBlocked := m.Blocked(now, s.fingerprint)
	if !m.book.add(now, s.fingerprint, s.run, entry{foundAt: now, knownAt: s.at}) {
		return
	}
	found := Finding{Kind: FindingCounted, Fingerprint: s.fingerprint, Run: s.run, Count: m.book.Crashes(s.fingerprint), Evidence: evidence, After: now.Sub(s.at)}
	m.addFinding(found)
	if !wasBlocked && m.Blocked(now, s.fingerprint) {
		found.Kind = FindingRefused
		m.addFinding(found)
	}
}

// drop ends a suspicion that counts for nothing.
func (m *Machine) drop(now time.Time, s *suspicion, evidence Evidence) {
	m.suspicions.remove(s)
	if s.weak {
		return
	}
	m.addFinding(Finding{Kind: FindingDropped, Fingerprint: s.fingerprint, Run: s.run, Evidence: evidence, After: now.Sub(s.at)})
}

// Answered records that a run answered something that was sent at sentAt. If that was
// a request whose upstream has not failed, p is its fingerprint, else zero.
func (m *Machine) Answered(now time.Time, run Run, sentAt time.Time, p Fingerprint) {
	for _, s := range m.suspicions.answer(now, run, sentAt) {
		if !s.weak {
			m.addFinding(Finding{Kind: FindingDoubted, Fingerprint: s.fingerprint, Run: run, Evidence: EvidenceAnswered, After: now.Sub(s.at)})
		}
	}
	if p == 0 {
		return
	}
	for _, s := range m.suspicions.requests[p] {
		if s.at.Before(sentAt) {
			m.drop(now, s, EvidenceAnswered)
		}
	}
	count := m.book.Crashes(p)
	if m.book.clear(p, sentAt) > 0 {
		m.addFinding(Finding{Kind: FindingReset, Fingerprint: p, Run: run, Count: count, Evidence: EvidenceAnswered})
	}
}

// Merge adds the facts that the leader's state shows.
func (m *Machine) Merge(now time.Time, list []Fact) {
	for _, f := range list {
		wasBlocked := m.Blocked(now, f.Fingerprint)
		m.book.Merge(now, []Fact{f})
		m.book.markShown(f)
		if s, ok := m.suspicions.runs[f.Run].suspicion(f.Fingerprint); ok && !s.at.After(now.Add(-f.Age)) {
			m.suspicions.remove(s)
		}
		if !wasBlocked && m.Blocked(now, f.Fingerprint) {
			m.addFinding(Finding{Kind: FindingRefused, Fingerprint: f.Fingerprint, Run: f.Run, Count: m.book.Crashes(f.Fingerprint), Evidence: EvidenceReport})
		}
	}
}

// Reports returns the facts that the leader of an epoch has not shown yet. What a
// leader was told of is told again until its state shows it: messages get lost.
func (m *Machine) Reports(now time.Time, epoch uint64) []Fact {
	if epoch != m.reportedTo {
		m.reportedTo = epoch
		m.book.forgetShown()
	}
	return m.book.unshown(now)
}

// Crashes returns how many crashes count against a request.
func (m *Machine) Crashes(p Fingerprint) int { return m.book.Crashes(p) }

// Blocked reports whether a request is refused because it reached CrashLimit.
func (m *Machine) Blocked(now time.Time, p Fingerprint) bool { return m.book.Blocked(now, p) }

// RetryAfter returns how long a request is to be refused, zero if it may be sent.
// A request that may have reached CrashLimit is refused until its open suspicions are
// confirmed or ruled out.
func (m *Machine) RetryAfter(now time.Time, p Fingerprint) time.Duration {
	if until := m.book.BlockedUntil(p); now.Before(until) {
		return until.Sub(now)
	}
	if open := m.suspicions.countOpen(p); open > 0 && open+m.book.Crashes(p) >= CrashLimit {
		return unconfirmedRetryAfter
	}
	return 0
}

// HasSuspicions reports whether the machine waits for evidence.
func (m *Machine) HasSuspicions() bool { return m.suspicions.size > 0 }

// OpenRuns returns the runs with open suspicions, of which evidence is sought. A run
// that leaves is none of them.
func (m *Machine) OpenRuns() []Run {
	var out []Run
	for run, r := range m.suspicions.runs {
		if r.leaving || r.unanswered == 0 {
			continue
		}
		for _, s := range r.requests {
			if s.isOpen() {
				out = append(out, run)
				break
			}
		}
	}
	return out
}
