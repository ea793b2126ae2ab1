package scheduler

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Terms of the cost of a request at an upstream, as parts of its expected
// duration.
const (
	// crossDomainPenalty is added for an upstream in another failure domain.
	crossDomainPenalty = 0.1
	// crossDomainBytes is the body size whose transfer to another failure domain
	// adds a penalty of 1.
	crossDomainBytes = 16 << 10
	// dialPenalty is added for an upstream to which the process has no connection: opening
	// one takes two trips and a moment of a slot.
	dialPenalty = 0.1
	// busyPenalty is added in proportion to the share of slots in use.
	busyPenalty = 0.2
	// failurePenalty is added in proportion to the failure rate.
	failurePenalty = 3
	// avoidPenalty multiplies the cost of an upstream that the request should
	// avoid: it is still better than none.
	avoidPenalty = 4
)

// concurrencyLimit returns how many requests may be at an upstream at once.
func (p *Pool) concurrencyLimit(now time.Time, u *upstream) int {
	n := u.Slots
	if now.Before(u.cold.until) {
		n = min(n, maxColdRunning)
	}
	return n
}

// canAccept reports whether an upstream can take one more request now.
func (p *Pool) canAccept(now time.Time, u *upstream) bool {
	return u.Usable && len(u.running) < p.concurrencyLimit(now, u) && u.health.allows(now, len(u.running)) &&
		p.coldAllows(now, u) && u.pacer.Allows(now)
}

// cost returns the expected duration of a request at an upstream, raised by the
// penalties for load, failures and another failure domain, and lowered for lack of
// measurements.
func (p *Pool) cost(now time.Time, t *Ticket, u *upstream) time.Duration {
	d := float64(p.expectedDuration(now, t, u))
	trust := u.trust(now)
	f := 1 - idleBonus*(1-trust) + failurePenalty*u.health.failures*trust + busyPenalty*float64(len(u.running))/float64(max(1, u.Slots))
	if u.Domain != t.Domain {
		f += crossDomainPenalty + float64(max(0, t.BodyBytes))/crossDomainBytes
	}
	if !slices.Contains(t.Warm, u.Name) {
		f += dialPenalty
	}
	return time.Duration(d * f)
}

// selectUpstream returns the upstream for a request, nil if it should wait.
func (p *Pool) selectUpstream(now time.Time, t *Ticket) *upstream {
	if p.config.Keyed {
		return p.selectOwner(now, t)
	}
	upper := p.upperRatio(t.Route)
	var best, late *upstream
	var bestCost, lateCost time.Duration
	for _, u := range p.upstreams {
		if !p.canAccept(now, u) || t.isBarred(now, u) {
			continue
		}
		c := p.cost(now, t, u)
		if slices.Contains(t.Avoid, u.Name) {
			c *= avoidPenalty
		}
		if now.Add(scale(p.expectedDuration(now, t, u), upper)).After(t.GoalAt) {
			if late == nil || less(c, lateCost, u, late) {
				late, lateCost = u, c
			}
			continue
		}
		if best == nil || less(c, bestCost, u, best) {
			best, bestCost = u, c
		}
	}
	if best != nil && best.Domain != t.Domain && t.BodyBytes >= crossDomainBytes && p.shouldWait(now, t, t.Domain) {
		return nil
	}
	if best != nil {
		return best
	}
	if late != nil && p.shouldWait(now, t, "") {
		return nil
	}
	return late
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// less orders by cost, then by name so that the order is deterministic.
func less(a, b time.Duration, x, y *upstream) bool {
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// shouldWait reports whether an upstream that is at its limit now, of the given
// failure domain or of any if empty, may still answer a request within its goal.
func (p *Pool) shouldWait(now time.Time, t *Ticket, domain pimento.DomainName) bool {
	upper := p.upperRatio(t.Route)
	for _, u := range p.upstreams {
		if domain != "" && u.Domain != domain {
			continue
		}
		if !u.Usable || t.isBarred(now, u) || now.Before(u.health.pausedUntil) || now.Before(u.cold.until) || len(u.running) < p.concurrencyLimit(now, u) {
			continue
		}
		d := p.expectedDuration(now, t, u)
		wait := d / time.Duration(max(1, u.Slots))
		if !now.Add(wait + scale(d, upper)).After(t.GoalAt) {
			return true
		}
	}
	return false
}

// selectOwner returns the owner of the request's key, nil if it cannot take the
// request now.
func (p *Pool) selectOwner(now time.Time, t *Ticket) *upstream {
	o, ok := p.owner(t.Key)
	if !ok || !o.Ready {
		return nil
	}
	u, ok := p.upstreams[o.Upstream]
	if !ok || !p.canAccept(now, u) || t.isBarred(now, u) {
		return nil
	}
	return u
}

// ownerUpstream returns the upstream that owns a key and its entry; nil if
// there is none.
func (p *Pool) ownerUpstream(k pimento.Key) (*upstream, Owner) {
	o, ok := p.owner(k)
	if !ok {
		return nil, Owner{}
	}
	return p.upstreams[o.Upstream], o
}
