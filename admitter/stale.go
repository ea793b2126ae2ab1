package admitter

import (
	"time"

	"pimentorelay.example/pimento"
)

// staleRetryAfter is the delay that callers are told while the upstreams known here are too
// old: a read of the store is under way, or another process knows them.
const staleRetryAfter = 300 * time.Millisecond

// checkAge returns the refusal of all requests while the upstreams known here are so old
// that one of them may have left too long ago, nil if they are not.
func (a *Admitter) checkAge() *pimento.OutcomeError {
	if a.IsStale == nil || !a.IsStale() {
		return nil
	}
	out := pimento.NotRun(pimento.ReasonStaleUpstreams, "the upstreams known here are too old")
	out.RetryAfter = staleRetryAfter
	return out
}
