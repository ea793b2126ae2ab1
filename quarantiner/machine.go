// Package quarantiner recognizes requests that crash the upstreams that run
// them. It is a pure state machine; time and results come in as arguments.
//
// A connection that breaks says little: answers get lost, and an upstream may
// crash for other reasons. A request is blamed for a crash if its connection
// broke and the upstream was then found to be down or to have started again,
// without having answered in between. All requests that ran there are blamed
// alike; one that is answered later is cleared. A request that is blamed for
// [Limit] crashes in a row is refused for a while.
//
// Requests are told apart by a print of what callers send again: method, host,
// path and body.
//
// # Usage
//
//	m := quarantiner.New()
//	m.Broke(now, upstream, print)
//	m.Down(now, upstream)               // or Restarted
//	m.Answered(upstream, sentAt, print)
//	strikes := m.Strikes()              // for those who count over all processes
//	if wait := m.Wait(now, print); wait > 0 { ... }
package quarantiner

import (
	"maps"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// Limit is how many crashes in a row a request is blamed for before it is
	// refused.
	Limit = 3
	// blockTime is how long a request is refused after that.
	blockTime = time.Minute
	// doubtPause is how long a request waits that may be to blame.
	doubtPause = 500 * time.Millisecond
	// confirmTime is how long after a connection broke its upstream must be
	// found to be down for the break to be a crash.
	confirmTime = 3 * time.Second
	// maxPrints bounds the requests that are blamed or refused at once.
	maxPrints = 4096
)

// Print tells requests apart; zero: none was taken.
type Print uint64

// suspect is a request whose connection broke.
type suspect struct {
	print Print
	at    time.Time
}

// blame is what is held against a request.
type blame struct {
	crashes int
	at      time.Time // of the latest
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	suspects map[pimento.UpstreamName][]suspect
	down     map[pimento.UpstreamName]bool
	blames   map[Print]blame
	blocked  map[Print]time.Time // until when
	strikes  []Print
}

// New returns a machine that blames nobody.
func New() *Machine {
	return &Machine{
		suspects: make(map[pimento.UpstreamName][]suspect), down: make(map[pimento.UpstreamName]bool),
		blames: make(map[Print]blame), blocked: make(map[Print]time.Time),
	}
}

// Broke says that the connection of a request to an upstream broke without an
// answer.
func (m *Machine) Broke(now time.Time, upstream pimento.UpstreamName, p Print) {
	if p != 0 && !m.down[upstream] && len(m.suspects[upstream]) < maxPrints {
		m.suspects[upstream] = append(m.suspects[upstream], suspect{print: p, at: now})
	}
}

// Down says that an upstream was found to be down. What breaks there before it
// answers again or has started again is no other crash.
func (m *Machine) Down(now time.Time, upstream pimento.UpstreamName) {
	m.convict(now, upstream)
	m.down[upstream] = true
}

// Restarted says that an upstream was found to have started again, or to be
// gone.
func (m *Machine) Restarted(now time.Time, upstream pimento.UpstreamName) {
	m.convict(now, upstream)
	delete(m.down, upstream)
}

// convict blames the suspects of an upstream, each once.
func (m *Machine) convict(now time.Time, upstream pimento.UpstreamName) {
	blamed := make(map[Print]bool)
	for _, s := range m.suspects[upstream] {
		if now.Sub(s.at) <= confirmTime && !blamed[s.print] {
			blamed[s.print] = true
			m.strikes = append(m.strikes, s.print)
			m.Blame(now, s.print)
		}
	}
	delete(m.suspects, upstream)
}

// Answered says that an upstream answered a request that was sent at sentAt. So
// it was up then, and the request did not crash it.
func (m *Machine) Answered(upstream pimento.UpstreamName, sentAt time.Time, p Print) {
	delete(m.blames, p)
	delete(m.down, upstream)
	if list, ok := m.suspects[upstream]; ok && sentAt.After(list[len(list)-1].at) {
		delete(m.suspects, upstream)
	}
}

// Blame counts a crash, and reports whether the request is refused from now on
// that was not before.
func (m *Machine) Blame(now time.Time, p Print) bool {
	m.forget(now)
	b := m.blames[p]
	b.crashes++
	b.at = now
	m.blames[p] = b
	if b.crashes < Limit || m.Blocked(now, p) {
		return false
	}
	m.Block(now, p)
	return true
}

// Block refuses a request for a while, as others found out.
func (m *Machine) Block(now time.Time, p Print) { m.blocked[p] = now.Add(blockTime) }

// Blocked reports whether a request was found to crash upstreams.
func (m *Machine) Blocked(now time.Time, p Print) bool { return now.Before(m.blocked[p]) }

// Wait returns how long a request is to be refused, zero if it may go. One
// whose connections broke so often that it may be to blame waits until that is
// known.
func (m *Machine) Wait(now time.Time, p Print) time.Duration {
	if m.Blocked(now, p) {
		return m.blocked[p].Sub(now)
	}
	if m.open(now, p)+m.blames[p].crashes >= Limit {
		return doubtPause
	}
	return 0
}

// open returns at how many upstreams connections of a request broke of which it
// is not known yet whether they crashed.
func (m *Machine) open(now time.Time, p Print) int {
	n := 0
	for _, list := range m.suspects {
		for _, s := range list {
			if s.print == p && now.Sub(s.at) <= confirmTime {
				n++
				break
			}
		}
	}
	return n
}

// Strikes returns the requests that were blamed since the last call, once for
// each crash.
func (m *Machine) Strikes() []Print {
	out := m.strikes
	m.strikes = nil
	return out
}

// forget drops what is too old to count, and all of it where it grows beyond
// bounds.
func (m *Machine) forget(now time.Time) {
	maps.DeleteFunc(m.blames, func(_ Print, b blame) bool { return now.Sub(b.at) > blockTime })
	maps.DeleteFunc(m.blocked, func(_ Print, until time.Time) bool { return now.After(until) })
	if len(m.blames) > maxPrints {
		clear(m.blames)
	}
}
