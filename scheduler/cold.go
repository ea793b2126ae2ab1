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
}

func (c *cold) recordSend(now time.Time) { c.lastSentAt = now }

// nextColdSend returns when the next request may be sent to a cold upstream.
// The rate is for all processes together and backups may send beside the
// dispatcher, so each uses half the rate of the process before it in the
// preference list.
func (p *Pool) nextColdSend(u *upstream) time.Time {
	rate := p.config.ColdRate
	if rate <= 0 {
		rate = defaultColdRate
	}
	rate /= float64(int(1) << min(p.config.Rank, 8))
	return u.cold.lastSentAt.Add(time.Duration(float64(time.Second) / rate))
}

// coldAllows reports whether a request may be sent to an upstream that may be
// cold.
func (p *Pool) coldAllows(now time.Time, u *upstream) bool {
	if !now.Before(u.cold.until) {
		return true
	}
	return len(u.running) < maxColdRunning && !now.Before(p.nextColdSend(u))
}
