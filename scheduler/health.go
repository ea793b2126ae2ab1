package scheduler

import "time"

const (
	// breakFirst and breakMost bound how long an upstream that broke a
	// connection gets nothing but one trial.
	breakFirst = 100 * time.Millisecond
	breakMost  = time.Second
	// fullPause is how long an upstream that refused for want of room gets
	// nothing.
	fullPause = 40 * time.Millisecond
	// failShare is the weight of a new outcome in the failure rate.
	failShare = 0.1
)

// health is what outcomes say of an upstream. Probes say too little: an
// upstream may answer them and fail requests.
type health struct {
	breaks    int       // broken connections in a row
	openAt    time.Time // nothing goes there before
	failures  float64   // share of the requests that it failed lately
	lastBreak time.Time
}

// note takes in one outcome.
func (h *health) note(now time.Time, kind ResultKind) {
	switch kind {
	case ResultAnswered:
		h.breaks = 0
		h.failures *= 1 - failShare
	case ResultFailed, ResultTimeout:
		h.breaks = 0
		h.failures = h.failures*(1-failShare) + failShare
	case ResultRefused:
		h.openAt = later(h.openAt, now.Add(fullPause))
	case ResultUnreached, ResultBroken:
		h.breaks++
		h.lastBreak = now
		pause := min(breakFirst<<min(h.breaks-1, 6), breakMost)
		h.openAt = later(h.openAt, now.Add(pause))
		h.failures = h.failures*(1-failShare) + failShare
	}
}

// allows reports whether a request may go there. After a broken connection one
// request at a time tries it.
func (h *health) allows(now time.Time, running int) bool {
	if now.Before(h.openAt) {
		return false
	}
	return h.breaks == 0 || running == 0
}
