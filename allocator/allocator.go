// Package allocator shares out the quotas of customers among the processes that issue
// permits. It is pure: times and reports come in as arguments, grants go out as values.
//
// A quota holds for all processes together. The leader has an [Allocator]: each customer
// with a quota has a bucket of credits there, one for each request, that fills at the rate
// of the quota. Processes report what they were asked for and what they have left, and
// get credits by their demand. A process has an [Account], in which each request that it
// admits spends a credit.
//
// Credits at the leader and at the processes together never exceed what may come at once,
// and new ones arise only at the rate of the quota. So the requests of any span of time are
// bounded whatever messages are lost: a grant is a running total, and a report says which
// total it has seen. The state is lost with the leader: the next one has an empty bucket
// and learns from the reports what processes still have.
//
// A process that does not hear of its leader goes on at about the rate that it had, for
// autonomyTime; the leader takes off what it may spend.
//
// # Usage
//
//	a := allocator.New(now)
//	a.SetQuotas(now, customers, tolerance)
//	a.SetDispatchers(now, ids)
//	a.Report(now, process, uses)
//	grants := a.Grants(now, process)
package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// stockTime is how much of its demand a process has credits for, so that it need not
	// wait for the next grant.
	stockTime = time.Second
	// passingTime is the same for a process that is no dispatcher, to which requests go for a
	// moment only.
	passingTime = 300 * time.Millisecond
	// stockShare is the share of all credits that the dispatchers may have in stock together
	// whatever their demand.
	stockShare = 0.5
	// refillShare is the share of its stock below which a process gets more.
	refillShare = 0.7
	// demandDecay is the time in which a measured demand falls to 1/e.
	demandDecay = time.Second
	// minDemand, in requests a second, is what counts as no demand.
	minDemand = 0.05
	// scarceTime is how much of the demand there must be credits for, so that they may be
	// stocked, and are not divided in proportion.
	scarceTime = 300 * time.Millisecond
	// plentyFactor is how many times as many there must be until they no longer count as
	// scarce.
	plentyFactor = 3
	// silentAfter is how long a process does not hear of the other side until it counts on
	// being cut off from it.
	silentAfter = 700 * time.Millisecond
	// autonomyTime is how long a process without a leader goes on.
	autonomyTime = 4 * time.Second
	// autonomyMargin is the rate at which it does so in relation to what it admitted before.
	autonomyMargin = 1.3
	// minAutonomy and maxAutonomy bound that rate, as parts of the even share of a
	// dispatcher.
	minAutonomy = 0.5
	maxAutonomy = 1.5
	// autonomyStart is the part of what is tolerated that all processes together may admit
	// at once as their leader falls silent.
	autonomyStart = 0.25
	// exhaustedMargin is by how much demand must exceed a quota for it to count as
	// exhausted.
	exhaustedMargin = 1.02
	// exhaustedShare is the share of all credits below which there must be few left for that.
	exhaustedShare = 0.2
	// MaxListed bounds the customers in one report or grant.
	MaxListed = 512
)

// Tolerance is by how much a customer may exceed its quota in any Window: by Overshoot, a
// part of it, and Slack requests.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Use is what a process reports of a customer.
type Use struct {
	Customer pimento.CustomerName `cbor:"1,keyasint"`
	Asked    int                  `cbor:"2,keyasint,omitempty"` // requests since the last report
	Credits  int                  `cbor:"3,keyasint,omitempty"` // that it has left
	Granted  uint64               `cbor:"4,keyasint,omitempty"` // credits that this leader has granted it, in all
	Returned int                  `cbor:"5,keyasint,omitempty"` // credits that nobody asked for, since the last report
	Waiting  int                  `cbor:"6,keyasint,omitempty"` // requests that wait for a credit now
}

// Grant is what a process gets for a customer.
type Grant struct {
	Customer  pimento.CustomerName `cbor:"1,keyasint"`
	Granted   uint64               `cbor:"2,keyasint,omitempty"` // credits from this leader, in all
	Exhausted bool                 `cbor:"3,keyasint,omitempty"` // the customer asks for more than its quota
	// Rate is how many credits a second the process may count on, if Exhausted.
	Rate float32 `cbor:"4,keyasint,omitempty"`
	// Scarce means that credits that nobody asks for should come back soon.
	Scarce bool `cbor:"5,keyasint,omitempty"`
}

