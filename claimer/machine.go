// Package claimer decides which rights a process uses: the right to speak to
// an upstream and the right to send it the requests of a slice. It is a pure
// state machine; time, plans and answers come in as arguments, effects go out
// as values.
//
// A process wants a right when it stands first in the plan's line for it,
// after those that were withdrawn in this epoch. It takes the right up only
// when nobody else can be using it:
//
//   - every process before it in line has lapsed, and
//   - every other process has answered in this epoch that it does not use the
//     right, or has lapsed, or is listed no more and all earlier epochs have
//     lapsed.
//
// For a slice it then gathers the request records of all other processes.
// What they answered before is not enough: the earlier holder may have run a
// request since.
//
// It gives a right back when it is no longer first in line or its authority
// has ended: no new request is admitted, those that run are waited for
// (draining), and only then does it answer that the right is free.
//
// # Usage
//
//	m := claimer.New(self)
//	m.Learn(now, plan)
//	for _, effect := range m.Step(now, authority) { ... }
//	answer := m.Asked(handoverAsk)
//	m.Answered(now, handoverAnswer)
//	m.DrainedSlice(id)
package claimer

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// askInterval is the time between two questions to the same process.
	askInterval = 20 * time.Millisecond
	// maxDrain is how long a silent process that may still drain is waited
	// for after all earlier authority has lapsed.
	maxDrain = 5 * time.Second
)

// Authority is what the claimer needs to know of package confirmer.
type Authority interface {
	AuthorityUntil() time.Time
	Settled(epoch uint64) bool
	Lapsed(id pimento.ProcessID) bool
	Lost(name pimento.UpstreamName) bool
	Withdrawn() pimento.Withdrawn
}

// EffectKind says what an effect asks for.
type EffectKind string

// The kinds of effects.
const (
	EffectTakeUpstream EffectKind = "TakeUpstream"
	EffectStopUpstream EffectKind = "StopUpstream"
	EffectTakeSlice    EffectKind = "TakeSlice"
	EffectStopSlice    EffectKind = "StopSlice"
	EffectAsk          EffectKind = "Ask"
)

// Effect is one thing that the process has to do.
type Effect struct {
	Kind     EffectKind
	Upstream pimento.UpstreamName
	Slice    pimento.SliceID
	Fence    uint64              // of TakeUpstream
	To       pimento.ProcessID   // of Ask
	Ask      pimento.HandoverAsk // of Ask
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	self      pimento.ProcessID
	plan      pimento.Plan
	known     map[pimento.ProcessID]bool // every process of any plan; true while listed
	upstreams map[pimento.UpstreamName]*right
	slices    map[pimento.SliceID]*right
	askedAt   map[pimento.ProcessID]time.Time
	busyAt    map[pimento.ProcessID]time.Time
	lastWant  pimento.Withdrawn
	stale     bool
	round     uint64 // of the latest question
}

// New returns a machine without a plan.
func New(self pimento.ProcessID) *Machine {
	return &Machine{
		self:      self,
		known:     make(map[pimento.ProcessID]bool),
		upstreams: make(map[pimento.UpstreamName]*right),
		slices:    make(map[pimento.SliceID]*right),
		askedAt:   make(map[pimento.ProcessID]time.Time),
		busyAt:    make(map[pimento.ProcessID]time.Time),
	}
}

// Learn takes over a newer plan.
func (m *Machine) Learn(plan pimento.Plan) {
	if plan.Epoch <= m.plan.Epoch {
		return
	}
	skipped := plan.Epoch != m.plan.Epoch+1
	m.plan = plan
	m.stale = true
	for id := range m.known {
		m.known[id] = false
	}
	for _, p := range plan.Processes {
		m.known[p.ID] = true
	}
	clear(m.askedAt)
	if skipped {
		m.eachRight(func(r *right) { r.restart(plan.Epoch) })
	}
}

func (m *Machine) eachRight(do func(*right)) {
	for _, r := range m.upstreams {
		do(r)
	}
	for _, r := range m.slices {
		do(r)
	}
}

// Step brings the rights in line with plan and authority.
func (m *Machine) Step(now time.Time, authority Authority) []Effect {
	w := authority.Withdrawn()
	if m.stale || !slices.Equal(w.Processes, m.lastWant.Processes) || !slices.Equal(w.Upstreams, m.lastWant.Upstreams) {
		m.want(now, &w)
		m.lastWant, m.stale = w, false
	}
	valid := now.Before(authority.AuthorityUntil())
	if !valid {
		m.eachRight(func(r *right) {
			if r.pending() {
				r.restart(m.plan.Epoch)
			}
		})
	}
	effects := m.stop(valid)
	if valid {
		m.forgetEnded(authority)
		effects = append(effects, m.take(now, authority)...)
		effects = append(effects, m.ask(now)...)
	}
	return effects
}

// forgetEnded drops unlisted processes whose authority has lapsed.
func (m *Machine) forgetEnded(authority Authority) {
	if !authority.Settled(m.plan.Epoch) {
		return
	}
	for id, listed := range m.known {
		if !listed {
			delete(m.known, id)
		}
	}
}

