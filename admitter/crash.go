package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

// quarantined returns the refusal of a request that crashes upstreams, or may
// do so.
func quarantined(wait time.Duration) *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonQuarantined, "earlier copies have crashed the upstreams that ran them, or broke their connections")
	out.RetryAfter = wait
	return out
}

// noteEnd tells the quarantine how a request with a permit ended. The caller
// holds mu.
func (a *Admitter) noteEnd(now time.Time, i issue, kind scheduler.ResultKind) {
	if i.upstream == "" {
		return // the permit was taken back before
	}
	switch kind {
	case scheduler.ResultAnswered, scheduler.ResultFailed:
		a.crash.Answered(i.upstream, i.at, i.print)
	case scheduler.ResultBroken:
		a.crash.Broke(now, i.upstream, i.print)
	case scheduler.ResultUnreached:
		a.crash.Down(now, i.upstream)
	}
}

// noteRestarts tells the quarantine which upstreams have started again or are
// gone. The caller holds mu.
func (a *Admitter) noteRestarts(now time.Time, next *Board) {
	started := make(map[pimento.UpstreamName]time.Time, len(next.Upstreams))
	for _, u := range next.Upstreams {
		started[u.Name] = u.Started
	}
	for _, u := range a.board.Upstreams {
		if at, ok := started[u.Name]; !ok || !at.Equal(u.Started) {
			a.crash.Restarted(now, u.Name)
		}
	}
}

// Block refuses requests that were found to crash upstreams.
func (a *Admitter) Block(prints []quarantiner.Print) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range prints {
		a.crash.Block(now, p)
	}
}
