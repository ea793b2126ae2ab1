package scheduler

import (
	"fmt"
	"time"

	"pimentorelay.example/pimento"
)

// SetLimits replaces the limits that upstreams name, and returns the decisions that
// follow: what waits beyond a limit is refused.
func (p *Pool) SetLimits(now time.Time, limits map[pimento.UpstreamName]pimento.RateLimit) []Decision {
	for name, u := range p.upstreams {
		rate, limited := limits[name]
		switch {
		case limited:
			u.pacer.SetLimit(now, rate, p.config.Share)
		case u.pacer.Limited():
			u.pacer.Clear()
		}
	}
	if len(limits) == 0 || len(p.waiting) == 0 {
		return nil
	}
	return p.expire(now)
}

// withinLimit returns a throughput, in requests a second, or the limit of an
// upstream if that is lower.
func withinLimit(u *upstream, throughput float64) float64 {
	if u.pacer.Limited() {
		return min(throughput, u.pacer.Rate())
	}
	return throughput
}

// slotsWithinLimit returns how many requests may be at an upstream now, those that
// are there included.
func (p *Pool) slotsWithinLimit(now time.Time, u *upstream) int {
	if u.pacer.Limited() && !u.pacer.Allows(now) {
		return len(u.running)
	}
	return p.concurrencyLimit(now, u)
}

// refuseBeyondLimit returns the refusal of a request for a key whose holder is
// limited, n requests being served before and including this one.
func (p *Pool) refuseBeyondLimit(now time.Time, u *upstream, n int) *pimento.OutcomeError {
	return p.refuse(u.pacer.Book(now, n), fmt.Sprintf("the holder of the key, %s, takes %.3g requests a second", u.Name, u.pacer.Rate()))
}

// exceedsLimit reports whether a request for a key of a limited upstream cannot be
// answered in time, n requests being served before and including this one.
func (p *Pool) exceedsLimit(now time.Time, t *Ticket, u *upstream, n int) bool {
	wait := u.pacer.Wait(now, n)
	return wait > 0 && now.Add(wait+p.expectedDuration(now, t, u)).After(t.Deadline)
}
