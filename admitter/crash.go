package admitter

import (
	"bufio"
	"errors"
	"io"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

// quarantineRefusal returns the refusal of a request that crashes upstreams, or
// is suspected to.
func quarantineRefusal(wait time.Duration) *pimento.OutcomeError {
	refusal := pimento.NotRun(pimento.ReasonQuarantined, "earlier copies have crashed the upstreams that ran them, or broke their connections")
	refusal.RetryAfter = wait
	return refusal
}

// trialRetryAfter is how long a request is refused while the first copy after a block
// runs.
const trialRetryAfter = 500 * time.Millisecond

// quarantineWait returns how long a request is refused by what this process knows,
// zero if it may be sent.
func (a *Admitter) quarantineWait(p quarantiner.Fingerprint) time.Duration {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantine.RetryAfter(now, p)
}

// refusedFor returns how long a request gets no permit here, zero if it may get one.
// After a block, one copy at a time does, from one process. The caller holds mu.
func (a *Admitter) refusedFor(now time.Time, key poolKey, p quarantiner.Fingerprint) time.Duration {
	if wait := a.quarantine.RetryAfter(now, p); wait > 0 {
		return wait
	}
	if a.quarantine.Crashes(p) >= quarantiner.CrashLimit && (!a.mayTry(key) || a.hasPermit(p)) {
		return trialRetryAfter
	}
	return 0
}

// mayTry reports whether this process is the one that tries requests of a pool after a
// block: its dispatcher and, of several pools without keys, that of the first. The caller
// holds mu.
func (a *Admitter) mayTry(key poolKey) bool {
	pools := a.state.poolsOf(key.service)
	if s, _ := a.state.Service(key.service); s.Sharing != pimento.SharingKeyed && key.index > 0 || key.index >= len(pools) {
		return false
	}
	list := pools[key.index].PreferenceList
	return len(list) > 0 && list[0] == a.Self.ID
}

// identify waits for the beginning of a body that awaits a 100 Continue, which gives its
// request a fingerprint, and returns the body. If crashes count against the request, its
// dispatcher has to decide again, which did not know what it is.
func (p *permit) identify(r *pimento.Request, body io.Reader) (io.Reader, error) {
	if r.Fingerprint != 0 || body == nil {
		return body, nil
	}
	whole := bufio.NewReader(body)
	if _, err := whole.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		var outcome *pimento.OutcomeError
		if errors.As(err, &outcome) {
			return nil, outcome
		}
		return nil, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	p.fingerprint = quarantiner.Fingerprint(r.Fingerprint)
	if !p.admitter.hasReachedCrashLimit(p.fingerprint) {
		return whole, nil
	}
	again := pimento.NotRun(pimento.ReasonAvoided, "earlier copies have crashed upstreams, and the permit was issued before its body came")
	again.RetryAfter = trialRetryAfter
	return nil, again
}

// hasReachedCrashLimit reports whether enough crashes count against a request to refuse
// it, now or before.
func (a *Admitter) hasReachedCrashLimit(p quarantiner.Fingerprint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantine.Crashes(p) >= quarantiner.CrashLimit
}

// hasPermit reports whether a copy of a request has a permit of this process. The
// caller holds mu.
func (a *Admitter) hasPermit(p quarantiner.Fingerprint) bool {
	for _, pool := range a.pools {
		for _, issued := range pool.issued {
			if issued.fingerprint == p {
				return true
			}
		}
	}
	return false
}

// recordSent passes the result of a request that this process has sent to the
// quarantine. Its dispatcher does the same, but may not hear of it.
func (a *Admitter) recordSent(p *permit) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordResult(now, issuedPermit{run: quarantiner.RunOf(p.server), fingerprint: p.fingerprint, at: p.issuedAt}, p.result)
}

// recordResult passes the result of a request with a permit to the quarantine.
// The caller holds mu.
func (a *Admitter) recordResult(now time.Time, issued issuedPermit, r scheduler.Result) {
	defer a.keepFindings()
	if r.Down {
		a.quarantine.Down(now, issued.run)
	}
	if r.Unsent {
		return
	}
	switch r.Kind {
	case scheduler.ResultAnswered:
		a.quarantine.Answered(now, issued.run, issued.at, issued.fingerprint)
	case scheduler.ResultFailed:
		a.quarantine.Answered(now, issued.run, issued.at, 0)
	case scheduler.ResultBroken:
		a.quarantine.ConnectionBroke(now, issued.run, issued.fingerprint)
	case scheduler.ResultTimeout, scheduler.ResultCanceled:
		a.quarantine.Unanswered(now, issued.run, issued.fingerprint)
	}
}

// recordLost records that the end of a request with a permit will not be reported. The
// caller holds mu.
func (a *Admitter) recordLost(now time.Time, p *pool, ticket uint64) {
	if issued, ok := p.issued[ticket]; ok {
		a.quarantine.Unanswered(now, issued.run, issued.fingerprint)
	}
	delete(p.issued, ticket)
	delete(p.links, ticket)
}

// lostPermitTime is how long after the deadline of its request a permit that was not
// returned counts as lost.
const lostPermitTime = time.Second

// endLostPermits records the permits of a pool that were not returned in time. The
// caller holds mu.
func (a *Admitter) endLostPermits(now time.Time, p *pool) {
	for ticket, issued := range p.issued {
		if now.Sub(issued.deadline) > lostPermitTime {
			a.recordLost(now, p, ticket)
		}
	}
}

// observeRuns passes the known runs of upstreams to the quarantine if it waits for
// evidence. The caller holds mu.
func (a *Admitter) observeRuns(now time.Time) {
	if !a.quarantine.HasSuspicions() || len(a.state.Upstreams) == 0 {
		return
	}
	list := make(map[pimento.UpstreamName]quarantiner.Listing, len(a.state.Upstreams))
	for _, u := range a.state.Upstreams {
		list[u.Name] = quarantiner.Listing{Started: u.Started.UnixMilli(), Leaving: u.State == pimento.StateLeaving}
	}
	a.quarantine.Listed(now, list)
	a.keepFindings()
}

// maxCrashFindings bounds the findings between two ticks.
const maxCrashFindings = 256

// keepFindings keeps the findings of the quarantine for the next tick. The caller
// holds mu.
func (a *Admitter) keepFindings() {
	for _, f := range a.quarantine.Findings() {
		if len(a.findings) < maxCrashFindings {
			a.findings = append(a.findings, f)
		}
	}
}

// runOf returns the known run of an upstream. The caller holds mu.
func (a *Admitter) runOf(name pimento.UpstreamName) quarantiner.Run {
	for _, u := range a.state.Upstreams {
		if u.Name == name {
			return quarantiner.RunOf(u.Server)
		}
	}
	return quarantiner.Run{Upstream: name}
}

// reportFindings passes findings to OnCrashFinding. The caller does not hold mu.
func (a *Admitter) reportFindings(findings []quarantiner.Finding) {
	if a.OnCrashFinding == nil {
		return
	}
	for _, f := range findings {
		a.OnCrashFinding(f)
	}
}

// MergeCrashFacts adds the crashes that the leader's state shows.
func (a *Admitter) MergeCrashFacts(facts []quarantiner.Fact) {
	if len(facts) == 0 {
		return
	}
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine.Merge(now, facts)
	a.keepFindings()
}
