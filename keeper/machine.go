// Package keeper carries out the leader's decisions about keys: it grants keys
// to upstreams, renews the grants, and takes keys back before another upstream
// gets them. It is a pure state machine: time, assignments and the results of
// calls are arguments, and the calls to make are return values.
//
// A range of keys is granted to its holder only once nobody else can hold it:
//
//   - its former holder, or the next run of that upstream, has released it. The
//     release carries the new fence, so that it refuses every older grant that is
//     still in flight; or
//   - the last grant that may have reached the former holder has expired, and
//     so has any grant of an earlier leader.
//
// Where the assignment was restored from a copy, former holders are not known, nor all
// earlier leaders. Then keys are granted once every upstream of the service has released all
// of its keys under a fence above those of all earlier leaders, or, if one does not answer,
// once the grants of any earlier leader have expired.
//
// The assignment is written to the store before any of these calls is made, so
// a later leader finds in it every move that may be in progress.
//
// # Usage
//
//	m := keeper.New(keeper.DefaultTiming(maxHold))
//	m.Adopt(now, assignment)
//	for _, call := range m.Step(now, in) { ... }
//	m.HandleGrantResult(now, sentAt, call, result)
//	m.HandleReleaseResult(now, call, handover, ok)
package keeper

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Timing holds the intervals of the machine.
type Timing struct {
	Hold  time.Duration // of a grant
	Renew time.Duration // between two grants of the same keys
	Retry time.Duration // after a failed call
	// LostAfter is the time since the last contact after which a run counts as
	// lost if a grant cannot be sent to it.
	LostAfter     time.Duration
	Safety        time.Duration // margin added to the end of a hold
	Drift         float64       // fraction by which an upstream's clock may run slow
	AnswerTimeout time.Duration // timeout of a grant
}

// DefaultTiming returns the default intervals; maxHold is the longest hold that
// upstreams accept. A hold spans four renewals, and is long enough for a new
// leader to renew it.
func DefaultTiming(maxHold time.Duration) Timing {
	hold := min(2400*time.Millisecond, maxHold)
	return Timing{
		Hold:          hold,
		Renew:         hold / 4,
		Retry:         150 * time.Millisecond,
		LostAfter:     hold / 2,
		Safety:        100 * time.Millisecond,
		Drift:         0.02,
		AnswerTimeout: 600 * time.Millisecond,
	}
}

// expiry returns when a grant that arrived at the given time or earlier has
// expired, also on a clock that runs slow by Drift.
func (t Timing) expiry(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(t.Hold)*(1+t.Drift)) + t.Safety)
}

// earlierExpiry returns when every grant of an earlier leader has expired. The last one
// was sent before that leader's authority lapsed, and may have been under way for
// AnswerTimeout.
func (t Timing) earlierExpiry(in Input) time.Time {
	return t.expiry(in.Settled.Add(t.AnswerTimeout))
}

// Input is the external state that a step depends on.
type Input struct {
	// Authority is the end of this process's authority.
	Authority time.Time
	// Settled is when the authority of every earlier leader has lapsed.
	Settled time.Time
	// Upstreams returns the runs that may have keys of a service by grants of leaders that
	// are not known, false while not all of them are known. It may be nil: they never are.
	Upstreams func(pimento.ServiceName) ([]pimento.Run, bool)
	// Ended reports whether a run has ended for certain.
	Ended func(pimento.Run) bool
	// AddressKnown reports whether the address of a run is known.
	AddressKnown func(pimento.Run) bool
	// UpstreamKnown reports whether the address of the latest run of an upstream is
	// known. It has the keys of an earlier run if it took a grant that was meant for it.
	UpstreamKnown func(pimento.UpstreamName) bool
}

// CallKind is the kind of a call.
type CallKind string

// The kinds of calls.
const (
	CallGrant   CallKind = "Grant"
	CallRelease CallKind = "Release"
	CallRevoke  CallKind = "Revoke" // a release of all keys of the service
)

