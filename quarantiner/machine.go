// Package quarantiner recognizes requests that crash the upstreams that run
// them. It is a pure state machine; time and results come in as arguments.
//
// A broken connection alone proves no crash: answers get lost, and an upstream
// may crash for other reasons. A crash is counted against a request if its
// connection broke and the upstream was then found to be down or restarted,
// without an answer in between. It is counted against all requests whose
// connections broke there; an answer to one of them resets its count. A request
// with [CrashLimit] crashes in a row is refused for a while.
//
// Requests are identified by a fingerprint of what callers send again: method,
// host, path and body.
//
// # Usage
//
//	m := quarantiner.New()
//	m.ConnectionBroke(now, upstream, fingerprint)
//	m.Down(now, upstream)               // or Restarted
//	m.Answered(upstream, sentAt, fingerprint)
//	reports := m.CrashReports()         // for the leader, which counts over all processes
//	if wait := m.RetryAfter(now, fingerprint); wait > 0 { ... }
package quarantiner

import (
	"maps"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// CrashLimit is the number of crashes in a row after which a request is
	// refused.
	CrashLimit = 3
	// blockDuration is how long a request is refused once it has reached
	// CrashLimit, and how long a crash count is kept after its latest crash.
	blockDuration = time.Minute
	// unconfirmedRetryAfter is how long a request is refused when its unconfirmed
	// crashes could bring it to CrashLimit.
	unconfirmedRetryAfter = 500 * time.Millisecond
	// confirmWindow is how soon after a connection broke its upstream must be
	// found down or restarted for the break to count as a crash.
	confirmWindow = 3 * time.Second
	// maxFingerprints bounds the suspects of an upstream and the requests with
	// counted crashes.
	maxFingerprints = 4096
)

// Fingerprint is the fingerprint of a request; zero: it has none.
type Fingerprint uint64

// suspect is a request and the time when its connection broke.
type suspect struct {
	fingerprint Fingerprint
	at          time.Time
}

// crashCount counts the crashes in a row of a request.
type crashCount struct {
	count  int
	latest time.Time
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	suspects     map[pimento.UpstreamName][]suspect
	down         map[pimento.UpstreamName]bool
	crashes      map[Fingerprint]crashCount
	blockedUntil map[Fingerprint]time.Time
	reports      []Fingerprint
	findings     []Finding
}

// New returns a machine without suspects or crashes.
func New() *Machine {
	return &Machine{
		suspects: make(map[pimento.UpstreamName][]suspect), down: make(map[pimento.UpstreamName]bool),
		crashes: make(map[Fingerprint]crashCount), blockedUntil: make(map[Fingerprint]time.Time),
	}
}

// ConnectionBroke records that the connection of a request to an upstream broke
// without an answer.
func (m *Machine) ConnectionBroke(now time.Time, upstream pimento.UpstreamName, p Fingerprint) {
	switch {
	case p == 0:
	case m.down[upstream]:
		m.addFinding(Finding{Kind: FindingDropped, Fingerprint: p, Upstream: upstream, Evidence: EvidenceDown})
	case len(m.suspects[upstream]) >= maxFingerprints:
		m.addFinding(Finding{Kind: FindingDropped, Fingerprint: p, Upstream: upstream, Evidence: EvidenceFull})
	default:
		m.suspects[upstream] = append(m.suspects[upstream], suspect{fingerprint: p, at: now})
	}
}

// Down records that an upstream was found to be down. Connections that break
// there before it answers or restarts are not counted as another crash.
func (m *Machine) Down(now time.Time, upstream pimento.UpstreamName) {
	m.confirmCrash(now, upstream, EvidenceDown)
	m.down[upstream] = true
}

// Restarted records that an upstream was found to have restarted, or to be
// gone.
func (m *Machine) Restarted(now time.Time, upstream pimento.UpstreamName) {
	m.confirmCrash(now, upstream, EvidenceRestarted)
	delete(m.down, upstream)
}

