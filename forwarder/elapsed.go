package forwarder

import (
	"time"

	"pimentorelay.example/pimento"
)

// elapsedShare is the part of the longest time that callers of a route wait
// below which a request counts as the first of its caller.
const elapsedShare = 0.03

// elapsed returns how long ago the caller of a request began to ask. A caller
// that comes back after a refusal waits for what it has left, while one that
// comes for the first time waits longest. The load that this answers: callers
// that return in an overload, whose goals have passed already.
func (f *Forwarder) elapsed(route pimento.RouteName, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits == nil {
		f.waits = make(map[pimento.RouteName]time.Duration)
	}
	longest := max(f.waits[route], left)
	f.waits[route] = longest
	if passed := longest - left; passed > time.Duration(elapsedShare*float64(longest)) {
		return passed
	}
	return 0
}