// Change says that the quota of a customer has become exhausted, or no longer is.
type Change struct {
	Customer  pimento.CustomerName
	Exhausted bool
	Rate      float64 // of the quota
	Demand    float64 // in requests a second
}

// Allocator is the leader's part. It is not safe for concurrent use.
type Allocator struct {
	beganAt     time.Time
	quotas      map[pimento.CustomerName]*quota
	dispatchers []pimento.ProcessID // sorted
	heard       map[pimento.ProcessID]time.Time
	parts       map[pimento.ProcessID]map[pimento.CustomerName]*part
	heardShare  float64 // see updateHeardShare
	tickedAt    time.Time
	changes     []Change
}

// quota is the state of one customer.
type quota struct {
	rate      float64 // credits a second
	most      float64 // credits that there may be at once, here and at the processes
	credits   float64 // here
	held      float64 // that processes may have
	at        time.Time
	demand    rate
	exhausted bool
	scarce    bool // few credits are here; see noteExhaustion
}

// part is what one process has of a quota.
type part struct {
	quota      *quota
	granted    uint64 // in all
	seen       uint64 // of these, as last reported
	credits    int    // as last reported
	waiting    int    // as last reported
	demand     rate
	carry      float64 // fraction of a credit that it is owed
	reportedAt time.Time
	told       Grant // last
}

// held returns how many credits the process may have.
func (p *part) held() float64 { return float64(p.credits) + float64(p.granted-p.seen) }

// New returns an allocator of a term that begins now. Its buckets are empty, since the
// processes may have any credits of the one before.
func New(now time.Time) *Allocator {
	return &Allocator{
		beganAt: now, quotas: make(map[pimento.CustomerName]*quota), heard: make(map[pimento.ProcessID]time.Time),
		parts: make(map[pimento.ProcessID]map[pimento.CustomerName]*part),
	}
}

// SetQuotas replaces the customers.
func (a *Allocator) SetQuotas(now time.Time, customers []pimento.Customer, t Tolerance) {
	limited := make(map[pimento.CustomerName]bool)
	for i := range customers {
		c := &customers[i]
		if !c.IsLimited() {
			continue
		}
		limited[c.Name] = true
		q, ok := a.quotas[c.Name]
		if !ok {
			q = &quota{at: now}
			a.quotas[c.Name] = q
		}
		a.refill(now, q)
		q.rate, q.most = c.Rate, t.most(c)
	}
	maps.DeleteFunc(a.quotas, func(name pimento.CustomerName, _ *quota) bool { return !limited[name] })
	for _, parts := range a.parts {
		maps.DeleteFunc(parts, func(name pimento.CustomerName, _ *part) bool { return !limited[name] })
	}
}

// most returns how many credits there may be at once: the burst and half of what is
// tolerated. The other half is for what processes spend without a leader.
func (t Tolerance) most(c *pimento.Customer) float64 {
	return max(1, c.Burst+t.requests(c)/2)
}

// requests returns how many requests beyond the quota of a customer are tolerated.
func (t Tolerance) requests(c *pimento.Customer) float64 {
	return t.Overshoot*(c.Rate*t.Window.Seconds()+c.Burst) + t.Slack
}

// firstAutonomous returns what a process may admit as its leader falls silent: its share in a
// part of what is tolerated.
func (t Tolerance) firstAutonomous(c *pimento.Customer, dispatchers int) float64 {
	return min(1, autonomyStart*t.requests(c)/float64(max(1, dispatchers)))
}

// SetDispatchers replaces the processes that issue permits first.
func (a *Allocator) SetDispatchers(ids []pimento.ProcessID) {
	a.dispatchers = slices.Clone(ids)
	slices.Sort(a.dispatchers)
	a.dispatchers = slices.Compact(a.dispatchers)
	a.tickedAt = time.Time{}
}

