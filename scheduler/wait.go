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
	// minRetryAfter and maxRetryAfter bound the delay that refused callers are
	// told, before its random spread.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// lateDeadlineShare is the share of the time until its deadline within which
	// a request that misses its goal must be expected to be answered.
	lateDeadlineShare = 0.95
	// reservedSlotShare is the share of the slots that is kept free of requests
	// that miss their goal, for those that do not.
	reservedSlotShare = 0.1
	// maxOnTimeLoad is the rate of requests that meet their goal, relative to the
	// long-term throughput, from which on no request that misses its goal is
	// accepted.
	maxOnTimeLoad = 1.2
	// rateDecay is the time constant of the rate of requests that meet their
	// goal.
	rateDecay = time.Second
	// maxOwnerWait is how long a key may be without a ready owner while its
	// requests wait.
	maxOwnerWait = 400 * time.Millisecond
	// contendedShare is the share of a request's mean service time that must
	// remain before its deadline while others wait, which could use the slot
	// better.
	contendedShare = 0.7
	// answerMargin is how long before its deadline a waiting request is refused
	// at the latest.
	answerMargin = 20 * time.Millisecond
)

// enqueue inserts a request into the queue, which is ordered by the priority of its
// customer, the most urgent first, then by whether it is within the fair share of that, by
// the priority of its route, and by goal.
func (p *Pool) enqueue(t *Ticket) {
	i, _ := slices.BinarySearchFunc(p.waiting, t, compareTickets)
	p.waiting = slices.Insert(p.waiting, i, t)
}