// Call is a call that is due to an upstream.
type Call struct {
	Kind    CallKind
	Service pimento.ServiceName
	Run     pimento.Run
	Grant   pimento.KeyGrant // a release and a revocation use Range and Fence
	// ValidUntil is until when the holder certainly has the keys of a grant; zero: it
	// does not have them yet.
	ValidUntil time.Time
}

// Result is the result of a grant.
type Result string

// The results.
const (
	ResultAccepted Result = "Accepted"
	ResultFenced   Result = "Fenced"   // refused: the upstream has seen a higher fence
	ResultUnsent   Result = "Unsent"   // certainly did not arrive
	ResultWithheld Result = "Withheld" // this process did not send it, whatever the upstream does
	ResultUnknown  Result = "NoAnswer" // may have arrived
)

// row is a holding with the state of its release and its grants.
type row struct {
	service pimento.ServiceName
	holding pimento.Holding

	// Runs that are neither the holder nor the former holder.
	othersMayHoldUntil time.Time // when the grants of this leader to them have expired

	// The former holder.
	freed              bool          // it cannot have the keys any more
	formerMayHoldUntil time.Time     // when the grants of this leader to it have expired
	formerGrants       []pimento.Run // its upstream's runs to which a grant is under way
	unseen             pimento.Run   // a former holder that may not have seen the fence; zero: none
	releasing          bool
	releaseAt          time.Time // time of the next release at the earliest
	handover           string

	// The holder.
	granting      bool
	pendingExpiry time.Time // when the grant in flight has expired, should it arrive
	mayHoldUntil  time.Time // when the grants of this leader to it have expired
	validUntil    time.Time // until then the holder certainly has the keys
	grantAt       time.Time // time of the next grant at the earliest
	fenced        bool      // the holder has seen a higher fence
}

// runKey identifies a run in maps.
type runKey struct {
	upstream pimento.UpstreamName
	started  int64 // Unix nanoseconds
}

func keyOf(r pimento.Run) runKey { return runKey{upstream: r.Upstream, started: r.Started.UnixNano()} }

// reachability says whether a run answers.
type reachability struct {
	contactAt time.Time // of the last contact, or of the first use of the run
	failing   bool      // a grant has failed since
	lost      bool
}

// contact records that the run answers.
func (r *reachability) contact(now time.Time) { *r = reachability{contactAt: now} }

// Machine is the grant state of one leader. It is not safe for concurrent use.
type Machine struct {
	timing      Timing
	rows        []*row
	runs        map[runKey]*reachability
	revocations revocations
}

// New returns a machine without keys.
func New(timing Timing) *Machine {
	return &Machine{timing: timing, runs: make(map[runKey]*reachability)}
}

// Timing returns the intervals of the machine.
func (m *Machine) Timing() Timing { return m.timing }

// Adopt replaces the assignment by one that is stored and was written or read by
// this leader. Holdings with an unchanged fence, also pieces of a split holding,
// keep their state.
func (m *Machine) Adopt(now time.Time, a *pimento.Assignment) {
	m.revocations.adopt(a)
	var next []*row
	for _, t := range a.Tables {
		for _, h := range t.Holdings {
			next = append(next, m.adoptHolding(now, t.Service, h, a.Restored))
		}
	}
	slices.SortStableFunc(next, compareRows)
	m.rows = next
	m.pruneRuns()
}

// compareRows orders rows by service and key.
func compareRows(a, b *row) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.holding.From, b.holding.From))
}

// overlapping returns the rows of a service whose ranges overlap a range.
func (m *Machine) overlapping(service pimento.ServiceName, keys pimento.KeyRange) []*row {
	first, _ := slices.BinarySearchFunc(m.rows, keys.From, func(r *row, from pimento.Key) int {
		if c := cmp.Compare(r.service, service); c != 0 {
			return c
		}
		if r.holding.To < from {
			return -1
		}
		return 1
	})
	end := first
	for end < len(m.rows) && m.rows[end].service == service && m.rows[end].holding.From <= keys.To {
		end++
	}
	return m.rows[first:end]
}

