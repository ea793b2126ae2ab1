package scheduler

import (
	"math"
	"time"
)

const (
	// estimateValidity is how long what was measured at an upstream holds while it gets
	// no requests.
	estimateValidity = 2 * time.Second
	// estimateDecay is the time constant in which it loses its weight after that.
	estimateDecay = 1500 * time.Millisecond
	// idleBonus is the most by which the lack of measurements lowers the cost of an
	// upstream: only requests can renew them.
	idleBonus = 0.2
)

// trust returns the weight, from 1 down to 0, of what was measured at an upstream.
func (u *upstream) trust(now time.Time) float64 {
	if len(u.running) > 0 {
		return 1
	}
	age := now.Sub(u.measuredAt) - estimateValidity
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / estimateDecay.Seconds())
}

// trustedSlowness returns how many times longer than usual requests are expected to take.
func (u *upstream) trustedSlowness(now time.Time) float64 {
	return 1 + (u.slowness.value()-1)*u.trust(now)
}

// beginMeasuring records that a request begins. What has lost its weight by then does not
// get it back.
func (u *upstream) beginMeasuring(now time.Time) {
	u.slowness.factor = u.trustedSlowness(now)
	u.health.failures *= u.trust(now)
	u.measuredAt = now
}
