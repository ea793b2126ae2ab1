// Package keeper carries out the leader's decisions about keys: it grants keys
// to upstreams, renews the grants, and takes keys back before another upstream
// gets them. It is a pure state machine; time, assignments and the results of
// calls come in as arguments, calls to make go out as values.
//
// A range of keys goes to its holder only once nobody else can hold it:
//
//   - its former holder has released it. The release carries the new fence, so
//     that the former holder refuses every older grant that is still on its
//     way; or
//   - the run of the former holder has ended; or
//   - the last grant that may have reached the former holder has run out, and
//     so has any grant of an earlier leader.
//
// The assignment is written to the store before any of that begins, so a later
// leader finds in it whatever may be under way.
//
// # Usage
//
//	m := keeper.New(keeper.DefaultTiming(maxHold))
//	m.Adopt(now, assignment)
//	for _, call := range m.Step(now, in) { ... }
//	m.Granted(now, call, sentAt, result)
//	m.Released(now, call, handover, ok)
package keeper

import (
	"cmp"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Timing holds the intervals of the machine.
type Timing struct {
	Hold   time.Duration // of a grant
	Renew  time.Duration // between two grants
	Retry  time.Duration // after a call that failed
	Lost   time.Duration // without an accepted grant after which a run is given up
	Safety time.Duration // added to the end of a hold
	Drift  float64       // part by which an upstream's clock may run slow
	Answer time.Duration // longest time that a grant waits for its answer
}

// DefaultTiming returns the intervals of the product for the longest hold that
// upstreams accept. A hold spans four renewals, and is long enough for a new
// leader to renew it.
func DefaultTiming(maxHold time.Duration) Timing {
	hold := min(2400*time.Millisecond, maxHold)
	return Timing{
		Hold:   hold,
		Renew:  hold / 4,
		Retry:  150 * time.Millisecond,
		Lost:   hold / 2,
		Safety: 100 * time.Millisecond,
		Drift:  0.02,
		Answer: 600 * time.Millisecond,
	}
}

// lapse returns when a grant has run out that arrived at the given time or
// before.
func (t Timing) lapse(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(t.Hold)*(1+t.Drift)) + t.Safety)
}

// Input is what the machine needs to know of the world at a step.
type Input struct {
	// Authority is the end of this process's authority.
	Authority time.Time
	// Settled is when the authority of every earlier leader has lapsed.
	Settled time.Time
	// Ended reports whether a run has ended for certain.
	Ended func(pimento.Run) bool
	// Known reports whether the address of a run is known.
	Known func(pimento.Run) bool
}

// CallKind says what a call does.
type CallKind string

// The kinds of calls.
const (
	CallGrant   CallKind = "Grant"
	CallRelease CallKind = "Release"
)

// Call is one call to make.
type Call struct {
	Kind    CallKind
	Service pimento.ServiceName
	Run     pimento.Run
	Grant   pimento.KeyGrant // a release uses Range and Fence
}

// Result is how a grant ended.
type Result string

// The results.
const (
	ResultAccepted Result = "Accepted"
	ResultFenced   Result = "Fenced"   // a higher fence was seen
	ResultUnsent   Result = "Unsent"   // it certainly did not arrive
	ResultUnknown  Result = "NoAnswer" // it may have arrived
)

// row is a holding with what is known of it.
type row struct {
	service pimento.ServiceName
	holding pimento.Holding

	// About the former holder.
	freed       bool
	formerUntil time.Time // when the grants of this leader to it have run out
	releasing   bool
	releaseAt   time.Time // not before
	handover    string

	// About the holder.
	granting     bool
	pendingUntil time.Time // when the grant on its way would have run out
	heldUntil    time.Time // when the grants of this leader have run out
	goodUntil    time.Time // until then the holder certainly has the keys
	grantAt      time.Time // not before
	fenced       bool      // the holder has seen a higher fence
}

// runKey names a run in maps.
type runKey struct {
	upstream pimento.UpstreamName
	started  int64 // Unix nanoseconds
}

func keyOf(r pimento.Run) runKey { return runKey{upstream: r.Upstream, started: r.Started.UnixNano()} }

// reach is how well a run is reached.
type reach struct {
	goodAt time.Time // of the last sign of life, or of the first try
	lost   bool
}

// Machine is the state of one leader. It is not safe for concurrent use.
type Machine struct {
	timing Timing
	rows   []*row
	runs   map[runKey]*reach
}

// New returns a machine without keys.
func New(timing Timing) *Machine {
	return &Machine{timing: timing, runs: make(map[runKey]*reach)}
}

// Timing returns the intervals of the machine.
func (m *Machine) Timing() Timing { return m.timing }