// adoptHolding returns the row of a holding. It keeps the state of the present
// row if the fence is the same, and knows until when other holders of its keys may
// have them. If the assignment was restored from a copy, a holder that it does not
// name may still have the keys.
func (m *Machine) adoptHolding(now time.Time, service pimento.ServiceName, h pimento.Holding, restored bool) *row {
	free := h.Former.IsZero() && (!restored || m.Revoked(service))
	next := &row{service: service, holding: h, freed: free, grantAt: now}
	before := m.overlapping(service, h.KeyRange)
	for _, r := range before {
		if r.holding.Fence == h.Fence {
			piece := *r
			piece.holding = h
			piece.freed = r.freed || free
			next = &piece
		}
	}
	for _, r := range before {
		if r.holding.Fence != h.Fence {
			next.noteHolder(r.holding.Holder, later(r.mayHoldUntil, r.pendingExpiry))
			next.formerGrants = slices.Concat(next.formerGrants, r.grantsUnderWayTo(h.Former.Upstream))
			if !r.freed {
				next.noteHolder(r.holding.Former, r.formerMayHoldUntil)
			}
			next.othersMayHoldUntil = later(next.othersMayHoldUntil, r.othersMayHoldUntil)
		}
	}
	if free && !slices.ContainsFunc(before, func(r *row) bool { return r.holding.Fence == h.Fence }) {
		next.validUntil = joinedValidUntil(before, h)
	}
	return next
}

// joinedValidUntil returns until when the holder of ranges that are joined certainly has all
// of their keys, zero if it does not.
func joinedValidUntil(pieces []*row, joined pimento.Holding) time.Time {
	var until time.Time
	keys := 0
	for _, r := range pieces {
		if !r.freed || !r.holding.Holder.Same(joined.Holder) || !joined.Contains(r.holding.From) || !joined.Contains(r.holding.To) {
			return time.Time{}
		}
		if keys == 0 || r.validUntil.Before(until) {
			until = r.validUntil
		}
		keys += r.holding.Len()
	}
	if keys != joined.Len() {
		return time.Time{}
	}
	return until
}

// grantsUnderWayTo returns the runs of an upstream to which a grant of a row's keys is under
// way.
func (r *row) grantsUnderWayTo(name pimento.UpstreamName) []pimento.Run {
	var runs []pimento.Run
	if r.granting && !r.pendingExpiry.IsZero() && r.holding.Holder.Upstream == name {
		runs = append(runs, r.holding.Holder)
	}
	if r.holding.Former.Upstream == name {
		runs = append(runs, r.formerGrants...)
	}
	return runs
}

// noteHolder notes until when an upstream may have keys of a row by the grants of this
// leader to one of its runs. The next run may have taken what was sent to the run before.
func (r *row) noteHolder(run pimento.Run, until time.Time) {
	holder, former := r.holding.Holder, r.holding.Former
	switch {
	case run.Same(former) && !run.Same(holder) && !r.freed: // also if it is an earlier run of the holder
		r.formerMayHoldUntil = later(r.formerMayHoldUntil, until)
	case run.Upstream == holder.Upstream:
		r.mayHoldUntil = later(r.mayHoldUntil, until)
	case run.Upstream == former.Upstream:
		r.formerMayHoldUntil = later(r.formerMayHoldUntil, until)
	default:
		r.othersMayHoldUntil = later(r.othersMayHoldUntil, until)
	}
}

// endFormerGrant records that no grant to a former run is under way any more.
func (r *row) endFormerGrant(run pimento.Run) {
	// Rows that were split share the list.
	r.formerGrants = slices.DeleteFunc(slices.Clone(r.formerGrants), run.Same)
}

// concerns reports whether an upstream is the holder or the former holder of a row.
func (r *row) concerns(name pimento.UpstreamName) bool {
	return r.holding.Holder.Upstream == name || r.holding.Former.Upstream == name
}

// isFree reports whether nobody but the holder can have the keys of a row.
func (r *row) isFree(now time.Time) bool { return r.freed && !now.Before(r.othersMayHoldUntil) }

