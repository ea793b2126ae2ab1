package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/connector"
)

// runKey names one run of an upstream at one address.
type runKey struct {
	name    pimento.UpstreamName
	address string
	started int64 // Unix milliseconds
}

// run is the client of one run.
type run struct {
	client *connector.Client
	usedAt time.Time
}

// keepRun is how long the connections to a run are kept without a request.
const keepRun = 30 * time.Second

// client returns the client of an upstream's run.
func (a *Admitter) client(s pimento.Server) *connector.Client {
	key := runKey{name: s.Name, address: s.Address.String(), started: s.Started.UnixMilli()}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.runs[key]
	if !ok {
		r = &run{client: &connector.Client{Server: s, Wire: a.Wire}}
		a.runs[key] = r
	}
	r.usedAt = now
	return r.client
}

// Client returns the client of an upstream's run, for calls that need no
// permit.
func (a *Admitter) Client(s pimento.Server) *connector.Client {
	a.init()
	return a.client(s)
}

// forgetRuns closes connections to runs that were not used for long. The
// caller holds mu.
func (a *Admitter) forgetRuns(now time.Time) {
	for key, r := range a.runs {
		if now.Sub(r.usedAt) > keepRun {
			r.client.Close()
			delete(a.runs, key)
		}
	}
}
