package keeper

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

var (
	randomFirst = flag.Uint64("keeper.first", 1, "first seed of the random worlds")
	randomSeeds = flag.Uint64("keeper.seeds", 40, "number of seeds of the random worlds")
)

const (
	worldCells     = 16 // parts of the keys that are moved as a whole
	worldUpstreams = 4
	worldSpan      = 40 * time.Second
	worldTick      = 10 * time.Millisecond
	// settling is the time from the beginning of a term to the end of earlier authority.
	settling = 930 * time.Millisecond
	// unknownSettling is the same if earlier terms may not be known.
	unknownSettling = 20960 * time.Millisecond
	// longestWay is how long after the last check a grant may arrive.
	longestWay = 90 * time.Millisecond
	// longestLateness is how long after its arrival an upstream may carry out a call.
	longestLateness = 12 * time.Second
	// longestLoopDelay is how long a result waits for a slow leader.
	longestLoopDelay = 600 * time.Millisecond
)

// worldUpstream is an upstream as it sees its grants.
type worldUpstream struct {
	run       pimento.Run
	cut       bool // no new call reaches it
	fences    [worldCells]uint64
	held      [worldCells]uint64 // fence of the grant
	heldUntil [worldCells]time.Time
	taken     [worldCells]uint64 // highest fence of a grant in any run
}

// worldLeader is a leader with its machine.
type worldLeader struct {
	m         *Machine
	authority time.Time // zero: until the next leader
	settled   time.Time
	writing   bool
}

// worldEvent is something that happens at a time.
type worldEvent struct {
	at time.Time
	do func()
}

// world is a simulation of leaders, one after the other, and upstreams on virtual time.
type world struct {
	rng        *rand.Rand
	now        time.Time
	events     []worldEvent
	upstreams  []*worldUpstream
	leaders    []*worldLeader
	stored     pimento.Assignment
	copies     []pimento.Assignment // earlier ones
	epoch      uint64
	reachNext  bool // a call that is under way reaches the next run of its upstream
	losesTerms bool // a leader may not know the one before, which goes on
	violations []string
	joins      int
}

func newWorld(seed uint64, reachNext, losesTerms bool) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: t0, reachNext: reachNext, losesTerms: losesTerms}
	for i := range worldUpstreams {
		w.upstreams = append(w.upstreams, &worldUpstream{run: pimento.Run{Upstream: pimento.UpstreamName(fmt.Sprint("u", i)), Started: t0}})
	}
	w.stored = pimento.Assignment{NextFence: 1, Tables: []pimento.Table{{Service: service, Holdings: []pimento.Holding{{KeyRange: pimento.AllKeys}}}}}
	w.beginTerm(false)
	return w
}

// within returns a random time below d.
func (w *world) within(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, worldEvent{at: w.now.Add(d), do: do})
}

// beginTerm replaces the leader. The one before keeps its authority for a while.
func (w *world) beginTerm(restored bool) {
	settles := settling
	restored = restored && len(w.copies) > 0
	if w.losesTerms && (restored || w.stored.Restored) {
		settles = unknownSettling
	}
	if n := len(w.leaders); n > 0 {
		w.leaders[n-1].authority = w.now.Add(w.within(settles - 30*time.Millisecond))
	}
	w.epoch++
	if restored {
		w.stored = w.copies[w.rng.IntN(len(w.copies))].Clone()
	}
	w.stored.Term.Epoch = w.epoch
	if restored || w.losesTerms && w.stored.Restored {
		w.stored.RestoreFromCopy()
	}
	l := &worldLeader{m: New(DefaultTiming(10 * time.Second)), settled: w.now.Add(settles)}
	next := w.stored.Clone()
	l.m.Adopt(w.now, &next)
	w.leaders = append(w.leaders, l)
}

func (w *world) upstream(name pimento.UpstreamName) *worldUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *worldUpstream) bool { return u.run.Upstream == name })
	return w.upstreams[i]
}