// Dispatchers returns how many there are.
func (a *Allocator) Dispatchers() int { return len(a.dispatchers) }

// Forget drops a process that has ended, with its credits.
func (a *Allocator) Forget(id pimento.ProcessID) {
	delete(a.heard, id)
	for _, p := range a.parts[id] {
		p.quota.held -= p.held()
	}
	delete(a.parts, id)
}

// refill adds the credits of the time since the last call.
func (a *Allocator) refill(now time.Time, q *quota) {
	a.tick(now)
	if elapsed := now.Sub(q.at).Seconds(); elapsed > 0 {
		q.at = now
		q.credits = min(q.credits+q.rate*a.heardShare*elapsed, max(0, q.most-q.held))
	}
}

// tickInterval is the time between two calculations over all processes and customers.
const tickInterval = 100 * time.Millisecond

// tick drops the parts that processes have dropped as well, and notes which quotas are
// exhausted.
func (a *Allocator) tick(now time.Time) {
	if now.Sub(a.tickedAt) < tickInterval {
		return
	}
	a.tickedAt = now
	a.updateHeardShare(now)
	for id, parts := range a.parts {
		silent := now.Sub(a.heard[id]) > autonomyTime
		maps.DeleteFunc(parts, func(_ pimento.CustomerName, p *part) bool {
			if !silent && now.Sub(p.reportedAt) <= autonomyTime {
				return false
			}
			p.quota.held -= p.held()
			return true
		})
	}
	for name, q := range a.quotas {
		a.noteExhaustion(now, name, q)
	}
}

// updateHeardShare calculates the share of a quota that is left if each dispatcher that may go
// on without this leader admits as much as it can.
func (a *Allocator) updateHeardShare(now time.Time) {
	silent := 0
	for _, id := range a.dispatchers {
		since, ok := a.heard[id]
		if !ok {
			since = a.beganAt.Add(-silentAfter)
		}
		if silence := now.Sub(since); silence > silentAfter && silence <= autonomyTime+silentAfter {
			silent++
		}
	}
	a.heardShare = max(0, 1-maxAutonomy*float64(silent)/float64(max(1, len(a.dispatchers))))
}

// autonomousRate returns the requests a second that a dispatcher admits without a leader,
// by the rate of the quota and its demand of late.
func autonomousRate(quota, demand float64, dispatchers int) float64 {
	even := quota / float64(max(1, dispatchers))
	return min(max(autonomyMargin*demand, minAutonomy*even), maxAutonomy*even)
}

// Report records what a process reports. Its totals must be of grants of this term.
func (a *Allocator) Report(now time.Time, from pimento.ProcessID, uses []Use) {
	a.heard[from] = now
	parts := a.parts[from]
	if parts == nil {
		parts = make(map[pimento.CustomerName]*part)
		a.parts[from] = parts
	}
	for _, u := range uses {
		q, ok := a.quotas[u.Customer]
		if !ok {
			continue
		}
		a.refill(now, q)
		p, ok := parts[u.Customer]
		if !ok {
			p = &part{quota: q, granted: u.Granted, seen: u.Granted} // it was dropped here
			parts[u.Customer] = p
		}
		p.waiting = u.Waiting
		q.held -= p.held()
		p.credits, p.seen, p.reportedAt = u.Credits, min(u.Granted, p.granted), now
		q.held += p.held()
		q.credits += float64(u.Returned)
		p.demand.add(now, u.Asked)
		q.demand.add(now, u.Asked)
	}
}

// Grants returns what a process gets now that it has not seen yet.
func (a *Allocator) Grants(now time.Time, to pimento.ProcessID) []Grant {
	var out []Grant
	_, dispatches := slices.BinarySearch(a.dispatchers, to)
	for name, p := range a.parts[to] {
		q := p.quota
		a.refill(now, q)
		n := q.grant(now, p, a.stock(now, p, dispatches))
		p.granted += uint64(n)
		q.held += float64(n)
		g := Grant{Customer: name, Granted: p.granted, Exhausted: q.exhausted, Scarce: q.scarce}
		if q.exhausted {
			g.Rate = float32(q.rate * q.shareOf(now, p))
		}
		if p.seen < p.granted || g.Exhausted != p.told.Exhausted || g.Scarce != p.told.Scarce {
			out = append(out, g)
			p.told = g
		}
	}
	slices.SortFunc(out, func(x, y Grant) int { return cmp.Compare(x.Customer, y.Customer) })
	return out[:min(len(out), MaxListed)]
}

