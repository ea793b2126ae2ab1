// Package scheduler decides how requests wait for upstreams, when they are
// turned away, and where they go. It is a pure state machine; time, requests,
// results and what is known of upstreams come in as arguments, decisions go
// out as values.
//
// A pool is a part of a service's upstreams that one process dispatches. What
// it decides, and the load that each decision answers:
//
//   - Waiting (wait.go): bursts. Requests that can still be answered within
//     their goal go first, by priority and goal; the others take what is left.
//   - Turning away (wait.go): overload. A request that cannot be served in
//     time is refused at once, with the time after which there will be room.
//   - Placing (place.go): upstreams of different speed, slow and failing ones.
//     The least expected finish among upstreams with a free slot, from
//     measured times, reports and how long present work already takes.
//   - Cold upstreams (cold.go): requests spaced by what they bear.
//   - Repeating (budget.go): failures everywhere. Repeats are a bounded part
//     of the requests.
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
)

// Config holds what a pool does not learn by itself.
type Config struct {
	Keyed bool
	// Rank is the place of this process in the pool's line. Those after the
	// first stand in, perhaps while the first still acts, and take less.
	Rank int
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of the service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdRate is how many requests a second a cold upstream bears.
	ColdRate float64
}

// Ticket is a request that asks for a permit.
type Ticket struct {
	ID       uint64
	Route    pimento.RouteName
	Priority int
	Key      pimento.Key
	Domain   pimento.DomainName // of the process that will send it
	Bytes    int64              // of its body
	Arrived  time.Time
	GoalAt   time.Time // an answer until then has its full worth
	Deadline time.Time
	Repeat   bool // it was sent to an upstream before
	Avoid    []pimento.UpstreamName
}

// Decision ends the wait of a ticket: either Upstream or Refusal is set.
type Decision struct {
	Ticket   uint64
	Upstream pimento.UpstreamName
	Refusal  *pimento.OutcomeError
	// Running, Slots and Expected are what decided for the upstream: the
	// requests there, this one included, of how many, and how long this one was
	// expected to take.
	Running  int
	Slots    int
	Expected time.Duration
}

// Upstream is what a pool is told of one upstream.
type Upstream struct {
	pimento.Server
	// Usable means that it takes new work: it is neither leaving nor in a
	// failure domain that was taken out.
	Usable bool
}

// Owner is what a pool is told of the keys of one range.
type Owner struct {
	pimento.KeyRange
	Upstream pimento.UpstreamName
	Ready    bool
	// ReadyAt is when the keys are expected to be served again, if not Ready.
	ReadyAt time.Time
}

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	running map[uint64]*running
	speed   speed
	usual   speed // over a longer time
	health  health
	cold    cold
	noise   noise
	timely  rate // requests for its keys that meet their goal
}

// running is a request that has a permit.
type running struct {
	ticket   Ticket
	upstream *upstream
	since    time.Time
	noise    float64 // of the upstream when the request was sent
}

// Pool is the state of one pool. It is not safe for concurrent use.
type Pool struct {
	config    Config
	upstreams map[pimento.UpstreamName]*upstream
	owners    []Owner // sorted, covering all keys; of a keyed service
	waiting   []*Ticket
	running   map[uint64]*running
	works     map[pimento.RouteName]*work
	work      work // of all routes together
	budget    budget
	timely    rate   // requests that meet their goal
	draws     uint64 // for spreading returns
	// meanSlowness is the mean of what upstreams report; zero: nothing yet.
	meanSlowness float64
}

// New returns a pool without upstreams.
func New(config Config) *Pool {
	return &Pool{
		config:    config,
		upstreams: make(map[pimento.UpstreamName]*upstream),
		running:   make(map[uint64]*running),
		works:     make(map[pimento.RouteName]*work),
		budget:    budget{ratio: config.RetryRatio, slack: config.RetrySlack, window: config.RetryWindow},
	}
}

// SetUpstreams replaces what is known of the upstreams. What was measured of a
// run stays; a run that began anew is measured anew.
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
			old.cold.until = u.WarmAt
			continue
		}
		x := &upstream{Upstream: u, running: make(map[uint64]*running)}
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

// SetOwners replaces what is known of the keys.
func (p *Pool) SetOwners(owners []Owner) { p.owners = owners }

// SetRank tells the pool its place in the line.
func (p *Pool) SetRank(rank int) { p.config.Rank = rank }

// SetConfig replaces the bounds of the pool.
func (p *Pool) SetConfig(config Config) {
	config.Rank = p.config.Rank
	p.config = config
	p.budget.ratio, p.budget.slack, p.budget.window = config.RetryRatio, config.RetrySlack, config.RetryWindow
}

// Offer takes a request and returns the decisions that follow.
func (p *Pool) Offer(now time.Time, t Ticket) []Decision {
	if t.Repeat {
		if !p.budget.allowRetry(now, p.config.Rank) {
			return []Decision{{Ticket: t.ID, Refusal: pimento.NotRun(pimento.ReasonRetryBudget, "the retry budget of the service is exhausted")}}
		}
	} else {
		p.budget.recordRequest(now)
	}
	if out := p.turnAway(now, &t); out != nil {
		return []Decision{{Ticket: t.ID, Refusal: out}}
	}
	p.enqueue(&t)
	return p.dispatch(now)
}

// Cancel forgets a request that waits no more.
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

// Adopt takes over a request that another process let go to an upstream.
func (p *Pool) Adopt(now time.Time, t Ticket, name pimento.UpstreamName) {
	if u, ok := p.upstreams[name]; ok {
		p.start(now, &t, u)
	}
}

// Tick refuses what cannot be served in time any more and lets go what can.
func (p *Pool) Tick(now time.Time) []Decision {
	for _, r := range p.running {
		if now.Sub(r.ticket.Deadline) > overdue {
			p.finish(now, r, Result{Kind: ResultCanceled})
		}
	}
	out := p.expire(now)
	return append(out, p.dispatch(now)...)
}

// overdue is how long after its deadline a request whose end was not told
// counts as ended.
const overdue = 500 * time.Millisecond

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Running returns how many requests have a permit.
func (p *Pool) Running() int { return len(p.running) }

// start notes that a request goes to an upstream.
func (p *Pool) start(now time.Time, t *Ticket, u *upstream) {
	r := &running{ticket: *t, upstream: u, since: now, noise: u.noise.value(now)}
	p.running[t.ID] = r
	u.running[t.ID] = r
	u.cold.recordSend(now)
}

func (p *Pool) finish(now time.Time, r *running, result Result) {
	delete(p.running, r.ticket.ID)
	delete(r.upstream.running, r.ticket.ID)
	p.learn(now, r, result)
}

// Done takes the end of a request that had a permit.
func (p *Pool) Done(now time.Time, id uint64, result Result) []Decision {
	r, ok := p.running[id]
	if !ok {
		return nil
	}
	p.finish(now, r, result)
	return p.dispatch(now)
}

// owner returns what is known of a key.
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