// Adopt takes over an assignment that stands in the store and was written or
// read by this leader. What is known of unchanged holdings, and of those that
// were cut into pieces, stays.
func (m *Machine) Adopt(now time.Time, a *pimento.Assignment) {
	var next []*row
	for _, t := range a.Tables {
		for _, h := range t.Holdings {
			next = append(next, m.adoptOne(now, t.Service, h))
		}
	}
	m.rows = next
	m.forgetRuns()
}

// adoptOne returns the row of a holding.
func (m *Machine) adoptOne(now time.Time, service pimento.ServiceName, h pimento.Holding) *row {
	for _, r := range m.rows {
		if r.service != service || !r.holding.Overlaps(h.KeyRange) {
			continue
		}
		if r.holding.Fence == h.Fence {
			piece := *r
			piece.holding = h
			piece.freed = r.freed || h.Former.IsZero()
			return &piece
		}
		next := &row{service: service, holding: h, freed: h.Former.IsZero(), grantAt: now}
		if r.holding.Holder.Same(h.Former) {
			next.formerUntil = later(r.heldUntil, r.pendingUntil)
		}
		return next
	}
	return &row{service: service, holding: h, freed: h.Former.IsZero(), grantAt: now}
}

// forgetRuns drops runs that no row names.
func (m *Machine) forgetRuns() {
	named := make(map[runKey]bool)
	for _, r := range m.rows {
		named[keyOf(r.holding.Holder)] = true
		named[keyOf(r.holding.Former)] = true
	}
	for k := range m.runs {
		if !named[k] {
			delete(m.runs, k)
		}
	}
}

func (m *Machine) run(now time.Time, r pimento.Run) *reach {
	k := keyOf(r)
	x, ok := m.runs[k]
	if !ok {
		x = &reach{goodAt: now}
		m.runs[k] = x
	}
	return x
}

// Step returns the calls that are due.
func (m *Machine) Step(now time.Time, in Input) []Call {
	var calls []Call
	able := now.Before(in.Authority)
	for _, r := range m.rows {
		m.free(now, r, in)
		if !able {
			continue
		}
		if c, due := m.release(now, r, in); due {
			calls = append(calls, c)
		}
		if c, due := m.grant(now, r, in); due {
			calls = append(calls, c)
		}
	}
	return calls
}

// free notes that the former holder of a row cannot hold its keys any more.
func (m *Machine) free(now time.Time, r *row, in Input) {
	if r.freed {
		return
	}
	earlier := m.timing.lapse(in.Settled)
	lapsed := now.After(r.formerUntil) && now.After(earlier)
	if lapsed || in.Ended(r.holding.Former) {
		r.freed = true
	}
}

// release returns the call that takes a row's keys back.
func (m *Machine) release(now time.Time, r *row, in Input) (Call, bool) {
	if r.freed || r.releasing || now.Before(r.releaseAt) || !in.Known(r.holding.Former) {
		return Call{}, false
	}
	r.releasing = true
	return Call{
		Kind: CallRelease, Service: r.service, Run: r.holding.Former,
		Grant: pimento.KeyGrant{Range: r.holding.KeyRange, Fence: r.holding.Fence},
	}, true
}

// grant returns the call that gives a row's keys to its holder.
func (m *Machine) grant(now time.Time, r *row, in Input) (Call, bool) {
	h := r.holding
	if !r.freed || r.granting || h.Holder.IsZero() || now.Before(r.grantAt) || !in.Known(h.Holder) || in.Ended(h.Holder) {
		return Call{}, false
	}
	if m.run(now, h.Holder).lost {
		return Call{}, false
	}
	r.granting = true
	return Call{
		Kind: CallGrant, Service: r.service, Run: h.Holder,
		Grant: pimento.KeyGrant{Range: h.KeyRange, Fence: h.Fence, Hold: m.timing.Hold, Handover: r.handover},
	}, true
}

// find returns the rows that the keys of a call are in, as long as they have
// not gone on to another holder.
func (m *Machine) find(c Call) []*row {
	var out []*row
	for _, r := range m.rows {
		if r.service == c.Service && r.holding.Fence == c.Grant.Fence && r.holding.Overlaps(c.Grant.Range) {
			out = append(out, r)
		}
	}
	return out
}

// Sending says that a grant is about to be sent, and reports whether it still
// should be: its keys, or some of them, may have gone on since the call was
// asked for.
func (m *Machine) Sending(now time.Time, c Call) bool {
	for _, r := range m.find(c) {
		if r.granting && r.holding.KeyRange == c.Grant.Range && r.holding.Holder.Same(c.Run) {
			r.pendingUntil = m.timing.lapse(now.Add(m.timing.Answer))
			return true
		}
	}
	return false
}

