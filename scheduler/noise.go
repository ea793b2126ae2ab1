package scheduler

import (
	"math"
	"time"
)

const (
	// reportFade is the time constant in which a report of an upstream's
	// slowness loses its meaning, since neighbours come and go several times a
	// second.
	reportFade = 250 * time.Millisecond
	// meanShare is the weight of a new report in the mean of all.
	meanShare = 0.02
)

// noise is how slow an upstream says that its machine is now. The load that it
// answers: neighbours on the machine that slow work down for a moment. What is
// measured of a request mixes that with the upstream's own speed.
type noise struct {
	slowness float64 // as last reported, relative to the mean of the time
	at       time.Time
}

// take takes in a report, relative to the mean of all upstreams.
func (n *noise) take(now time.Time, slowness float64) {
	n.slowness, n.at = slowness, now
}

// value returns how slow the machine is expected to be now, 1 as on average.
func (n *noise) value(now time.Time) float64 {
	if n.at.IsZero() {
		return 1
	}
	weight := math.Exp(-now.Sub(n.at).Seconds() / reportFade.Seconds())
	return 1 + (n.slowness-1)*weight
}

// relative turns a reported slowness into one relative to the mean of all
// reports so far.
func (p *Pool) relative(slowness float64) float64 {
	if p.meanSlowness == 0 {
		p.meanSlowness = 1
	}
	p.meanSlowness += meanShare * (slowness - p.meanSlowness)
	return slowness / p.meanSlowness
}
