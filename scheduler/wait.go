package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// maxWaiting bounds the requests that wait in a pool.
	maxWaiting = 2048
	// minReturn and maxReturn bound what refused callers are told to wait.
	minReturn = 50 * time.Millisecond
	maxReturn = 3 * time.Second
	// lateShare is the part of the time until its deadline within which a
	// request that misses its goal must be expected to be served.
	lateShare = 0.95
	// lateFree is the part of the slots that stays free of requests that miss
	// their goal, for those that do not.
	lateFree = 0.1
	// timelyShare is the part of the usual capacity up to which requests that
	// meet their goal leave room for others.
	timelyShare = 1.2
	// rateWindow is the time constant of the rate of requests that meet their
	// goal.
	rateWindow = time.Second
	// moveWait is how long a key may be without a ready owner while its
	// requests wait.
	moveWait = 400 * time.Millisecond
	// doomedShare is the part of its usual work that a request must have time
	// for while others wait that could use the slot better.
	doomedShare = 0.7
	// servedMargin is how much before its deadline a request must be expected
	// to be answered.
	servedMargin = 20 * time.Millisecond
)

// enqueue puts a request in line: those with more urgent routes first, then by
// goal.
func (p *Pool) enqueue(t *Ticket) {
	i, _ := slices.BinarySearchFunc(p.waiting, t, before)
	p.waiting = slices.Insert(p.waiting, i, t)
}

// before orders requests that wait.
func before(a, b *Ticket) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if c := a.GoalAt.Compare(b.GoalAt); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// dispatch lets go what can go now. Requests that can no longer be answered
// within their goal come after all others.
func (p *Pool) dispatch(now time.Time) []Decision {
	if len(p.waiting) == 0 {
		return nil
	}
	var out []Decision
	for _, late := range []bool{false, true} {
		if late && !p.config.Keyed && p.freeShare(now) < lateFree {
			break
		}
		rest := p.waiting[:0]
		for _, t := range p.waiting {
			if p.isLate(now, t) != late {
				rest = append(rest, t)
				continue
			}
			u := p.place(now, t)
			if u == nil {
				rest = append(rest, t)
				continue
			}
			expected := p.expectedDuration(now, t, u)
			p.start(now, t, u)
			out = append(out, Decision{
				Ticket: t.ID, Upstream: u.Name, Running: len(u.running), Slots: p.limit(now, u), Expected: expected,
			})
		}
		p.waiting = rest
	}
	return out
}

// freeShare returns the part of the slots of all usable upstreams that is free.
func (p *Pool) freeShare(now time.Time) float64 {
	slots, used := 0, 0
	for _, u := range p.upstreams {
		if u.Usable {
			slots += p.limit(now, u)
			used += len(u.running)
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(used)/float64(slots)
}

// isLate reports whether a request would miss its goal even if it went now.
func (p *Pool) isLate(now time.Time, t *Ticket) bool {
	return now.Add(scale(p.meanServiceTime(t.Route), p.upperRatio(t.Route))).After(t.GoalAt)
}

// expire refuses requests that cannot be answered before their deadline.
func (p *Pool) expire(now time.Time) []Decision {
	var out []Decision
	contended := len(p.waiting) > 1
	p.waiting = slices.DeleteFunc(p.waiting, func(t *Ticket) bool {
		margin := servedMargin
		if contended {
			margin = max(margin, scale(p.meanServiceTime(t.Route), doomedShare))
		}
		if now.Add(margin).Before(t.Deadline) {
			return false
		}
		out = append(out, Decision{Ticket: t.ID, Refusal: p.refuse(0, "no upstream had room before the deadline")})
		return true
	})
	return out
}

// refuse returns a refusal with a time after which there will be room, spread
// so that those who return do not come as one wave.
func (p *Pool) refuse(wait time.Duration, detail string) *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonOverloaded, detail)
	p.draws = p.draws*6364136223846793005 + 1442695040888963407
	spread := 1 + float64(p.draws>>40)/float64(1<<24)/2
	out.RetryAfter = time.Duration(spread * float64(min(max(wait, minReturn), maxReturn)))
	return out
}

// turnAway returns the refusal of a request that cannot be served in time, nil
// if it may wait.
func (p *Pool) turnAway(now time.Time, t *Ticket) *pimento.OutcomeError {
	if len(p.waiting) >= maxWaiting {
		return p.refuse(maxReturn, "too many requests wait")
	}
	if p.config.Keyed {
		return p.turnAwayKeyed(now, t)
	}
	wait, o, ok := p.waitFor(now, t)
	if !ok {
		return p.refuse(maxBreakBackoff, "no upstream of the service can be reached")
	}
	return p.judge(now, t, wait, p.meanServiceTime(t.Route), o)
}