// confirmCrash counts a crash against each suspect of an upstream within
// confirmWindow, once per fingerprint.
func (m *Machine) confirmCrash(now time.Time, upstream pimento.UpstreamName, evidence Evidence) {
	counted := make(map[Fingerprint]bool)
	for _, s := range m.suspects[upstream] {
		if counted[s.fingerprint] {
			continue
		}
		found := Finding{Fingerprint: s.fingerprint, Upstream: upstream, Evidence: evidence, After: now.Sub(s.at)}
		if now.Sub(s.at) > confirmWindow {
			found.Kind, found.Evidence = FindingDropped, EvidenceLate
			m.addFinding(found)
			continue
		}
		counted[s.fingerprint] = true
		m.reports = append(m.reports, s.fingerprint)
		refused := m.CountCrash(now, s.fingerprint)
		found.Kind, found.Count = FindingCounted, m.crashes[s.fingerprint].count
		m.addFinding(found)
		if refused {
			found.Kind = FindingRefused
			m.addFinding(found)
		}
	}
	delete(m.suspects, upstream)
}

// Answered records that an upstream answered a request that was sent at sentAt.
// So the request did not crash it, and if all breaks there came before sentAt,
// none was a crash.
func (m *Machine) Answered(upstream pimento.UpstreamName, sentAt time.Time, p Fingerprint) {
	if c, ok := m.crashes[p]; ok {
		delete(m.crashes, p)
		m.addFinding(Finding{Kind: FindingReset, Fingerprint: p, Upstream: upstream, Count: c.count, Evidence: EvidenceAnswered})
	}
	delete(m.down, upstream)
	if list, ok := m.suspects[upstream]; ok && sentAt.After(list[len(list)-1].at) {
		for _, s := range list {
			m.addFinding(Finding{Kind: FindingDropped, Fingerprint: s.fingerprint, Upstream: upstream, Evidence: EvidenceAnswered})
		}
		delete(m.suspects, upstream)
	}
}

// CountCrash counts a crash, and reports whether the request is refused from now
// on and was not before.
func (m *Machine) CountCrash(now time.Time, p Fingerprint) bool {
	m.expire(now)
	c := m.crashes[p]
	c.count++
	c.latest = now
	m.crashes[p] = c
	if c.count < CrashLimit || m.Blocked(now, p) {
		return false
	}
	m.Block(now, p)
	return true
}

// Block refuses a request for blockDuration. Callers use it for requests that
// reached CrashLimit over all processes.
func (m *Machine) Block(now time.Time, p Fingerprint) { m.blockedUntil[p] = now.Add(blockDuration) }

// BlockReported is Block for what another process has found.
func (m *Machine) BlockReported(now time.Time, p Fingerprint) {
	if !m.Blocked(now, p) {
		m.addFinding(Finding{Kind: FindingRefused, Fingerprint: p, Count: m.crashes[p].count, Evidence: EvidenceReport})
	}
	m.Block(now, p)
}

// Crashes returns the number of crashes in a row counted against a request.
func (m *Machine) Crashes(p Fingerprint) int { return m.crashes[p].count }

// Blocked reports whether a request is refused because it reached CrashLimit.
func (m *Machine) Blocked(now time.Time, p Fingerprint) bool { return now.Before(m.blockedUntil[p]) }

// RetryAfter returns how long a request is to be refused, zero if it may be sent.
// A request that may have reached CrashLimit is refused until its unconfirmed
// crashes are confirmed or ruled out.
func (m *Machine) RetryAfter(now time.Time, p Fingerprint) time.Duration {
	if m.Blocked(now, p) {
		return m.blockedUntil[p].Sub(now)
	}
	if m.unconfirmed(now, p)+m.crashes[p].count >= CrashLimit {
		return unconfirmedRetryAfter
	}
	return 0
}

// unconfirmed returns the number of upstreams where connections of a request
// broke and it is not known yet whether the upstream crashed.
func (m *Machine) unconfirmed(now time.Time, p Fingerprint) int {
	n := 0
	for _, list := range m.suspects {
		for _, s := range list {
			if s.fingerprint == p && now.Sub(s.at) <= confirmWindow {
				n++
				break
			}
		}
	}
	return n
}

// CrashReports returns the crash reports since the last call: the fingerprint of
// each suspect, once for each confirmed crash.
func (m *Machine) CrashReports() []Fingerprint {
	reports := m.reports
	m.reports = nil
	return reports
}

// expire drops expired crash counts and blocks, and all crash counts where there
// are more than maxFingerprints.
func (m *Machine) expire(now time.Time) {
	maps.DeleteFunc(m.crashes, func(_ Fingerprint, c crashCount) bool { return now.Sub(c.latest) > blockDuration })
	maps.DeleteFunc(m.blockedUntil, func(_ Fingerprint, until time.Time) bool { return now.After(until) })
	if len(m.crashes) > maxFingerprints {
		clear(m.crashes)
	}
}