// pruneRuns deletes the reachability of runs that no row refers to.
func (m *Machine) pruneRuns() {
	inUse := make(map[runKey]bool)
	for _, r := range m.rows {
		inUse[keyOf(r.holding.Holder)] = true
		inUse[keyOf(r.holding.Former)] = true
		inUse[keyOf(r.unseen)] = true
	}
	for k := range m.runs {
		if !inUse[k] {
			delete(m.runs, k)
		}
	}
}

// reachabilityOf returns the reachability of a run; a run that is not known yet
// counts as contacted now.
func (m *Machine) reachabilityOf(now time.Time, r pimento.Run) *reachability {
	k := keyOf(r)
	reach, ok := m.runs[k]
	if !ok {
		reach = &reachability{contactAt: now}
		m.runs[k] = reach
	}
	return reach
}

// Len returns the number of holdings.
func (m *Machine) Len() int { return len(m.rows) }

// Step returns the calls that are due.
func (m *Machine) Step(now time.Time, in Input) []Call {
	var calls []Call
	authorized := now.Before(in.Authority)
	if authorized {
		calls = m.dueRevocations(now, in)
	}
	for _, r := range m.rows {
		m.updateFreed(now, r, in)
		if !authorized {
			continue
		}
		if c, due := m.dueRelease(now, r, in); due {
			calls = append(calls, c)
		}
		if c, due := m.dueGrant(now, r, in); due {
			calls = append(calls, c)
		}
	}
	return calls
}

// updateFreed marks a row as freed once all grants to its former holder have expired, or
// that was an earlier run of the holder's upstream. That a run has ended frees no other
// row: the next run may have taken a grant that was meant for it.
func (m *Machine) updateFreed(now time.Time, r *row, in Input) {
	if r.freed {
		return
	}
	h := r.holding
	lapsed := now.After(r.formerMayHoldUntil) && (m.Revoked(r.service) || m.EarlierGrantsExpired(now, in))
	startedAgain := h.Holder.Upstream == h.Former.Upstream && in.Ended(h.Former)
	if lapsed || startedAgain {
		r.freed = true
	}
	if startedAgain {
		r.mayHoldUntil = later(r.mayHoldUntil, r.formerMayHoldUntil)
	}
	if lapsed && h.Holder.Upstream != h.Former.Upstream {
		r.unseen = h.Former
	}
}

// EarlierGrantsExpired reports whether every grant of an earlier leader has expired.
func (m *Machine) EarlierGrantsExpired(now time.Time, in Input) bool {
	return now.After(m.timing.earlierExpiry(in))
}

// dueRelease returns the call that takes a row's keys back, if it is due.
func (m *Machine) dueRelease(now time.Time, r *row, in Input) (Call, bool) {
	from := r.holding.Former
	if r.freed {
		from = r.unseen
	}
	if from.IsZero() || r.releasing || len(r.formerGrants) > 0 || now.Before(r.releaseAt) || !in.UpstreamKnown(from.Upstream) {
		return Call{}, false
	}
	if r.freed && (in.Ended(from) || m.reachabilityOf(now, from).lost) {
		return Call{}, false
	}
	r.releasing = true
	return Call{
		Kind: CallRelease, Service: r.service, Run: from,
		Grant: pimento.KeyGrant{Range: r.holding.KeyRange, Fence: r.holding.Fence},
	}, true
}

// dueGrant returns the call that grants a row's keys to its holder, if it is due.
func (m *Machine) dueGrant(now time.Time, r *row, in Input) (Call, bool) {
	h := r.holding
	if !r.isFree(now) || r.granting || h.Holder.IsZero() || now.Before(r.grantAt) || !in.AddressKnown(h.Holder) || in.Ended(h.Holder) {
		return Call{}, false
	}
	if m.reachabilityOf(now, h.Holder).lost {
		return Call{}, false
	}
	r.granting = true
	return Call{
		Kind: CallGrant, Service: r.service, Run: h.Holder,
		Grant:      pimento.KeyGrant{Range: h.KeyRange, Fence: h.Fence, Hold: m.timing.Hold, Handover: r.handover},
		ValidUntil: r.validUntil,
	}, true
}

