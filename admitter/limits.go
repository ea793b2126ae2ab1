package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
)

// observeLimit records what the answer to a request that was sent at sentAt says
// about the limit of its upstream. A refusal may name a limit, but cannot end one.
func (a *Admitter) observeLimit(sentAt time.Time, name pimento.UpstreamName, m pimento.AnswerMetadata, err error) {
	refused := err != nil && m.NotRun && !m.Misdirected && m.Limit.Named
	if err != nil && !refused {
		return
	}
	now := time.Now()
	a.mu.Lock()
	a.limits.Observe(now, sentAt, name, m.Limit)
	changes := a.limits.Changes(now)
	a.mu.Unlock()
	a.reportLimits(changes)
}

// reportLimits passes changes of limits to OnLimit. The caller does not hold mu.
func (a *Admitter) reportLimits(changes []limiter.Change) {
	if a.OnLimit == nil {
		return
	}
	for _, c := range changes {
		a.OnLimit(c)
	}
}

// Limits returns the limits in force, as far as this process knows.
func (a *Admitter) Limits() map[pimento.UpstreamName]pimento.RateLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.InForce(time.Now())
}