// want marks which rights the plan gives to this process.
func (m *Machine) want(now time.Time, w *pimento.Withdrawn) {
	m.eachRight(func(r *right) { r.wanted = false })
	for _, d := range m.plan.Upstreams {
		id, rank, ok := m.plan.Dispatcher(d.Upstream, w)
		if ok && id == m.self && !w.HasUpstream(d.Upstream) {
			m.wantRight(now, entry(m.upstreams, d.Upstream), d.Upstream, rank, nil)
		}
	}
	for _, t := range m.plan.Services {
		for i := range t.Slices {
			m.wantSlice(now, t.Service, &t.Slices[i], w)
		}
	}
}

func (m *Machine) wantSlice(now time.Time, service pimento.ServiceName, s *pimento.Slice, w *pimento.Withdrawn) {
	owner, ok := s.Owner(w)
	if !ok {
		return
	}
	up, ok := m.upstreams[owner]
	if !ok || !up.wanted {
		return
	}
	lost := s.Owners[:slices.Index(s.Owners, owner)]
	m.wantRight(now, entry(m.slices, pimento.SliceID{Service: service, Start: s.Start}), owner, up.rank, lost)
}

// entry returns the right under a key, and makes it if there is none.
func entry[K comparable](rights map[K]*right, key K) *right {
	r, ok := rights[key]
	if !ok {
		r = &right{}
		rights[key] = r
	}
	return r
}

func (m *Machine) wantRight(now time.Time, r *right, upstream pimento.UpstreamName, rank int, lost []pimento.UpstreamName) {
	if r.phase == phaseDraining || r.phase == phaseHeld && r.upstream != upstream {
		return // it is taken up again after the drain
	}
	r.wanted = true
	if r.phase == "" || r.upstream != upstream {
		r.phase, r.upstream, r.since = phaseWaiting, upstream, now
		r.restart(m.plan.Epoch)
	}
	r.rank, r.lost = rank, lost
	r.before = m.plan.Dispatchers(upstream)[:rank]
}

// stop ends the use of rights that are not wanted or lack authority.
func (m *Machine) stop(valid bool) []Effect {
	var effects []Effect
	for id, r := range m.slices {
		if r.phase == phaseHeld && !(valid && r.wanted) {
			r.phase = phaseDraining
			effects = append(effects, Effect{Kind: EffectStopSlice, Slice: id, Upstream: r.upstream})
		}
		if r.pending() && !r.wanted {
			delete(m.slices, id)
		}
	}
	for name, r := range m.upstreams {
		if r.phase == phaseHeld && !(valid && r.wanted) {
			r.phase = phaseDraining
			effects = append(effects, Effect{Kind: EffectStopUpstream, Upstream: name})
		}
		if r.phase == phaseWaiting && !r.wanted {
			delete(m.upstreams, name)
		}
	}
	return effects
}

// take takes up every right that nobody else can be using.
func (m *Machine) take(now time.Time, authority Authority) []Effect {
	var effects []Effect
	for name, r := range m.upstreams {
		if r.phase == phaseWaiting && m.isClear(now, r, authority) {
			r.phase = phaseHeld
			effects = append(effects, Effect{Kind: EffectTakeUpstream, Upstream: name, Fence: m.plan.Fence(r.rank)})
		}
	}
	for id, r := range m.slices {
		up, ok := m.upstreams[r.upstream]
		if !r.pending() || !ok || up.phase != phaseHeld || !m.isClear(now, r, authority) {
			continue
		}
		if r.phase == phaseWaiting {
			r.phase, r.round, r.gathered = phaseGathering, m.round+1, make(map[pimento.ProcessID]bool)
			clear(m.askedAt)
		}
		if m.complete(now, r, authority) {
			r.phase = phaseHeld
			effects = append(effects, Effect{Kind: EffectTakeSlice, Slice: id, Upstream: r.upstream})
		}
	}
	return effects
}

// isClear reports whether no other process can be using a right.
func (m *Machine) isClear(now time.Time, r *right, authority Authority) bool {
	for _, name := range r.lost {
		if !authority.Lost(name) {
			return false
		}
	}
	for id, listed := range m.known {
		if id != m.self && !m.isClearOf(now, r, id, listed, authority) {
			return false
		}
	}
	return true
}

func (m *Machine) isClearOf(now time.Time, r *right, id pimento.ProcessID, listed bool, authority Authority) bool {
	if authority.Lapsed(id) {
		return true
	}
	if slices.Contains(r.before, id) {
		return false // it may still take the right up
	}
	if r.free[id] {
		return true
	}
	if !authority.Settled(r.epoch) {
		return false
	}
	silent := now.Sub(r.since) > maxDrain && now.Sub(m.busyAt[id]) > maxDrain
	return !listed || silent
}

// Wanted returns the upstreams that this process has the right to, now or as
// soon as nobody else can be using it.
func (m *Machine) Wanted() []pimento.UpstreamName {
	var out []pimento.UpstreamName
	for name, r := range m.upstreams {
		if r.wanted {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Epoch returns the epoch of the plan in force here.
func (m *Machine) Epoch() uint64 { return m.plan.Epoch }

// Waiting counts the rights that are wanted but not yet held.
func (m *Machine) Waiting() int {
	n := 0
	m.eachRight(func(r *right) {
		if r.pending() {
			n++
		}
	})
	return n
}

// Idle reports whether no right is used or draining.
func (m *Machine) Idle() bool {
	idle := true
	m.eachRight(func(r *right) { idle = idle && !r.inUse() })
	return idle
}
