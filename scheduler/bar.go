package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Bar excludes one run of an upstream for the requests of one process, to which its
// answers have said that it leaves or wants nothing for a while.
type Bar struct {
	Upstream pimento.UpstreamName
	Started  time.Time // in milliseconds
	Until    time.Time // zero: for as long as the run lasts
}

// maxBarSpread bounds the random spread of the return of callers after a bar.
const maxBarSpread = 250 * time.Millisecond

// bar returns the bar of a request at an upstream.
func (t *Ticket) bar(now time.Time, u *upstream) (Bar, bool) {
	for _, b := range t.Barred {
		inForce := b.Until.IsZero() || now.Before(b.Until)
		if inForce && b.Upstream == u.Name && b.Started.UnixMilli() == u.Started.UnixMilli() {
			return b, true
		}
	}
	return Bar{}, false
}

// isBarred reports whether a request may not be sent to an upstream.
func (t *Ticket) isBarred(now time.Time, u *upstream) bool {
	_, barred := t.bar(now, u)
	return barred
}

// Bar adds a bar to requests that wait, and returns the decisions that follow.
func (p *Pool) Bar(now time.Time, ids []uint64, b Bar) []Decision {
	found := false
	for _, t := range p.waiting {
		if slices.Contains(ids, t.ID) {
			t.addBar(b)
			found = true
		}
	}
	if !found {
		return nil
	}
	return p.expire(now)
}

// addBar adds a bar, or replaces that of the same upstream.
func (t *Ticket) addBar(b Bar) {
	t.Barred = slices.DeleteFunc(slices.Clone(t.Barred), func(x Bar) bool { return x.Upstream == b.Upstream })
	t.Barred = append(t.Barred, b)
}

// checkBars returns the refusal of a request that may not be sent to any upstream that
// could serve it, nil if there is another.
func (p *Pool) checkBars(now time.Time, t *Ticket) *pimento.OutcomeError {
	if len(t.Barred) == 0 {
		return nil
	}
	if p.config.Keyed {
		return p.checkOwnerBar(now, t)
	}
	var first Bar
	found := false
	for _, u := range p.upstreams {
		if !u.Usable {
			continue
		}
		b, barred := t.bar(now, u)
		if !barred {
			return nil
		}
		if !found || first.Until.IsZero() || !b.Until.IsZero() && b.Until.Before(first.Until) {
			first, found = b, true
		}
	}
	if !found {
		return nil
	}
	return p.refuseBarred(now, first)
}

// checkOwnerBar is checkBars for a request that only the owner of its key may run. If
// that leaves, the key gets another owner soon.
func (p *Pool) checkOwnerBar(now time.Time, t *Ticket) *pimento.OutcomeError {
	u, _ := p.ownerUpstream(t.Key)
	if u == nil {
		return nil
	}
	b, barred := t.bar(now, u)
	if !barred || b.Until.IsZero() && now.Sub(t.Arrived) < maxOwnerWait {
		return nil
	}
	return p.refuseBarred(now, b)
}

// refuseBarred returns a refusal that says when the bar ends. Callers wait for that, so
// it is not bounded as other delays are.
func (p *Pool) refuseBarred(now time.Time, b Bar) *pimento.OutcomeError {
	if b.Until.IsZero() {
		return p.refuse(maxOwnerWait, fmt.Sprintf("the upstream %s leaves", b.Upstream))
	}
	left := b.Until.Sub(now)
	out := p.refuse(left, fmt.Sprintf("the upstream %s wants nothing from the process that asks for %s", b.Upstream, left.Round(time.Millisecond)))
	out.RetryAfter = left + min(out.RetryAfter, maxBarSpread)
	return out
}