// rowsFor returns the rows of the keys of a call, without those whose keys have
// since moved to another holder.
func (m *Machine) rowsFor(c Call) []*row {
	var out []*row
	for _, r := range m.overlapping(c.Service, c.Grant.Range) {
		if r.holding.Fence == c.Grant.Fence {
			out = append(out, r)
		}
	}
	return out
}

// BeginGrant records that a grant is about to be sent. It returns false if the
// grant must not be sent, since all or some of its keys have moved to another
// holder after Step returned the call.
func (m *Machine) BeginGrant(now time.Time, c Call) bool {
	for _, r := range m.rowsFor(c) {
		if r.granting && r.holding.KeyRange == c.Grant.Range && r.holding.Holder.Same(c.Run) {
			r.pendingExpiry = m.timing.expiry(now.Add(m.timing.AnswerTimeout))
			return true
		}
	}
	return false
}

// IsCurrent reports whether the keys of a grant are still to go to its run under its fence.
func (m *Machine) IsCurrent(c Call) bool {
	return slices.ContainsFunc(m.rowsFor(c), func(r *row) bool {
		return r.holding.KeyRange == c.Grant.Range && r.holding.Holder.Same(c.Run)
	})
}

// HandleGrantResult handles the result of a grant that was sent at sentAt. The
// keys may have moved since: then the run of the call is the former holder of
// their row.
func (m *Machine) HandleGrantResult(now, sentAt time.Time, c Call, result Result) {
	m.updateReachability(now, sentAt, c.Run, result)
	// A fenced grant was refused, so it does not extend the hold.
	mayHaveArrived := result == ResultAccepted || result == ResultUnknown
	for _, r := range m.overlapping(c.Service, c.Grant.Range) {
		r.endFormerGrant(c.Run)
		if mayHaveArrived && r.concerns(c.Run.Upstream) {
			r.noteHolder(c.Run, m.timing.expiry(now))
		}
		if r.holding.Fence == c.Grant.Fence {
			m.recordGrantResult(now, sentAt, r, result, mayHaveArrived)
		}
	}
}

