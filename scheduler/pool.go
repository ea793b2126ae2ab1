// Package scheduler decides how long requests wait for upstreams, when they are
// refused, and which upstream they are sent to. It is a pure state machine:
// time, requests, results and the known state of upstreams come in as arguments,
// decisions are returned as values.
//
// A pool is the part of a service's upstreams that one process dispatches. Its
// decisions, and the load that each one is for:
//
//   - Waiting (wait.go): bursts. Requests that can still be answered within
//     their goal go first, by priority and goal; the others get what is left.
//   - Fairness (fairness.go): one customer sends many times its usual. What is beyond its
//     fair share of an overloaded pool comes after all others.
//   - Refusing (wait.go): overload. A request that cannot be served in time is
//     refused at once, with a delay after which to retry.
//   - Placing (place.go): upstreams of different speed, slow and failing ones.
//     Among the upstreams with a free slot, the one with the least expected cost,
//     from measured times, load reports and the age of running requests.
//   - Cold upstreams (cold.go): requests are spaced to what they can handle.
//   - Limits (limit.go): an upstream in need gets what it takes, the rest goes to
//     others or is refused at once.
//   - Bars (bar.go): a process sends nothing to an upstream that has told it so.
//   - Retrying (budget.go): failures everywhere. Retries are a bounded share of
//     the requests.
//
// # Usage
//
//	p := scheduler.New(scheduler.Config{...})
//	p.SetUpstreams(list)
//	decisions := p.Offer(now, ticket)
//	decisions = p.Done(now, id, result)
//	decisions = p.Tick(now)
package scheduler

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
)

// Config is the configuration of a pool.
type Config struct {
	Keyed bool
	// Share is the part of what all processes together may send that this one may use
	// (see [Share]); zero: all of it.
	Share float64
	// Phase, from 0 to 1, places this process in the interval between two sends, so that
	// processes with the same part do not all send at the same moment.
	Phase float64
	// RetryRatio, RetrySlack and RetryWindow bound the retries of the service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdRate is how many requests a second a cold upstream can handle.
	ColdRate float64
}

// Ticket is a request that asks for a permit.
type Ticket struct {
	ID       uint64
	Route    pimento.RouteName
	Priority int
	Customer pimento.CustomerName // empty: none
	// CustomerPriority goes before Priority.
	CustomerPriority int
	Quota            float64 // of the customer, in requests a second; zero: none
	Key              pimento.Key
	Domain           pimento.DomainName // of the process that will send it
	BodyBytes        int64              // -1 if unknown
	Arrived          time.Time
	GoalAt           time.Time // an answer until then has its full utility
	Deadline         time.Time
	Retry            bool // it was sent to an upstream before
	// Again means that the permit of this attempt was given back unused; the attempt
	// has been counted.
	Again  bool
	Avoid  []pimento.UpstreamName
	Barred []Bar                  // upstreams that the process may not send it to
	Warm   []pimento.UpstreamName // to which the process has an idle connection

	excess bool // beyond the fair share of its customer
}

// Decision ends the wait of a ticket: either Upstream or Refusal is set.
type Decision struct {
	Ticket   uint64
	Upstream pimento.UpstreamName
	Refusal  *pimento.OutcomeError
	// Running, Slots and Expected are the basis of the choice: the requests at
	// the upstream, this one included, its limit, and how long this one is
	// expected to take.
	Running  int
	Slots    int
	Expected time.Duration
}

// Upstream is the known state of one upstream.
type Upstream struct {
	pimento.Server
	// Usable means that it takes new requests: it is neither leaving nor in a
	// failure domain that was taken out.
	Usable bool
}

// Owner is the owner of the keys of one range.
type Owner struct {
	pimento.KeyRange
	Upstream pimento.UpstreamName
	Ready    bool
	// ReadyAt is when the keys are expected to be served again, if not Ready.
	ReadyAt time.Time
}

// upstream is an upstream with what was measured of it.
type upstream struct {
	Upstream
	running          map[uint64]*activeRequest
	slowness         slowness
	longTermSlowness slowness
	health           health
	cold             cold
	pacer            limiter.Pacer
	hostSlowness     hostSlowness
	onTime           rate      // requests for its keys that meet their goal
	measuredAt       time.Time // when a request last began or ended there
}

// activeRequest is a request that has a permit.
type activeRequest struct {
	ticket       Ticket
	upstream     *upstream
	startedAt    time.Time
	hostSlowness float64 // of the upstream when the request was sent
}

// Pool is the state of one pool. It is not safe for concurrent use.
type Pool struct {
	config    Config
	upstreams map[pimento.UpstreamName]*upstream
	owners    []Owner // sorted, covering all keys; of a keyed service
	waiting   []*Ticket
	running   map[uint64]*activeRequest

	serviceTimes       map[pimento.RouteName]*serviceTime
	overallServiceTime serviceTime // of all routes together

	fairness    fairness
	budget      budget
	onTime      rate   // requests that meet their goal
	jitterState uint64 // of the generator that spreads retry delays
	// meanReportedSlowness is the mean of what upstreams report; zero before the
	// first report.
	meanReportedSlowness float64
}

// New returns a pool without upstreams.
func New(config Config) *Pool {
	p := &Pool{
		upstreams:    make(map[pimento.UpstreamName]*upstream),
		running:      make(map[uint64]*activeRequest),
		serviceTimes: make(map[pimento.RouteName]*serviceTime),
	}
	p.SetConfig(config)
	return p
}

