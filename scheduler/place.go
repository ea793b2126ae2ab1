package scheduler

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// crossCost is how much longer than in its own failure domain a request
	// may take elsewhere before it goes there, as a part of its work.
	crossCost = 0.1
	// crossBytes is the body in bytes whose way to another failure domain costs
	// as much again as its work.
	crossBytes = 16 << 10
	// fullCost is how much slower an upstream with all slots in use is.
	fullCost = 0.2
	// failCost weighs a failure rate against time.
	failCost = 3
)

// limit returns how many requests may be at an upstream at once. Requests of
// others, as it reported lately, take their part.
func (p *Pool) limit(now time.Time, u *upstream) int {
	n := u.Slots
	if now.Before(u.cold.until) {
		n = min(n, maxColdRunning)
	}
	return n
}

// open reports whether an upstream can take one more request now.
func (p *Pool) open(now time.Time, u *upstream) bool {
	return u.Usable && len(u.running) < p.limit(now, u) && u.health.allows(now, len(u.running)) && p.coldAllows(now, u)
}

// cost returns what a request would cost at an upstream: its expected time,
// longer where the way is longer or the upstream fails often.
func (p *Pool) cost(now time.Time, t *Ticket, u *upstream) time.Duration {
	d := float64(p.expectedDuration(now, t, u))
	f := 1 + failCost*u.health.failures + fullCost*float64(len(u.running))/float64(max(1, u.Slots))
	if u.Domain != t.Domain {
		f += crossCost + float64(max(0, t.Bytes))/crossBytes
	}
	return time.Duration(d * f)
}

// place returns the upstream for a request, nil if it should wait.
func (p *Pool) place(now time.Time, t *Ticket) *upstream {
	if p.config.Keyed {
		return p.placeKeyed(now, t)
	}
	high := p.upperRatio(t.Route)
	var best, late *upstream
	var bestCost, lateCost time.Duration
	for _, u := range p.upstreams {
		if !p.open(now, u) {
			continue
		}
		c := p.cost(now, t, u)
		if slices.Contains(t.Avoid, u.Name) {
			c *= 4 // better than none
		}
		if now.Add(scale(p.expectedDuration(now, t, u), high)).After(t.GoalAt) {
			if late == nil || less(c, lateCost, u, late) {
				late, lateCost = u, c
			}
			continue
		}
		if best == nil || less(c, bestCost, u, best) {
			best, bestCost = u, c
		}
	}
	if best != nil && best.Domain != t.Domain && t.Bytes >= crossBytes && p.worthWaiting(now, t, t.Domain) {
		return nil
	}
	if best != nil {
		return best
	}
	if late != nil && p.worthWaiting(now, t, "") {
		return nil
	}
	return late
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// less orders by cost, and by name so that the order is the same each time.
func less(a, b time.Duration, x, y *upstream) bool {
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// worthWaiting reports whether a request may still be answered in time by an
// upstream that is busy now, of the given failure domain or, with none, of any.
func (p *Pool) worthWaiting(now time.Time, t *Ticket, domain pimento.DomainName) bool {
	high := p.upperRatio(t.Route)
	for _, u := range p.upstreams {
		if domain != "" && u.Domain != domain {
			continue
		}
		if !u.Usable || now.Before(u.health.pausedUntil) || now.Before(u.cold.until) || len(u.running) < p.limit(now, u) {
			continue
		}
		d := p.expectedDuration(now, t, u)
		wait := d / time.Duration(max(1, u.Slots))
		if !now.Add(wait + scale(d, high)).After(t.GoalAt) {
			return true
		}
	}
	return false
}

// placeKeyed returns the owner of the request's key if it can take it now.
func (p *Pool) placeKeyed(now time.Time, t *Ticket) *upstream {
	o, ok := p.owner(t.Key)
	if !ok || !o.Ready {
		return nil
	}
	u, ok := p.upstreams[o.Upstream]
	if !ok || !p.open(now, u) {
		return nil
	}
	return u
}

// ownerOf returns the upstream that holds a request's key.
func (p *Pool) ownerOf(k pimento.Key) (*upstream, Owner) {
	o, ok := p.owner(k)
	if !ok {
		return nil, Owner{}
	}
	return p.upstreams[o.Upstream], o
}