func (w *world) input(l *worldLeader) Input {
	authority := l.authority
	if authority.IsZero() {
		authority = w.now.Add(900 * time.Millisecond)
	}
	known := func(r pimento.Run) bool { return !r.IsZero() && w.upstream(r.Upstream).run.Same(r) }
	var runs []pimento.Run
	for _, u := range w.upstreams {
		runs = append(runs, u.run)
	}
	return Input{
		Authority: authority, Settled: l.settled,
		Upstreams:     func(pimento.ServiceName) ([]pimento.Run, bool) { return runs, w.losesTerms },
		Ended:         func(r pimento.Run) bool { return !r.IsZero() && !known(r) },
		AddressKnown:  known,
		UpstreamKnown: func(name pimento.UpstreamName) bool { return name != "" },
	}
}

// cells returns the first and the last cell of a range.
func cells(r pimento.KeyRange) (int, int) {
	const size = (int(pimento.MaxKey) + 1) / worldCells
	return int(r.From) / size, int(r.To) / size
}

// keysOf returns the range of some cells.
func keysOf(from, to int) pimento.KeyRange {
	const size = (int(pimento.MaxKey) + 1) / worldCells
	return pimento.KeyRange{From: pimento.Key(from * size), To: pimento.Key((to+1)*size - 1)}
}

// take carries out a grant that arrived at a time, and reports whether it is refused.
func (w *world) take(u *worldUpstream, g pimento.KeyGrant, arrivedAt time.Time) (refused bool) {
	from, to := cells(g.Range)
	for c := from; c <= to; c++ {
		if u.fences[c] > g.Fence {
			return true
		}
	}
	until := arrivedAt.Add(g.Hold + g.Hold/50)
	if !w.now.Before(until) {
		return false
	}
	for c := from; c <= to; c++ {
		for _, o := range w.upstreams {
			if o != u && (w.now.Before(o.heldUntil[c]) || o.taken[c] >= g.Fence) {
				w.violations = append(w.violations, fmt.Sprintf("%v: %s takes part %d with fence %d, %s had it with fence %d, holds it for another %v",
					w.now.Sub(t0), u.run.Upstream, c, g.Fence, o.run.Upstream, o.taken[c], o.heldUntil[c].Sub(w.now)))
			}
		}
		u.fences[c], u.held[c], u.heldUntil[c] = g.Fence, g.Fence, until
		u.taken[c] = max(u.taken[c], g.Fence)
	}
	return false
}

// release carries out a release.
func (u *worldUpstream) release(g pimento.KeyGrant) {
	from, to := cells(g.Range)
	for c := from; c <= to; c++ {
		u.fences[c] = max(u.fences[c], g.Fence)
		u.heldUntil[c] = time.Time{}
	}
}

// finish passes the result of a call to the machine of a leader, which may be slow.
func (w *world) finish(d time.Duration, do func()) {
	if w.chance(0.05) {
		d += w.within(longestLoopDelay)
	}
	w.after(d, do)
}

// grant sends a grant.
func (w *world) grant(l *worldLeader, c Call) {
	if !l.m.BeginGrant(w.now, c) {
		l.m.HandleGrantResult(w.now, w.now, c, ResultWithheld)
		return
	}
	sentAt, authority := w.now, w.input(l).Authority
	answerBy := sentAt.Add(l.m.timing.AnswerTimeout)
	result := func(d time.Duration, r Result) {
		w.finish(d, func() {
			if r == ResultFenced && l == w.leaders[len(w.leaders)-1] && l.m.IsCurrent(c) {
				w.violations = append(w.violations, fmt.Sprintf("%v: the present leader meets a higher fence than %d", w.now.Sub(t0), c.Grant.Fence))
			}
			l.m.HandleGrantResult(w.now, sentAt, c, r)
		})
	}
	stall := time.Duration(0)
	if w.chance(0.1) {
		stall = w.within(800 * time.Millisecond)
	}
	w.after(stall, func() {
		u := w.upstream(c.Run.Upstream)
		switch {
		case !w.now.Before(answerBy) || !w.now.Before(authority):
			result(0, ResultWithheld)
		case !w.reaches(u, c):
			result(0, ResultUnsent)
		case u.cut:
			if w.chance(0.5) {
				result(0, ResultUnsent)
				return
			}
			result(answerBy.Sub(w.now), ResultUnknown)
		default:
			w.after(w.within(longestWay), func() { w.arrive(u, c, answerBy, result) })
		}
	})
}