// compareTickets orders the queue.
func compareTickets(a, b *Ticket) int {
	if a.CustomerPriority != b.CustomerPriority {
		return a.CustomerPriority - b.CustomerPriority
	}
	if a.excess != b.excess {
		if b.excess {
			return -1
		}
		return 1
	}
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

// dispatch sends the waiting requests that upstreams can take now. Requests
// that can no longer be answered within their goal come after all others.
func (p *Pool) dispatch(now time.Time) []Decision {
	if len(p.waiting) == 0 {
		return nil
	}
	var out []Decision
	for _, late := range []bool{false, true} {
		if late && !p.config.Keyed && p.freeSlotShare(now) < reservedSlotShare {
			break
		}
		rest := p.waiting[:0]
		for _, t := range p.waiting {
			if p.isLate(now, t) != late {
				rest = append(rest, t)
				continue
			}
			u := p.selectUpstream(now, t)
			if u == nil {
				rest = append(rest, t)
				continue
			}
			if t.countsAsRetry() && !p.budget.allowRetry(now) {
				out = append(out, Decision{Ticket: t.ID, Refusal: p.refuseRetry()})
				continue
			}
			expected := p.expectedDuration(now, t, u)
			p.start(now, t, u)
			out = append(out, Decision{
				Ticket: t.ID, Upstream: u.Name, Running: len(u.running), Slots: p.concurrencyLimit(now, u), Expected: expected,
			})
		}
		p.waiting = rest
	}
	return out
}

// freeSlotShare returns the share of the slots of all usable upstreams that is
// free.
func (p *Pool) freeSlotShare(now time.Time) float64 {
	slots, used := 0, 0
	for _, u := range p.upstreams {
		if u.Usable {
			slots += p.slotsWithinLimit(now, u)
			used += len(u.running)
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(used)/float64(slots)
}

// isLate reports whether a request would miss its goal even if it were sent now.
func (p *Pool) isLate(now time.Time, t *Ticket) bool {
	return now.Add(scale(p.meanServiceTime(t.Route), p.upperRatio(t.Route))).After(t.GoalAt)
}

// expire refuses waiting requests that cannot be answered before their deadline, or
// whose keys have gone to another pool.
func (p *Pool) expire(now time.Time) []Decision {
	var out []Decision
	contended := len(p.waiting) > 1
	ahead := make(map[*upstream]int) // waiting requests of limited upstreams
	p.waiting = slices.DeleteFunc(p.waiting, func(t *Ticket) bool {
		if refusal := p.checkBars(now, t); refusal != nil {
			out = append(out, Decision{Ticket: t.ID, Refusal: refusal})
			return true
		}
		if p.config.Keyed && p.isForeign(t.Key) {
			out = append(out, Decision{Ticket: t.ID, Refusal: p.refuseForeign()})
			return true
		}
		if p.config.Keyed && p.ownerIsOverdue(now, t) {
			out = append(out, Decision{Ticket: t.ID, Refusal: p.refuse(maxOwnerWait, unheldDetail)})
			return true
		}
		if u, _ := p.ownerUpstream(t.Key); p.config.Keyed && u != nil && u.pacer.Limited() {
			if p.exceedsLimit(now, t, u, ahead[u]+1) {
				out = append(out, Decision{Ticket: t.ID, Refusal: p.refuseBeyondLimit(now, u, ahead[u]+1)})
				return true
			}
			ahead[u]++
		}
		margin := answerMargin
		if contended {
			margin = max(margin, scale(p.meanServiceTime(t.Route), contendedShare))
		}
		if now.Add(margin).Before(t.Deadline) {
			return false
		}
		out = append(out, Decision{Ticket: t.ID, Refusal: p.refuse(0, "no upstream had room before the deadline")})
		return true
	})
	return out
}

// refuse returns a refusal with a delay after which to retry, spread at random
// so that the callers do not return all at once.
func (p *Pool) refuse(wait time.Duration, detail string) *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonOverloaded, detail)
	p.jitterState = p.jitterState*6364136223846793005 + 1442695040888963407
	spread := 1 + float64(p.jitterState>>40)/float64(1<<24)/2
	out.RetryAfter = time.Duration(spread * float64(min(max(wait, minRetryAfter), maxRetryAfter)))
	return out
}

// checkAdmission returns the refusal of a request that cannot be served in time,
// nil if it may wait.
func (p *Pool) checkAdmission(now time.Time, t *Ticket) *pimento.OutcomeError {
	if len(p.waiting) >= maxWaiting {
		return p.refuse(maxRetryAfter, "too many requests wait")
	}
	if p.config.Keyed {
		return p.checkKeyedAdmission(now, t)
	}
	wait, c, ok := p.estimateWait(now, t)
	if !ok {
		return p.refuse(maxBreakBackoff, "no upstream of the service can be reached")
	}
	return p.checkWait(now, t, wait, p.meanServiceTime(t.Route), c)
}

// checkWait returns the refusal of a request that would start after the given
// wait, nil if it can be answered within its goal or, with the capacity left by
// requests that meet theirs, before its deadline.
func (p *Pool) checkWait(now time.Time, t *Ticket, wait, duration time.Duration, c *contention) *pimento.OutcomeError {
	if !now.Add(wait + scale(duration, p.upperRatio(t.Route))).After(t.GoalAt) {
		c.onTime.add(now)
		return nil
	}
	if !t.excess && c.onTime.value(now) < c.longTermThroughput*maxOnTimeLoad {
		lateWait := time.Duration(float64(c.late+1) / c.throughput * float64(time.Second))
		if wait+lateWait+duration < scale(t.Deadline.Sub(now), lateDeadlineShare) {
			return nil
		}
	}
	retryAfter := wait - t.GoalAt.Sub(t.Arrived)/2
	return p.refuse(retryAfter, fmt.Sprintf("room is expected only after %s", wait.Round(time.Millisecond)))
}

// ownerIsOverdue reports whether the owner of a request's key has not been ready for
// maxOwnerWait longer than was expected, or than the request waits if nothing was.
func (p *Pool) ownerIsOverdue(now time.Time, t *Ticket) bool {
	_, o := p.ownerUpstream(t.Key)
	if o.Ready {
		return false
	}
	expected := o.ReadyAt
	if expected.IsZero() {
		expected = t.Arrived
	}
	return !now.Before(expected.Add(maxOwnerWait))
}

// unheldDetail is the detail of the refusal of a request whose key has no ready owner.
const unheldDetail = "nobody holds the key now"

// isForeign reports whether a key has a ready owner that this pool does not know: it
// is in another pool, or gone. A request for it would wait here in vain.
func (p *Pool) isForeign(k pimento.Key) bool {
	u, o := p.ownerUpstream(k)
	return u == nil && o.Ready && o.Upstream != ""
}

// refuseForeign returns the refusal of a request for such a key.
func (p *Pool) refuseForeign() *pimento.OutcomeError {
	out := p.refuse(0, "the holder of the key is not in this pool")
	out.Reason = pimento.ReasonElsewhere
	return out
}

// contention is the capacity that a request competes for and the load on it: of
// all upstreams of a pool, or of the one that owns its key.
type contention struct {
	onTime             *rate   // requests that meet their goal
	throughput         float64 // present capacity in requests a second
	longTermThroughput float64
	late               int // waiting requests that miss their goal
}

// estimateWait estimates how long a request would wait in a pool without keys;
// false if no upstream is available.
func (p *Pool) estimateWait(now time.Time, t *Ticket) (time.Duration, *contention, bool) {
	c := &contention{onTime: &p.onTime}
	free := false
	next := time.Duration(math.MaxInt64) // until the first upstream takes one more
	for _, u := range p.upstreams {
		if !u.Usable || t.isBarred(now, u) || u.health.breaks > 1 && now.Before(u.health.pausedUntil) {
			continue
		}
		free = free || p.canAccept(now, u)
		next = min(next, u.pacer.Wait(now, 1))
		c.throughput += p.throughput(now, t, u)
		c.longTermThroughput += p.longTermThroughput(t, u)
	}
	if c.throughput == 0 {
		return 0, nil, false
	}
	ahead := 1
	for _, x := range p.waiting {
		late := p.isLate(now, x)
		if late {
			c.late++
		} else if compareTickets(x, t) < 0 {
			ahead++
		}
	}
	if free && ahead == 1 {
		return 0, c, true
	}
	return max(next, time.Duration(float64(ahead)/c.throughput*float64(time.Second))), c, true
}

// throughput returns how many requests a second an upstream can complete now.
func (p *Pool) throughput(now time.Time, t *Ticket, u *upstream) float64 {
	if now.Before(u.cold.until) {
		return withinLimit(u, p.coldRate())
	}
	return withinLimit(u, float64(u.Slots)/max(p.expectedDuration(now, t, u).Seconds(), 0.001))
}

// longTermThroughput returns how many requests a second an upstream can complete
// over a longer time, in which slowdowns by its neighbours average out.
func (p *Pool) longTermThroughput(t *Ticket, u *upstream) float64 {
	return withinLimit(u, float64(u.Slots)/max(p.meanServiceTime(t.Route).Seconds()*u.longTermSlowness.value(), 0.001))
}

// checkKeyedAdmission is checkAdmission for a request that only the owner of its
// key may run.
func (p *Pool) checkKeyedAdmission(now time.Time, t *Ticket) *pimento.OutcomeError {
	if p.isForeign(t.Key) {
		return p.refuseForeign()
	}
	u, o := p.ownerUpstream(t.Key)
	if u == nil || !o.Ready {
		wait := o.ReadyAt.Sub(now)
		if wait > maxOwnerWait || o.Upstream == "" && o.ReadyAt.IsZero() || p.ownerIsOverdue(now, t) {
			return p.refuse(max(wait, maxOwnerWait), unheldDetail)
		}
		if u == nil {
			return nil
		}
	}
	if u.health.breaks > 1 && now.Before(u.health.pausedUntil) {
		return p.refuse(u.health.pausedUntil.Sub(now), "the holder of the key cannot be reached")
	}
	c := &contention{onTime: &u.onTime, throughput: p.throughput(now, t, u), longTermThroughput: p.longTermThroughput(t, u)}
	ahead := 1
	for _, x := range p.waiting {
		if owner, _ := p.owner(x.Key); owner.Upstream != o.Upstream {
			continue
		}
		if p.isLate(now, x) {
			c.late++
		} else if compareTickets(x, t) < 0 {
			ahead++
		}
	}
	wait := max(time.Duration(float64(ahead)/c.throughput*float64(time.Second)), u.pacer.Wait(now, ahead))
	if p.canAccept(now, u) && ahead == 1 {
		wait = 0
		if len(u.running) == 0 && now.Add(p.meanServiceTime(t.Route)).Before(t.Deadline) {
			return nil // only its answers can correct the estimate
		}
	}
	out := p.checkWait(now, t, wait, p.expectedDuration(now, t, u), c)
	if out != nil && u.pacer.Limited() {
		return p.refuseBeyondLimit(now, u, ahead+c.late)
	}
	return out
}

// rate is an exponentially weighted rate of requests.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateDecay.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateDecay.Seconds())
}
