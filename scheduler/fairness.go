package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// fairUse is the share of the capacity of a pool that must be asked for before
	// customers are kept to their fair share of it.
	fairUse = 0.9
	// fairBurst is how much of its share a customer may use at once.
	fairBurst = 500 * time.Millisecond
	// fairInterval is the time between two calculations of the level.
	fairInterval = 100 * time.Millisecond
	// minCustomerRate, in requests a second, is the rate below which a customer is
	// forgotten.
	minCustomerRate = 0.01
)

// fairness keeps customers apart where they ask for more than a pool can serve: requests
// beyond the fair share of their customer come after those of all others. A customer that
// sends many times its usual then waits for itself.
//
// The share is weighted max-min fair: what customers leave that ask for little goes to the
// others by their weight, which is the rate of their quota.
type fairness struct {
	customers map[pimento.CustomerName]*customerLoad
	level     float64 // share in relation to the weight; zero: no bound
	leveledAt time.Time
}

// customerLoad is the load of one customer on a pool.
type customerLoad struct {
	asked  rate
	quota  float64 // requests a second; zero: none
	weight float64
	tokens float64 // requests within its share that may come at once
	at     time.Time
}

// exceeds records a request of a customer with a quota, zero if it has none, and reports
// whether it is beyond the share of that customer in a capacity, in requests a second.
func (f *fairness) exceeds(now time.Time, name pimento.CustomerName, quota float64, capacity func() float64) bool {
	if name == "" {
		return false
	}
	c, ok := f.customers[name]
	if !ok {
		if f.customers == nil {
			f.customers = make(map[pimento.CustomerName]*customerLoad)
		}
		c = &customerLoad{at: now, tokens: math.Inf(1)}
		f.customers[name] = c
	}
	c.quota = quota
	c.asked.add(now)
	if now.Sub(f.leveledAt) >= fairInterval {
		f.leveledAt = now
		f.calculateLevel(now, capacity())
	}
	return !c.take(now, f.level*c.weight)
}

// take uses one of the tokens of a customer with a share, zero if that has no bound, and
// reports whether it had one.
func (c *customerLoad) take(now time.Time, share float64) bool {
	if share == 0 {
		c.tokens, c.at = math.Inf(1), now
		return true
	}
	c.tokens = min(c.tokens+share*now.Sub(c.at).Seconds(), max(1, share*fairBurst.Seconds()))
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// calculateLevel sets the level at which all customers together use the capacity.
func (f *fairness) calculateLevel(now time.Time, capacity float64) {
	maps.DeleteFunc(f.customers, func(_ pimento.CustomerName, c *customerLoad) bool { return c.asked.value(now) < minCustomerRate })
	f.level = 0
	total := f.weigh(now)
	if total <= fairUse*capacity {
		return
	}
	list := slices.SortedFunc(maps.Values(f.customers), func(x, y *customerLoad) int {
		return cmp.Compare(x.asked.value(now)/x.weight, y.asked.value(now)/y.weight)
	})
	weights := 0.0
	for _, c := range list {
		weights += c.weight
	}
	left := fairUse * capacity
	for _, c := range list {
		d := c.asked.value(now)
		if d/c.weight >= left/weights {
			f.level = left / weights
			return
		}
		left, weights = left-d, weights-c.weight
	}
}

// weigh sets the weights of the customers, and returns what they ask for together. One without
// a quota counts as much as the mean of the others.
func (f *fairness) weigh(now time.Time) float64 {
	total, quotas, limited := 0.0, 0.0, 0
	for _, c := range f.customers {
		total += c.asked.value(now)
		if c.quota > 0 {
			quotas += c.quota
			limited++
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = quotas / float64(limited)
	}
	for _, c := range f.customers {
		c.weight = c.quota
		if c.quota == 0 {
			c.weight = mean
		}
	}
	return total
}

// capacity returns how many requests a second the upstreams of a pool can complete over a
// longer time.
func (p *Pool) capacity() float64 {
	mean := p.overallServiceTime.mean
	if mean == 0 {
		mean = initialServiceTime
	}
	sum := 0.0
	for _, u := range p.upstreams {
		if u.Usable {
			sum += withinLimit(u, float64(u.Slots)/(mean.Seconds()*u.longTermSlowness.value()))
		}
	}
	return sum
}
