package forwarder

import (
	"time"

	"pimentorelay.example/pimento"
)

// firstAttemptShare is the share of a route's longest time limit up to which
// elapsed time is ignored, so that a request counts as the first of its caller.
const firstAttemptShare = 0.03

// elapsed estimates how long ago the caller of a request first sent it. A caller
// that retries after a refusal sends only the time that it has left, so the
// estimate is the difference to the longest time seen on the route. In an
// overload it identifies retries whose goals have already passed.
func (f *Forwarder) elapsed(route pimento.RouteName, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.longestLeft == nil {
		f.longestLeft = make(map[pimento.RouteName]time.Duration)
	}
	longest := max(f.longestLeft[route], left)
	f.longestLeft[route] = longest
	if passed := longest - left; passed > time.Duration(firstAttemptShare*float64(longest)) {
		return passed
	}
	return 0
}