// reaches reports whether a call reaches an upstream. One that is under way ends with the
// connection to its run, unless it is sent over a new connection.
func (w *world) reaches(u *worldUpstream, c Call) bool { return w.reachNext || u.run.Same(c.Run) }

// arrive handles a grant that arrives at an upstream.
func (w *world) arrive(u *worldUpstream, c Call, answerBy time.Time, result func(time.Duration, Result)) {
	if !w.reaches(u, c) {
		result(0, ResultUnsent)
		return
	}
	arrivedAt, run := w.now, u.run
	noAnswer := max(0, answerBy.Sub(w.now))
	if w.chance(0.1) { // it is carried out late
		w.after(2*time.Second+w.within(longestLateness-2*time.Second), func() {
			if u.run.Same(run) {
				w.take(u, c.Grant, arrivedAt)
			}
		})
		result(noAnswer, ResultUnknown)
		return
	}
	refused := w.take(u, c.Grant, arrivedAt)
	switch {
	case w.chance(0.1) || !w.now.Before(answerBy):
		result(noAnswer, ResultUnknown)
	case refused:
		result(w.within(20*time.Millisecond), ResultFenced)
	default:
		result(w.within(20*time.Millisecond), ResultAccepted)
	}
}

// sendRelease sends a release. An upstream may carry it out late.
func (w *world) sendRelease(l *worldLeader, c Call) {
	u := w.upstream(c.Run.Upstream)
	run := u.run
	fail := func() {
		w.finish(5*time.Second, func() { l.m.HandleReleaseResult(w.now, c, "", false) })
	}
	if u.cut {
		fail()
		return
	}
	w.after(w.within(longestWay), func() {
		if w.chance(0.2) {
			w.after(2*time.Second+w.within(longestLateness-2*time.Second), func() {
				if u.run.Same(run) {
					u.release(c.Grant)
				}
			})
			fail()
			return
		}
		u.release(c.Grant)
		if w.chance(0.1) {
			fail()
			return
		}
		w.finish(w.within(400*time.Millisecond), func() { l.m.HandleReleaseResult(w.now, c, "", true) })
	})
}

// plan writes an assignment in which some ranges move that may, split at random.
func (w *world) plan(l *worldLeader) {
	next := w.stored.Clone()
	table := &next.Tables[0]
	var out []pimento.Holding
	in := w.input(l)
	for _, s := range l.m.States(w.now, in) {
		h := s.Holding
		if !h.Former.IsZero() && l.m.FormerCleared(service, h) {
			h.Former = pimento.Run{}
		}
		wanted := h.Holder.IsZero() || s.Lost || s.Fenced || in.Ended(h.Holder) || w.chance(0.1)
		if !s.Freed || !wanted {
			out = append(out, h)
			continue
		}
		from, to := cells(h.KeyRange)
		first := from + w.rng.IntN(to-from+1)
		last := first + w.rng.IntN(to-first+1)
		if first > from {
			left := h
			left.KeyRange = keysOf(from, first-1)
			out = append(out, left)
		}
		out = append(out, pimento.Holding{
			KeyRange: keysOf(first, last), Fence: next.NextFence, Former: h.Holder,
			Holder: w.upstreams[w.rng.IntN(worldUpstreams)].run,
		})
		next.NextFence++
		if last < to {
			right := h
			right.KeyRange = keysOf(last+1, to)
			out = append(out, right)
		}
	}
	table.Holdings = w.join(l, &next, out)
	if next.Restored && l.m.EarlierGrantsExpired(w.now, in) {
		next.Restored = false
	}
	l.writing = true
	epoch := w.epoch
	w.after(w.within(100*time.Millisecond), func() {
		l.writing = false
		if w.epoch != epoch {
			return
		}
		w.copies = append(w.copies, w.stored)
		w.copies = w.copies[max(0, len(w.copies)-50):]
		w.stored = next
		adopted := next.Clone()
		l.m.Adopt(w.now, &adopted)
	})
}

