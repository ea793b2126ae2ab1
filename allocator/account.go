package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// idleAfter is how long credits are kept that nobody asks for.
	idleAfter = 2 * time.Second
	// scarceIdleAfter is the same while credits are scarce.
	scarceIdleAfter = 300 * time.Millisecond
	// autonomyBurst is how much of its rate a process without a leader may admit at once.
	autonomyBurst = 500 * time.Millisecond
	// maxBooked bounds the callers that are given different times to come back.
	maxBooked = 64
	// maxRetryAfter and minRetryAfter bound the time after which they are told to.
	maxRetryAfter = 4 * time.Second
	minRetryAfter = 50 * time.Millisecond
	// reportInterval is how often a process reports a customer of which nothing has changed
	// but that has credits.
	reportInterval = time.Second
)

// Verdict is what an account says of a request.
type Verdict string

// The verdicts.
const (
	// Admitted means that the request has spent a credit, or needs none.
	Admitted Verdict = "Admitted"
	// Waiting means that there is no credit now; the next grant may bring one.
	Waiting Verdict = "Waiting"
	// Exhausted means that the customer asks for more than its quota.
	Exhausted Verdict = "Exhausted"
)

// Account holds the credits of one process. The zero value has none. It is not safe for
// concurrent use.
type Account struct {
	Tolerance Tolerance

	balances    map[pimento.CustomerName]*balance
	epoch       uint64 // of the leader that granted last
	grantedAt   time.Time
	dispatchers int
}

// balance is what the process has for one customer.
type balance struct {
	credits   int
	granted   uint64 // by the present leader, in all
	exhausted bool
	scarce    bool
	rate      float64 // credits a second that it may count on, if exhausted

	asked      int // since the last report
	waiting    int // requests that wait for a credit
	returned   int // credits, since the last report
	askedAt    time.Time
	spent      rate
	booked     float64 // callers that were told to come back and may still do so
	bookedAt   time.Time
	autonomous float64 // requests that may be admitted without a leader
	at         time.Time
	dirty      bool // the leader does not know the present state
	reportedAt time.Time
}

func (a *Account) balance(name pimento.CustomerName) *balance {
	b, ok := a.balances[name]
	if !ok {
		if a.balances == nil {
			a.balances = make(map[pimento.CustomerName]*balance)
		}
		b = &balance{}
		a.balances[name] = b
	}
	return b
}

// Ask decides on a new request of a customer, and spends a credit if it is admitted.
func (a *Account) Ask(now time.Time, c *pimento.Customer) Verdict {
	if !c.IsLimited() {
		return Admitted
	}
	b := a.balance(c.Name)
	b.asked++
	b.askedAt = now
	b.dirty = true
	v := a.decide(now, c, b)
	if v == Waiting {
		b.waiting++
	}
	return v
}

// Retry decides again on a request that waits.
func (a *Account) Retry(now time.Time, c *pimento.Customer) Verdict {
	if !c.IsLimited() {
		return Admitted
	}
	b := a.balance(c.Name)
	v := a.decide(now, c, b)
	if v != Waiting {
		b.leave()
	}
	return v
}

// Leave records that a request no longer waits.
func (a *Account) Leave(c *pimento.Customer) { a.balance(c.Name).leave() }

func (b *balance) leave() {
	b.waiting--
	b.dirty = true
}

// decide decides on a request, and spends a credit if it is admitted.
func (a *Account) decide(now time.Time, c *pimento.Customer, b *balance) Verdict {
	b.askedAt = now
	switch {
	case b.credits > 0:
		b.credits--
		b.dirty = true
	case a.spendAutonomously(now, c, b):
	case b.exhausted && now.Sub(a.grantedAt) <= silentAfter:
		return Exhausted
	default:
		return Waiting
	}
	b.spent.add(now, 1)
	return Admitted
}

