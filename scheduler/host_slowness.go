package scheduler

import (
	"math"
	"time"
)

const (
	// reportDecay is the time constant in which a reported slowness loses its
	// weight, since neighbours on a host come and go several times a second.
	reportDecay = 250 * time.Millisecond
	// meanReportedAlpha is the weight of a new report in the mean of all.
	meanReportedAlpha = 0.02
)

// hostSlowness is how slow an upstream reports that its host is now: neighbours
// on the host slow work down for a moment. The time that a request took mixes
// this with the upstream's own slowness.
type hostSlowness struct {
	reported   float64 // relative to the mean of the reports at that time
	reportedAt time.Time
}

// update stores a report, relative to the mean of all upstreams.
func (h *hostSlowness) update(now time.Time, relative float64) {
	h.reported, h.reportedAt = relative, now
}

// value returns how slow the host is expected to be now; 1 is the average.
func (h *hostSlowness) value(now time.Time) float64 {
	if h.reportedAt.IsZero() {
		return 1
	}
	weight := math.Exp(-now.Sub(h.reportedAt).Seconds() / reportDecay.Seconds())
	return 1 + (h.reported-1)*weight
}

// relativeSlowness adds a reported slowness to the mean of all reports and
// returns it relative to that mean.
func (p *Pool) relativeSlowness(reported float64) float64 {
	if p.meanReportedSlowness == 0 {
		p.meanReportedSlowness = 1
	}
	p.meanReportedSlowness += meanReportedAlpha * (reported - p.meanReportedSlowness)
	return reported / p.meanReportedSlowness
}