// judge refuses a request that would start after the given wait, if it could
// not be answered within its goal nor, from what those that meet theirs leave
// of the capacity, before its deadline.
func (p *Pool) judge(now time.Time, t *Ticket, wait, work time.Duration, o *line) *pimento.OutcomeError {
	if !now.Add(wait + scale(work, p.upperRatio(t.Route))).After(t.GoalAt) {
		o.timely.add(now)
		return nil
	}
	if o.timely.value(now) < o.usual*timelyShare {
		lateWait := time.Duration(float64(o.late+1) / o.capacity * float64(time.Second))
		if wait+lateWait+work < scale(t.Deadline.Sub(now), lateShare) {
			return nil
		}
	}
	back := wait - t.GoalAt.Sub(t.Arrived)/2
	return p.refuse(back, fmt.Sprintf("room is expected only after %s", wait.Round(time.Millisecond)))
}

// line is what a request that waits competes for: all upstreams of a pool, or
// the one that holds its key.
type line struct {
	timely   *rate   // requests that meet their goal
	capacity float64 // requests a second, as it is now
	usual    float64 // the same over a longer time
	late     int     // that wait and miss their goal
}

// waitFor estimates how long a request would wait in a pool without keys,
// false if no upstream is usable.
func (p *Pool) waitFor(now time.Time, t *Ticket) (time.Duration, *line, bool) {
	o := &line{timely: &p.timely}
	open := false
	for _, u := range p.upstreams {
		if !u.Usable || u.health.breaks > 1 && now.Before(u.health.pausedUntil) {
			continue
		}
		open = open || p.open(now, u)
		o.capacity += p.throughput(now, t, u)
		o.usual += p.longTermThroughput(t, u)
	}
	if o.capacity == 0 {
		return 0, nil, false
	}
	ahead := 1
	for _, x := range p.waiting {
		late := p.isLate(now, x)
		if late {
			o.late++
		} else if before(x, t) < 0 {
			ahead++
		}
	}
	if open && ahead == 1 {
		return 0, o, true
	}
	return time.Duration(float64(ahead) / o.capacity * float64(time.Second)), o, true
}

// throughput returns how many requests a second an upstream ends.
func (p *Pool) throughput(now time.Time, t *Ticket, u *upstream) float64 {
	if now.Before(u.cold.until) {
		return max(p.config.ColdRate, 1)
	}
	return float64(u.Slots) / max(p.expectedDuration(now, t, u).Seconds(), 0.001)
}

// longTermThroughput returns how many requests a second an upstream ends over a longer time
// than the spells in which its neighbours slow it down.
func (p *Pool) longTermThroughput(t *Ticket, u *upstream) float64 {
	return float64(u.Slots) / max(p.meanServiceTime(t.Route).Seconds()*u.longTermSlowness.value(), 0.001)
}

// turnAwayKeyed is turnAway for a request that only one upstream may run.
func (p *Pool) turnAwayKeyed(now time.Time, t *Ticket) *pimento.OutcomeError {
	u, o := p.ownerOf(t.Key)
	if u == nil || !o.Ready {
		if wait := o.ReadyAt.Sub(now); wait > moveWait || o.Upstream == "" && o.ReadyAt.IsZero() {
			return p.refuse(max(wait, moveWait), "nobody holds the key now")
		}
		if u == nil {
			return nil
		}
	}
	if u.health.breaks > 1 && now.Before(u.health.pausedUntil) {
		return p.refuse(u.health.pausedUntil.Sub(now), "the holder of the key cannot be reached")
	}
	l := &line{timely: &u.timely, capacity: p.throughput(now, t, u), usual: p.longTermThroughput(t, u)}
	ahead := 1
	for _, x := range p.waiting {
		if owner, _ := p.owner(x.Key); owner.Upstream != o.Upstream {
			continue
		}
		if p.isLate(now, x) {
			l.late++
		} else if before(x, t) < 0 {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead) / l.capacity * float64(time.Second))
	if p.open(now, u) && ahead == 1 {
		wait = 0
	}
	return p.judge(now, t, wait, p.expectedDuration(now, t, u), l)
}

// rate is an exponentially weighted rate of requests.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
