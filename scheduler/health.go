package scheduler

import "time"

const (
	// minBreakBackoff and maxBreakBackoff bound how long an upstream gets no
	// requests after it broke a connection or could not be reached.
	minBreakBackoff = 100 * time.Millisecond
	maxBreakBackoff = time.Second
	// refusedBackoff is how long an upstream that refused a request, being full
	// or leaving, gets none.
	refusedBackoff = 40 * time.Millisecond
	// failureAlpha is the weight of a new outcome in the failure rate.
	failureAlpha = 0.1
)

// health is the state of an upstream as shown by the outcomes of its requests.
// Probes do not suffice: an upstream may answer them and fail requests.
type health struct {
	breaks      int       // consecutive broken or failed connections
	pausedUntil time.Time // no requests are sent before
	failures    float64   // moving average of the share of failed requests
	lastBreak   time.Time
}

// record updates the health with one outcome.
func (h *health) record(now time.Time, kind ResultKind) {
	switch kind {
	case ResultAnswered:
		h.breaks = 0
		h.failures *= 1 - failureAlpha
	case ResultFailed, ResultTimeout:
		h.breaks = 0
		h.failures = h.failures*(1-failureAlpha) + failureAlpha
	case ResultRefused:
		h.pausedUntil = later(h.pausedUntil, now.Add(refusedBackoff))
	case ResultUnreachable, ResultBroken:
		h.breaks++
		h.lastBreak = now
		backoff := min(minBreakBackoff<<min(h.breaks-1, 6), maxBreakBackoff)
		h.pausedUntil = later(h.pausedUntil, now.Add(backoff))
		h.failures = h.failures*(1-failureAlpha) + failureAlpha
	}
}

// allows reports whether a request may be sent. After a broken or failed
// connection only one request at a time is sent, until one is answered, fails or
// times out.
func (h *health) allows(now time.Time, running int) bool {
	if now.Before(h.pausedUntil) {
		return false
	}
	return h.breaks == 0 || running == 0
}