// spendAutonomously admits a request without a credit if the leader is silent, which
// bounds the rate of these.
func (a *Account) spendAutonomously(now time.Time, c *pimento.Customer, b *balance) bool {
	silence := now.Sub(a.grantedAt)
	if a.grantedAt.IsZero() || silence <= silentAfter || silence > autonomyTime {
		b.at, b.autonomous = now, a.Tolerance.firstAutonomous(c, a.dispatchers)
		return false
	}
	rate := autonomousRate(c.Rate, b.spent.value(now), a.dispatchers)
	from := b.at
	if silentAt := a.grantedAt.Add(silentAfter); from.Before(silentAt) {
		from = silentAt
	}
	b.autonomous = min(b.autonomous+rate*now.Sub(from).Seconds(), max(1, rate*autonomyBurst.Seconds()))
	b.at = now
	if b.autonomous < 1 {
		return false
	}
	b.autonomous--
	return true
}

// Refund returns the credit of a request that certainly does not run.
func (a *Account) Refund(c *pimento.Customer) {
	if !c.IsLimited() {
		return
	}
	b := a.balance(c.Name)
	b.credits++
	b.dirty = true
}

// RetryAfter returns when a caller beyond the quota should come back: behind those that
// were told to come back before.
func (a *Account) RetryAfter(now time.Time, name pimento.CustomerName) time.Duration {
	b := a.balance(name)
	rate := max(b.rate, minDemand)
	b.booked = max(0, b.booked-rate*now.Sub(b.bookedAt).Seconds())
	b.bookedAt = now
	b.booked = min(b.booked+1, maxBooked)
	wait := time.Duration(b.booked / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Apply records the grants of the leader of an epoch, which counts that many dispatchers.
func (a *Account) Apply(now time.Time, epoch uint64, dispatchers int, grants []Grant) {
	if epoch < a.epoch {
		return
	}
	if epoch > a.epoch {
		a.epoch = epoch
		for _, b := range a.balances { // the leader does not know what is left
			b.granted, b.exhausted, b.scarce, b.dirty = 0, false, false, true
		}
	}
	a.grantedAt, a.dispatchers = now, dispatchers
	for _, g := range grants {
		b := a.balance(g.Customer)
		if g.Granted > b.granted {
			b.credits += int(g.Granted - b.granted)
			b.granted = g.Granted
		}
		b.exhausted, b.scarce, b.rate, b.dirty = g.Exhausted, g.Scarce, float64(g.Rate), true
	}
}

// Epoch returns the epoch of the leader that granted last.
func (a *Account) Epoch() uint64 { return a.epoch }

// Uses returns what the leader does not know yet: of the customers with most requests if
// there are more than MaxListed.
func (a *Account) Uses(now time.Time) []Use {
	a.prune(now)
	var out []Use
	for name, b := range a.balances {
		if b.dirty || b.waiting > 0 || b.credits > 0 && now.Sub(b.reportedAt) >= reportInterval {
			out = append(out, Use{Customer: name, Asked: b.asked, Credits: b.credits, Granted: b.granted, Returned: b.returned, Waiting: b.waiting})
		}
	}
	slices.SortFunc(out, func(x, y Use) int { return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Customer, y.Customer)) })
	out = out[:min(len(out), MaxListed)]
	for _, u := range out {
		b := a.balances[u.Customer]
		b.asked, b.returned, b.dirty, b.reportedAt = 0, 0, false, now
	}
	return out
}

// prune drops credits that nobody asks for, and all of a process that has been without a
// leader for too long.
func (a *Account) prune(now time.Time) {
	cutOff := now.Sub(a.grantedAt) > autonomyTime
	maps.DeleteFunc(a.balances, func(_ pimento.CustomerName, b *balance) bool {
		unused := now.Sub(b.askedAt)
		idle := unused > idleAfter || b.scarce && unused > scarceIdleAfter
		if (cutOff || idle) && b.credits > 0 {
			if !cutOff { // else the leader counts them as spent
				b.returned += b.credits
			}
			b.credits, b.dirty = 0, true
		}
		// The leader has forgotten it as well by then.
		return idle && !b.dirty && b.waiting == 0 && min(unused, now.Sub(b.reportedAt)) > 2*autonomyTime
	})
}

// Credits returns how many credits there are for a customer.
func (a *Account) Credits(name pimento.CustomerName) int {
	if b, ok := a.balances[name]; ok {
		return b.credits
	}
	return 0
}