// Granted takes the result of a grant that was sent at sentAt. The keys may
// have gone on meanwhile to a row whose former holder is the one that was
// granted.
func (m *Machine) Granted(now, sentAt time.Time, c Call, result Result) {
	m.noteReach(now, c.Run, result)
	arrived := result != ResultUnsent && result != ResultFenced
	for _, r := range m.rows {
		if r.service != c.Service || !r.holding.Overlaps(c.Grant.Range) {
			continue
		}
		if arrived && r.holding.Former.Same(c.Run) {
			r.formerUntil = later(r.formerUntil, m.timing.lapse(now))
		}
		if r.holding.Fence == c.Grant.Fence {
			m.noteGrant(now, sentAt, r, result, arrived)
		}
	}
}

// noteGrant records the result of a grant of a row's keys to its holder.
func (m *Machine) noteGrant(now, sentAt time.Time, r *row, result Result, arrived bool) {
	r.granting = false
	r.pendingUntil = time.Time{}
	r.fenced = result == ResultFenced
	if arrived {
		r.heldUntil = later(r.heldUntil, m.timing.lapse(now))
	}
	if result != ResultAccepted {
		r.grantAt = now.Add(m.timing.Retry)
		return
	}
	r.goodUntil = sentAt.Add(m.timing.Hold)
	r.handover = ""
	r.grantAt = sentAt.Add(m.timing.Renew)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteReach records whether a run answers.
func (m *Machine) noteReach(now time.Time, run pimento.Run, result Result) {
	x := m.run(now, run)
	switch result {
	case ResultAccepted, ResultFenced:
		x.goodAt, x.lost = now, false
	case ResultUnknown:
		// A grant without an answer lengthens the wait for its end, so no more
		// are sent to a run that is silent.
		if now.Sub(x.goodAt) > m.timing.Renew {
			x.lost = true
		}
	default:
		x.lost = x.lost || now.Sub(x.goodAt) > m.timing.Lost
	}
}

// Reached says that a run that was given up answers again.
func (m *Machine) Reached(now time.Time, run pimento.Run) {
	x := m.run(now, run)
	x.goodAt, x.lost = now, false
}

// Released takes the result of a release. ok means that the former holder has
// answered that it holds the keys no more.
func (m *Machine) Released(now time.Time, c Call, handover string, ok bool) {
	for _, r := range m.find(c) {
		r.releasing = false
		if ok {
			r.freed = true
			r.handover = handover
			r.grantAt = now
		} else {
			r.releaseAt = now.Add(m.timing.Retry)
		}
	}
}

// State is what is known of a holding.
type State struct {
	Service pimento.ServiceName
	pimento.Holding
	// Ready means that the holder has the keys and is reached.
	Ready bool
	// Freed means that nobody but the holder can have the keys, so the holding
	// may go on to another.
	Freed bool
	// Lost means that the holder has been given up or has ended.
	Lost bool
	// Fenced means that the holder has seen a higher fence than this one.
	Fenced bool
	// LapsesAt is when the holder cannot have the keys any more, if no further
	// grant is sent.
	LapsesAt time.Time
}

// States returns all holdings in order of service and key.
func (m *Machine) States(now time.Time, in Input) []State {
	out := make([]State, 0, len(m.rows))
	for _, r := range m.rows {
		h := r.holding
		ended := in.Ended(h.Holder)
		x, known := m.runs[keyOf(h.Holder)]
		s := State{
			Service: r.service, Holding: h, Freed: r.freed,
			Ready: r.freed && !ended && now.Before(r.goodUntil),
			Lost:  ended || known && x.lost, Fenced: r.fenced,
		}
		s.LapsesAt = later(later(r.heldUntil, r.pendingUntil), m.timing.lapse(in.Settled))
		if ended || h.Holder.IsZero() {
			s.LapsesAt = time.Time{}
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return out
}

// LostRuns returns the runs that were given up and are named by a row, so that
// they can be probed.
func (m *Machine) LostRuns() []pimento.Run {
	var out []pimento.Run
	for _, r := range m.rows {
		if x, ok := m.runs[keyOf(r.holding.Holder)]; ok && x.lost && !slices.ContainsFunc(out, r.holding.Holder.Same) {
			out = append(out, r.holding.Holder)
		}
	}
	return out
}

// Settled reports which holdings name a former holder that cannot hold them
// any more, so that the assignment may drop it.
func (m *Machine) Settled(service pimento.ServiceName, h pimento.Holding) bool {
	for _, r := range m.rows {
		if r.service == service && r.holding.Fence == h.Fence && r.holding.From == h.From {
			return r.freed
		}
	}
	return false
}