// join joins neighbouring ranges of one holder at random, where the machine lets it.
func (w *world) join(l *worldLeader, next *pimento.Assignment, list []pimento.Holding) []pimento.Holding {
	var out []pimento.Holding
	in := w.input(l)
	joined := false // the last one of out
	for _, h := range list {
		n := len(out) - 1
		may := l.m.MayJoin(w.now, in, service, h)
		if n >= 0 && may && out[n].Holder.Same(h.Holder) && w.chance(0.5) && (joined || l.m.MayJoin(w.now, in, service, out[n])) {
			if !joined {
				out[n].Fence = next.NextFence
				next.NextFence++
			}
			out[n].To, joined = h.To, true
			w.joins++
			continue
		}
		out, joined = append(out, h), false
	}
	return out
}

// injectFault injects a random fault.
func (w *world) injectFault() {
	u := w.upstreams[w.rng.IntN(worldUpstreams)]
	switch w.rng.IntN(6) {
	case 0:
		w.beginTerm(false)
	case 1:
		w.beginTerm(w.chance(0.3))
	case 2, 3:
		u.cut = true
		w.after(w.within(6*time.Second), func() { u.cut = false })
	default:
		started := u.run.Started
		*u = worldUpstream{run: pimento.Run{Upstream: u.run.Upstream, Started: started.Add(w.now.Sub(started))}, cut: u.cut, taken: u.taken}
	}
}

// run runs the world.
func (w *world) run() {
	planAt, faultAt := w.now, w.now.Add(3*time.Second)
	for end := w.now.Add(worldSpan); w.now.Before(end); w.now = w.now.Add(worldTick) {
		for {
			i := slices.IndexFunc(w.events, func(e worldEvent) bool { return !e.at.After(w.now) })
			if i < 0 {
				break
			}
			do := w.events[i].do
			w.events = slices.Delete(w.events, i, i+1)
			do()
		}
		if !w.now.Before(faultAt) {
			faultAt = w.now.Add(w.within(1500 * time.Millisecond))
			w.injectFault()
		}
		for i, l := range w.leaders {
			for _, run := range l.m.LostRuns() {
				if u := w.upstream(run.Upstream); !u.cut && w.chance(0.02) {
					l.m.MarkReachable(w.now, run)
				}
			}
			for _, c := range l.m.Step(w.now, w.input(l)) {
				if c.Kind == CallGrant {
					w.grant(l, c)
				} else {
					w.sendRelease(l, c)
				}
			}
			if i == len(w.leaders)-1 && !l.writing && !w.now.Before(planAt) {
				planAt = w.now.Add(120 * time.Millisecond)
				w.plan(l)
			}
		}
		if n := len(w.leaders); n > 3 {
			w.leaders = w.leaders[n-3:]
		}
	}
}

// TestOneHolderInARandomWorld guards against two holders where moves, splits, restored
// assignments, changes of the leader and calls that are carried out late come together.
func TestOneHolderInARandomWorld(t *testing.T) {
	for _, c := range []struct {
		name       string
		reachNext  bool
		losesTerms bool
	}{
		{"calls end with their run", false, false},
		{"calls reach the next run", true, false},
		{"terms are lost", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			joins := 0
			for seed := *randomFirst; seed < *randomFirst+*randomSeeds; seed++ {
				w := newWorld(seed, c.reachNext, c.losesTerms)
				w.run()
				if n := len(w.violations); n > 0 {
					t.Errorf("seed %d: %d violations, the first: %s", seed, n, w.violations[0])
				}
				joins += w.joins
			}
			if joins == 0 {
				t.Error("no ranges were joined")
			}
		})
	}
}
