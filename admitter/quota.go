package admitter

import (
	"fmt"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/scheduler"
)

const (
	// creditWait is how long a request waits for a credit of its customer: that the leader
	// hears of it and answers takes two heartbeats, three if one is lost.
	creditWait = 600 * time.Millisecond
	// maxParked bounds the requests that wait for a credit.
	maxParked = 1024
	// unknownQuotaRetryAfter is the delay that callers are told if no credit has come and
	// the quota is not known to be exhausted.
	unknownQuotaRetryAfter = 400 * time.Millisecond
)

// parked is a request that waits for a credit of its customer.
type parked struct {
	key      poolKey
	ticket   scheduler.Ticket
	customer *pimento.Customer
	until    time.Time
}

// customer returns the customer with a name by the manifest known here, nil if it has none.
// The caller holds mu.
func (a *Admitter) customer(name pimento.CustomerName) *pimento.Customer {
	if name == "" || a.state.Customers == nil {
		return nil
	}
	c, _ := a.state.Customers.ByName(name)
	return c
}

// charge takes a credit for a ticket from the quota of its customer. If that says nothing
// yet, the ticket waits; false means that it may not be offered now. The caller holds mu,
// and runs the callbacks without it.
func (a *Admitter) charge(now time.Time, key poolKey, t scheduler.Ticket, w *waiter) (offer bool, callbacks []func()) {
	c := a.customer(t.Customer)
	if c == nil || w.charged {
		return true, nil
	}
	switch a.account.Ask(now, c) {
	case allocator.Admitted:
		w.customer = c
		return true, nil
	case allocator.Waiting:
		if len(a.parked) >= maxParked {
			a.account.Leave(c)
			d := scheduler.Decision{Ticket: t.ID, Refusal: unknownQuotaRefusal(c)}
			return false, a.applyDecisions(now, a.pool(key), []scheduler.Decision{d})
		}
		until := now.Add(creditWait)
		if t.Deadline.Before(until) {
			until = t.Deadline
		}
		a.parked = append(a.parked, parked{key: key, ticket: t, customer: c, until: until})
		return false, nil
	default:
		d := scheduler.Decision{Ticket: t.ID, Refusal: a.quotaRefusal(now, c)}
		return false, a.applyDecisions(now, a.pool(key), []scheduler.Decision{d})
	}
}

// quotaRefusal returns the refusal of a request beyond the quota of its customer. The caller
// holds mu.
func (a *Admitter) quotaRefusal(now time.Time, c *pimento.Customer) *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonQuota, fmt.Sprintf("customer %s asks for more than its quota of %g requests a second", c.Name, c.Rate))
	out.RetryAfter = a.account.RetryAfter(now, c.Name)
	return out
}

// unknownQuotaRefusal returns the refusal of a request for whose customer no credit has come.
func unknownQuotaRefusal(c *pimento.Customer) *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonQuotaUnknown, fmt.Sprintf("no part of the quota of customer %s has come from the leader", c.Name))
	out.RetryAfter = unknownQuotaRetryAfter
	return out
}

// admitParked offers the requests that wait for a credit, in their order, as far as there are
// credits, and refuses those that have waited too long. The caller holds mu, and runs the
// callbacks without it.
func (a *Admitter) admitParked(now time.Time) []func() {
	var callbacks []func()
	kept := a.parked[:0]
	for _, x := range a.parked {
		p := a.pool(x.key)
		w, waits := p.waiting[x.ticket.ID]
		if !waits { // its caller has left
			a.account.Leave(x.customer)
			continue
		}
		switch a.account.Retry(now, x.customer) {
		case allocator.Admitted:
			w.customer = x.customer
			callbacks = append(callbacks, a.applyDecisions(now, p, p.machine.Offer(now, x.ticket))...)
		case allocator.Exhausted:
			d := scheduler.Decision{Ticket: x.ticket.ID, Refusal: a.quotaRefusal(now, x.customer)}
			callbacks = append(callbacks, a.applyDecisions(now, p, []scheduler.Decision{d})...)
		default:
			if now.Before(x.until) {
				kept = append(kept, x)
				continue
			}
			a.account.Leave(x.customer)
			d := scheduler.Decision{Ticket: x.ticket.ID, Refusal: unknownQuotaRefusal(x.customer)}
			callbacks = append(callbacks, a.applyDecisions(now, p, []scheduler.Decision{d})...)
		}
	}
	clear(a.parked[len(kept):])
	a.parked = kept
	return callbacks
}

// refund returns the credit of a request that gets no permit. The caller holds mu.
func (a *Admitter) refund(w *waiter) {
	if w.customer != nil {
		a.account.Refund(w.customer)
		w.customer = nil
	}
}

// ApplyCredits records what the leader of an epoch grants of the quotas of customers, and
// admits the requests that waited for it.
func (a *Admitter) ApplyCredits(epoch uint64, dispatchers int, grants []allocator.Grant) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	a.account.Apply(now, epoch, dispatchers, grants)
	callbacks := a.admitParked(now)
	a.mu.Unlock()
	runAll(callbacks)
}

// SetTolerance replaces by how much customers may exceed their quotas.
func (a *Admitter) SetTolerance(t allocator.Tolerance) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Tolerance = t
}
