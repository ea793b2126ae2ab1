package admitter

import (
	"context"
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
		service, _ := a.board.Service(s.Service)
		r = &run{client: &connector.Client{Server: s, Wire: a.Wire, HealthPath: service.HealthPath}}
		a.runs[key] = r
	}
	r.usedAt = now
	return r.client
}

// Grant implements leader.Grantor.
func (a *Admitter) Grant(ctx context.Context, to pimento.Server, g pimento.KeyGrant) error {
	a.init()
	return a.client(to).Grant(ctx, g)
}

// Release implements leader.Grantor.
func (a *Admitter) Release(ctx context.Context, from pimento.Server, span pimento.KeyRange, fence uint64, wait time.Duration) (string, error) {
	a.init()
	return a.client(from).Release(ctx, span, fence, wait)
}

// Probe implements leader.Grantor.
func (a *Admitter) Probe(ctx context.Context, at pimento.Server, path string) error {
	a.init()
	_, _, err := a.client(at).Probe(ctx, path)
	return err
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