// recordGrantResult records the result of a grant of a row's keys to its holder.
func (m *Machine) recordGrantResult(now, sentAt time.Time, r *row, result Result, mayHaveArrived bool) {
	r.granting = false
	r.pendingExpiry = time.Time{}
	if result != ResultWithheld {
		r.fenced = result == ResultFenced
	}
	if mayHaveArrived {
		r.mayHoldUntil = later(r.mayHoldUntil, m.timing.expiry(now))
	}
	if result != ResultAccepted {
		r.grantAt = now.Add(m.timing.Retry)
		return
	}
	r.validUntil = sentAt.Add(m.timing.Hold)
	r.handover = ""
	r.grantAt = sentAt.Add(m.timing.Renew)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateReachability updates the reachability of a run by the result of a grant that was
// sent at sentAt. The time before the first grant that fails counts as silence for as long
// as grants are apart: in what lies before, nothing was sent.
func (m *Machine) updateReachability(now, sentAt time.Time, run pimento.Run, result Result) {
	if result == ResultWithheld {
		return
	}
	reach := m.reachabilityOf(now, run)
	if result == ResultAccepted || result == ResultFenced {
		reach.contact(now)
		return
	}
	if !reach.failing {
		reach.failing = true
		reach.contactAt = later(reach.contactAt, sentAt.Add(-m.timing.Renew))
	}
	silence := now.Sub(reach.contactAt)
	if result == ResultUnknown {
		// Each grant without an answer postpones the time when its keys can move,
		// so no more are sent to a run that does not answer.
		reach.lost = reach.lost || silence > m.timing.Renew
		return
	}
	reach.lost = reach.lost || silence > m.timing.LostAfter
}

// MarkReachable records that a lost run answers again.
func (m *Machine) MarkReachable(now time.Time, run pimento.Run) {
	m.reachabilityOf(now, run).contact(now)
}

// HandleReleaseResult handles the result of a release or a revocation. ok means that the
// upstream has confirmed that it no longer holds the keys.
func (m *Machine) HandleReleaseResult(now time.Time, c Call, handover string, ok bool) {
	if c.Kind == CallRevoke {
		m.revocations.record(now, c, ok, m.timing.Retry)
		return
	}
	for _, r := range m.rowsFor(c) {
		r.releasing = false
		if ok {
			r.unseen = pimento.Run{}
			if !r.freed {
				r.freed, r.handover, r.grantAt = true, handover, now
			}
		} else {
			r.releaseAt = now.Add(m.timing.Retry)
		}
	}
}

// State is the known state of a holding.
type State struct {
	Service pimento.ServiceName
	pimento.Holding
	// Ready means that the holder certainly has the keys and has not ended.
	Ready bool
	// Freed means that nobody but the holder can have the keys, so they may move
	// to another holder.
	Freed bool
	// Lost means that the holder does not answer or has ended.
	Lost bool
	// Fenced means that the holder has seen a higher fence than this one.
	Fenced bool
	// LapsesAt is when every grant to the holder, also of an earlier leader, has
	// expired if no further one is sent; zero if the holder has ended or there is none.
	LapsesAt time.Time
}

// States returns the states of all holdings in order of service and key.
func (m *Machine) States(now time.Time, in Input) []State {
	return slices.AppendSeq(make([]State, 0, len(m.rows)), m.All(now, in))
}

// All returns the states of all holdings, one by one, in order of service and key.
func (m *Machine) All(now time.Time, in Input) iter.Seq[State] {
	return func(yield func(State) bool) {
		for _, r := range m.rows {
			if !yield(m.state(now, r, in)) {
				return
			}
		}
	}
}

// state returns the state of a row.
func (m *Machine) state(now time.Time, r *row, in Input) State {
	h := r.holding
	ended := in.Ended(h.Holder)
	free := r.isFree(now)
	reach, known := m.runs[keyOf(h.Holder)]
	s := State{
		Service: r.service, Holding: h, Freed: free,
		Ready: free && !ended && now.Before(r.validUntil),
		Lost:  ended || known && reach.lost, Fenced: r.fenced,
	}
	if !ended && !h.Holder.IsZero() {
		s.LapsesAt = later(r.mayHoldUntil, r.pendingExpiry)
		if !m.Revoked(r.service) {
			s.LapsesAt = later(s.LapsesAt, m.timing.earlierExpiry(in))
		}
	}
	return s
}

// LostRuns returns the holders that do not answer, so that they can be probed.
func (m *Machine) LostRuns() []pimento.Run {
	var out []pimento.Run
	if !m.anyLost() {
		return nil
	}
	for _, r := range m.rows {
		if reach, ok := m.runs[keyOf(r.holding.Holder)]; ok && reach.lost && !slices.ContainsFunc(out, r.holding.Holder.Same) {
			out = append(out, r.holding.Holder)
		}
	}
	return out
}

func (m *Machine) anyLost() bool {
	for _, reach := range m.runs {
		if reach.lost {
			return true
		}
	}
	return false
}

// MayJoin reports whether the keys of a holding may be granted together with others of its
// holder, under a new fence: it certainly has them, and nobody else can have them or has
// missed the fence of the holding.
func (m *Machine) MayJoin(now time.Time, in Input, service pimento.ServiceName, h pimento.Holding) bool {
	for _, r := range m.overlapping(service, h.KeyRange) {
		if r.holding.Fence != h.Fence || r.holding.KeyRange != h.KeyRange {
			continue
		}
		s := m.state(now, r, in)
		return s.Ready && !s.Lost && !s.Fenced && r.holding.Former.IsZero() && r.unseen.IsZero()
	}
	return false
}

// FormerCleared reports whether the former holder of a holding cannot hold its
// keys any more, so that the assignment may drop it.
func (m *Machine) FormerCleared(service pimento.ServiceName, h pimento.Holding) bool {
	for _, r := range m.overlapping(service, h.KeyRange) {
		if r.holding.Fence == h.Fence && r.holding.From == h.From {
			return r.freed
		}
	}
	return false
}
