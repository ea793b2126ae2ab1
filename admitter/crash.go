package admitter

import (
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

// recordResult passes the result of a request with a permit to the quarantine.
// The caller holds mu.
func (a *Admitter) recordResult(now time.Time, issued issuedPermit, kind scheduler.ResultKind) {
	if issued.upstream == "" {
		return // the permit has already ended
	}
	defer a.keepFindings()
	switch kind {
	case scheduler.ResultAnswered, scheduler.ResultFailed:
		a.quarantine.Answered(issued.upstream, issued.at, issued.fingerprint)
	case scheduler.ResultBroken:
		a.quarantine.ConnectionBroke(now, issued.upstream, issued.fingerprint)
	case scheduler.ResultUnreachable:
		a.quarantine.Down(now, issued.upstream)
	}
}

// recordRestarts passes the upstreams that restarted or were removed to the
// quarantine. The caller holds mu.
func (a *Admitter) recordRestarts(now time.Time, next *Snapshot) {
	started := make(map[pimento.UpstreamName]time.Time, len(next.Upstreams))
	for _, u := range next.Upstreams {
		started[u.Name] = u.Started
	}
	for _, u := range a.state.Upstreams {
		if at, ok := started[u.Name]; !ok || !at.Equal(u.Started) {
			a.quarantine.Restarted(now, u.Name)
		}
	}
	a.keepFindings()
}

// CrashFinding is a finding about a request and the run of the upstream concerned.
type CrashFinding struct {
	quarantiner.Finding
	Started time.Time // of the run; zero: not known
}

// maxCrashFindings bounds the findings between two ticks.
const maxCrashFindings = 256

// keepFindings keeps the findings of the quarantine for the next tick. The caller
// holds mu.
func (a *Admitter) keepFindings() {
	for _, f := range a.quarantine.Findings() {
		if len(a.findings) < maxCrashFindings {
			a.findings = append(a.findings, CrashFinding{Finding: f, Started: a.startOf(f.Upstream)})
		}
	}
}

// startOf returns the start of the known run of an upstream, zero if none is known.
// The caller holds mu.
func (a *Admitter) startOf(name pimento.UpstreamName) time.Time {
	for _, u := range a.state.Upstreams {
		if u.Name == name {
			return u.Started
		}
	}
	return time.Time{}
}

// reportFindings passes findings to OnCrashFinding. The caller does not hold mu.
func (a *Admitter) reportFindings(findings []CrashFinding) {
	if a.OnCrashFinding == nil {
		return
	}
	for _, f := range findings {
		a.OnCrashFinding(f)
	}
}

// Block refuses requests that were confirmed to crash upstreams.
func (a *Admitter) Block(fingerprints []quarantiner.Fingerprint) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range fingerprints {
		a.quarantine.BlockReported(now, p)
	}
	a.keepFindings()
}
