package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/scheduler"
)

// observeLimit records what the answer to a request that was sent at sentAt says
// about the limit of its upstream. A refusal may name a limit, but cannot end one.
func (a *Admitter) observeLimit(sentAt time.Time, name pimento.UpstreamName, m pimento.AnswerMetadata, err error) {
	refused := err != nil && m.NotRun && !m.Misdirected && m.Limit.Named
	if err != nil && !refused {
		return
	}
	a.updateLimits(func(now time.Time) { a.limits.Observe(now, sentAt, name, m.Limit) })
}

// observeReportedLimit records what the answer to a request of a peer, which has
// returned its permit, says about the limit of its upstream.
func (a *Admitter) observeReportedLimit(key poolKey, ticket uint64, kind scheduler.ResultKind, n pimento.LimitNotice) {
	if kind != scheduler.ResultAnswered && kind != scheduler.ResultFailed && !n.Named {
		return
	}
	a.updateLimits(func(now time.Time) {
		p, ok := a.pools[key]
		if !ok {
			return
		}
		if issued, ok := p.issued[ticket]; ok {
			a.limits.Observe(now, issued.at, issued.run.Upstream, n)
		}
	})
}

// MergeLimits adds what the leader knows of limits.
func (a *Admitter) MergeLimits(list []limiter.Report) {
	if len(list) == 0 {
		return
	}
	a.init()
	a.updateLimits(func(now time.Time) { a.limits.Merge(now, list) })
}

// updateLimits changes the known limits and puts the changes in force.
func (a *Admitter) updateLimits(change func(now time.Time)) {
	now := time.Now()
	a.mu.Lock()
	change(now)
	changes, callbacks := a.applyLimits(now)
	a.mu.Unlock()
	runAll(callbacks)
	a.reportLimits(changes)
}

// applyLimits passes the limits in force to the schedulers if they have changed. It
// returns the changes, and the callbacks of the decisions that follow. The caller
// holds mu, and runs the callbacks and reports the changes without it.
func (a *Admitter) applyLimits(now time.Time) ([]limiter.Change, []func()) {
	changes := a.limits.Changes(now)
	if len(changes) == 0 {
		return nil, nil
	}
	limits := a.limits.InForce(now)
	var callbacks []func()
	for _, p := range a.pools {
		callbacks = append(callbacks, a.applyDecisions(now, p, p.machine.SetLimits(now, limits))...)
	}
	return changes, callbacks
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

// KnownLimits returns all that this process knows of limits.
func (a *Admitter) KnownLimits() []limiter.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.Reports(time.Now())
}