// shareOf returns the share of a process in the demand of a customer.
func (q *quota) shareOf(now time.Time, p *part) float64 {
	return min(1, p.demand.value(now)/max(q.demand.value(now), minDemand))
}

// stock returns how many credits a process should have. Those of one that is no dispatcher
// would soon lie idle.
func (a *Allocator) stock(now time.Time, p *part, dispatches bool) float64 {
	demand := p.demand.value(now)
	switch {
	case demand < minDemand:
		return 0
	case !dispatches:
		return math.Ceil(demand * passingTime.Seconds())
	}
	return math.Ceil(max(demand*stockTime.Seconds(), stockShare*p.quota.most/float64(len(a.dispatchers))))
}

// grant returns how many credits a process gets that should have a stock, and takes them from
// the bucket. Whole credits only: fractions at many processes would be of use to none.
func (q *quota) grant(now time.Time, p *part, stock float64) int {
	if stock == 0 {
		return 0
	}
	all := q.demand.value(now)
	held := p.held()
	if held > 0 && held >= refillShare*stock {
		return 0
	}
	give := min(stock-held, math.Floor(q.credits))
	few := q.credits < all*scarceTime.Seconds()
	switch {
	case few && all < q.rate: // enough for those who wait, so nobody gets a stock
		give = min(math.Floor(q.credits), float64(p.waiting)-held)
	case few:
		p.carry += max(0, q.credits) * q.shareOf(now, p)
		give = min(give, math.Floor(p.carry))
		p.carry = min(p.carry-max(give, 0), 1)
	}
	give = max(0, give)
	q.credits -= give
	return int(give)
}

// noteExhaustion records whether a customer asks for more than its quota, and whether its
// credits are scarce.
func (a *Allocator) noteExhaustion(now time.Time, name pimento.CustomerName, q *quota) {
	demand := q.demand.value(now)
	few := demand * scarceTime.Seconds()
	q.scarce = q.credits < few || q.scarce && q.credits < min(plentyFactor*few, q.most/2)
	exhausted := demand > q.rate*exhaustedMargin && (q.exhausted || q.credits+q.held < max(1, exhaustedShare*q.most))
	if exhausted == q.exhausted {
		return
	}
	q.exhausted = exhausted
	a.changes = append(a.changes, Change{Customer: name, Exhausted: exhausted, Rate: q.rate, Demand: demand})
}

// IsShort reports whether requests wait at a process for a credit, while there are some here.
func (a *Allocator) IsShort(id pimento.ProcessID) bool {
	for _, p := range a.parts[id] {
		if p.waiting > 0 && p.held() == 0 && p.quota.credits >= 1 {
			return true
		}
	}
	return false
}

// Changes returns the quotas that have become exhausted, or no longer are, since the last
// call.
func (a *Allocator) Changes() []Change {
	out := a.changes
	a.changes = nil
	return out
}

// Quotas describes the customers that ask for something, by their names.
func (a *Allocator) Quotas(now time.Time) []pimento.QuotaReport {
	var out []pimento.QuotaReport
	for name, q := range a.quotas {
		if d := q.demand.value(now); d >= minDemand {
			out = append(out, pimento.QuotaReport{Customer: name, Rate: q.rate, Demand: d, Exhausted: q.exhausted})
		}
	}
	slices.SortFunc(out, func(x, y pimento.QuotaReport) int { return cmp.Compare(x.Customer, y.Customer) })
	return out
}

// rate is an exponentially weighted rate of events.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, n int) {
	r.perSecond = r.value(now) + float64(n)/demandDecay.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/demandDecay.Seconds())
}
