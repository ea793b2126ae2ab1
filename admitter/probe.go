package admitter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
)

const (
	// probeInterval is the time between two probes of a run that is suspected to have
	// crashed.
	probeInterval = time.Second
	// probeTimeout bounds such a probe.
	probeTimeout = 600 * time.Millisecond
	// maxProbes bounds the probes that begin in one tick.
	maxProbes = 16
)

// runsToProbe returns the entries of suspected runs that are to be probed now: a run
// that gets no requests gives no other evidence. The caller holds mu.
func (a *Admitter) runsToProbe(now time.Time) []pimento.Server {
	open := a.quarantine.OpenRuns()
	maps.DeleteFunc(a.probes, func(run quarantiner.Run, _ time.Time) bool { return !slices.Contains(open, run) })
	var due []pimento.Server
	for _, run := range open {
		s, ok := a.entryOf(run)
		if !ok || now.Sub(a.probes[run]) < probeInterval || len(due) == maxProbes {
			continue
		}
		a.probes[run] = now
		due = append(due, s)
	}
	return due
}

// entryOf returns the known entry of a run. The caller holds mu.
func (a *Admitter) entryOf(run quarantiner.Run) (pimento.Server, bool) {
	for _, u := range a.state.Upstreams {
		if quarantiner.RunOf(u.Server) == run {
			return u.Server, true
		}
	}
	return pimento.Server{}, false
}

// probeRuns probes upstreams in the background.
func (a *Admitter) probeRuns(list []pimento.Server) {
	for _, s := range list {
		go a.probeRun(s)
	}
}

// probeRun asks whether an upstream answers, unless it wants nothing from this process now.
// Only an answer and a refused connection are evidence.
func (a *Admitter) probeRun(s pimento.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	client := a.client(s)
	if client.HealthPath == "" || a.checkProbe(s) != nil {
		return
	}
	sentAt := time.Now()
	_, _, err := client.Probe(ctx, client.HealthPath)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		a.quarantine.Answered(now, quarantiner.RunOf(s), sentAt, 0)
	case errors.Is(err, syscall.ECONNREFUSED):
		a.quarantine.Down(now, quarantiner.RunOf(s))
	}
	a.keepFindings()
}
