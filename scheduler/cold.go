package scheduler

import "time"

const (
	// coldSlowness is how many times longer work is expected to take at a cold
	// upstream.
	coldSlowness = 2
	// coldRunning is the most requests at once at a cold upstream.
	coldRunning = 2
	// defaultColdRate is the requests a second for a cold upstream where
	// operators name none.
	defaultColdRate = 2
)

// cold spaces the requests to an upstream that has just started. The load that
// it answers: many callers return at once to upstreams that fall over under
// more than a few requests a second.
type cold struct {
	until  time.Time
	sentAt time.Time
}

func (c *cold) sent(now time.Time) { c.sentAt = now }

// readyAt returns when the next request may go to a cold upstream. The bound
// holds for all processes together, so a process that stands in takes half of
// what the one before it in line takes.
func (p *Pool) coldReadyAt(u *upstream) time.Time {
	rate := p.config.ColdRate
	if rate <= 0 {
		rate = defaultColdRate
	}
	rate /= float64(int(1) << min(p.config.Rank, 8))
	return u.cold.sentAt.Add(time.Duration(float64(time.Second) / rate))
}

// coldAllows reports whether a request may go to an upstream that may be cold.
func (p *Pool) coldAllows(now time.Time, u *upstream) bool {
	if !now.Before(u.cold.until) {
		return true
	}
	return len(u.running) < coldRunning && !now.Before(p.coldReadyAt(u))
}