// SetUpstreams replaces the known state of the upstreams. Measurements are kept
// as long as an upstream's start time and address are the same.
func (p *Pool) SetUpstreams(list []Upstream) {
	seen := make(map[pimento.UpstreamName]bool, len(list))
	for _, u := range list {
		seen[u.Name] = true
		old, ok := p.upstreams[u.Name]
		if ok && old.Started.Equal(u.Started) && old.Address == u.Address {
			if u.Usable && !old.Usable {
				old.health = health{}
			}
			old.Upstream = u
			old.cold.until = later(old.cold.until, u.WarmAt)
			continue
		}
		x := &upstream{Upstream: u, running: make(map[uint64]*activeRequest)}
		if ok {
			x.pacer = old.pacer // what was sent before its restart counts
		}
		x.cold.until = u.WarmAt
		p.upstreams[u.Name] = x
	}
	for name, x := range p.upstreams {
		if !seen[name] {
			x.Usable = false
			if len(x.running) == 0 {
				delete(p.upstreams, name)
			}
		}
	}
}

// SetOwners replaces the owners of the keys, which must be sorted by range.
func (p *Pool) SetOwners(owners []Owner) { p.owners = owners }

// SetConfig replaces the configuration.
func (p *Pool) SetConfig(config Config) {
	if config.Share == 0 {
		config.Share = 1
	}
	p.config = config
	p.budget.ratio, p.budget.window = config.RetryRatio, config.RetryWindow
	p.budget.setSlack(config.RetrySlack*config.Share/totalShare, config.RetrySlack*outsidersShare/totalShare)
}

// Offer adds a request and returns the decisions that follow.
func (p *Pool) Offer(now time.Time, t Ticket) []Decision {
	if out := p.checkBars(now, &t); out != nil {
		return []Decision{{Ticket: t.ID, Refusal: out}}
	}
	switch {
	case t.Again:
	case t.Retry:
		if !p.budget.allows(now, p.waitingRetries()+1) {
			return []Decision{{Ticket: t.ID, Refusal: p.refuseRetry()}}
		}
	default:
		p.budget.recordRequest(now)
	}
	t.excess = !t.Again && p.fairness.exceeds(now, t.Customer, t.Quota, p.capacity)
	if out := p.checkAdmission(now, &t); out != nil {
		return []Decision{{Ticket: t.ID, Refusal: out}}
	}
	p.enqueue(&t)
	return p.dispatch(now)
}

// countsAsRetry reports whether a ticket uses the retry budget when it is sent.
func (t *Ticket) countsAsRetry() bool { return t.Retry && !t.Again }

// waitingRetries returns how many retries wait: they use the budget when they are sent.
func (p *Pool) waitingRetries() int {
	n := 0
	for _, t := range p.waiting {
		if t.countsAsRetry() {
			n++
		}
	}
	return n
}

// retryBudgetWait is the delay after which callers of refused retries should come back:
// theirs are new requests, which use no budget.
const retryBudgetWait = 200 * time.Millisecond

// refuseRetry returns the refusal of a retry for which there is no budget.
func (p *Pool) refuseRetry() *pimento.OutcomeError {
	out := p.refuse(retryBudgetWait, "the repeats of this service are used up")
	out.Reason = pimento.ReasonRetryBudget
	return out
}

// Cancel removes a request whose caller no longer waits for it.
func (p *Pool) Cancel(now time.Time, id uint64) []Decision {
	for i, t := range p.waiting {
		if t.ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return nil
		}
	}
	if _, ok := p.running[id]; ok {
		return p.Done(now, id, Result{Kind: ResultCanceled})
	}
	return nil
}

// Adopt adds a running request that another process sent to an upstream.
func (p *Pool) Adopt(now time.Time, t Ticket, name pimento.UpstreamName) {
	if u, ok := p.upstreams[name]; ok {
		p.start(now, &t, u)
	}
}

// Tick refuses waiting requests that can no longer be served in time and
// dispatches the others as far as upstreams can take them.
func (p *Pool) Tick(now time.Time) []Decision {
	for _, r := range p.running {
		if now.Sub(r.ticket.Deadline) > lostDoneTimeout {
			p.finish(now, r, Result{Kind: ResultCanceled})
		}
	}
	out := p.expire(now)
	return append(out, p.dispatch(now)...)
}

// lostDoneTimeout is how long after its deadline a request whose end was not
// reported counts as ended.
const lostDoneTimeout = 500 * time.Millisecond

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Running returns how many requests have a permit.
func (p *Pool) Running() int { return len(p.running) }

// start records that a request is sent to an upstream.
func (p *Pool) start(now time.Time, t *Ticket, u *upstream) {
	r := &activeRequest{ticket: *t, upstream: u, startedAt: now, hostSlowness: u.hostSlowness.value(now)}
	u.beginMeasuring(now)
	p.running[t.ID] = r
	u.running[t.ID] = r
	u.cold.recordSend(now)
	u.pacer.Sent(now)
}

func (p *Pool) finish(now time.Time, r *activeRequest, result Result) {
	delete(p.running, r.ticket.ID)
	delete(r.upstream.running, r.ticket.ID)
	p.recordResult(now, r, result)
}

// Done ends a request that had a permit and returns the decisions that follow.
func (p *Pool) Done(now time.Time, id uint64, result Result) []Decision {
	r, ok := p.running[id]
	if !ok {
		return nil
	}
	p.finish(now, r, result)
	return p.dispatch(now)
}

// owner returns the owner of a key, false if none is known.
func (p *Pool) owner(k pimento.Key) (Owner, bool) {
	lo, hi := 0, len(p.owners)
	for lo < hi {
		mid := (lo + hi) / 2
		if p.owners[mid].To < k {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(p.owners) && p.owners[lo].Contains(k) {
		return p.owners[lo], true
	}
	return Owner{}, false
}
