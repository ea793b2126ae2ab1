package dispatcher

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of a request rate.
	rateWindow = 10 * time.Second
	// minRate is the request rate in requests a second below which a slice is
	// not reported.
	minRate = 0.5
)

// meter is an exponentially weighted request rate.
type meter struct {
	rate float64 // requests a second at the time at
	at   time.Time
}

// add counts one request.
func (m *meter) add(now time.Time) {
	m.rate = m.value(now) + 1/rateWindow.Seconds()
	m.at = now
}

// value returns the rate in requests a second.
func (m *meter) value(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}
