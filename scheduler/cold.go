package scheduler

import "time"

const (
	// coldSlowness is how many times longer work is expected to take at a cold
	// upstream.
	coldSlowness = 2
	// maxColdRunning is the most requests at once at a cold upstream.
	maxColdRunning = 2
	// defaultColdRate is the number of requests a second for a cold upstream
	// where operators set none.
	defaultColdRate = 2
)

// cold spaces the requests to an upstream that has just started. Without it,
// many callers that return at once would overload a cold upstream, which
// crashes under more than a few requests a second.
type cold struct {
	until      time.Time
	lastSentAt time.Time
	askedAt    time.Time // since when requests for the cold upstream have come
}

func (c *cold) recordSend(now time.Time) { c.lastSentAt = now }

// coldRate returns how many requests a second this process may send to a cold upstream.
func (p *Pool) coldRate() float64 {
	if p.config.ColdRate <= 0 {
		return defaultColdRate * p.config.Share
	}
	return p.config.ColdRate * p.config.Share
}

// nextColdSend returns when the next request may be sent to a cold upstream. The
// dispatcher's first one may be sent at once; that of another process is spread over its
// interval.
func (p *Pool) nextColdSend(u *upstream) time.Time {
	interval := float64(time.Second) / p.coldRate()
	next := u.cold.lastSentAt.Add(time.Duration(interval))
	if p.config.Share >= 1 {
		return next
	}
	return later(next, u.cold.askedAt.Add(time.Duration(p.config.Phase*interval)))
}

// coldAllows reports whether a request may be sent to an upstream that may be
// cold.
func (p *Pool) coldAllows(now time.Time, u *upstream) bool {
	if !now.Before(u.cold.until) {
		u.cold.askedAt = time.Time{}
		return true
	}
	if u.cold.askedAt.IsZero() {
		u.cold.askedAt = now
	}
	return len(u.running) < maxColdRunning && !now.Before(p.nextColdSend(u))
}
