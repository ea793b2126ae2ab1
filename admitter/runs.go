package admitter

import (
	"context"
	"fmt"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/connector"
)

// runKey identifies one run of an upstream at one address.
type runKey struct {
	name    pimento.UpstreamName
	address string
	started int64 // Unix milliseconds
}

// runClient is the client of one run.
type runClient struct {
	client *connector.Client
	usedAt time.Time
}

// runIdleTimeout is how long the client of a run is kept without use.
const runIdleTimeout = 30 * time.Second

func runKeyOf(s pimento.Server) runKey {
	return runKey{name: s.Name, address: s.Address.String(), started: s.Started.UnixMilli()}
}

// client returns the client of an upstream's run.
func (a *Admitter) client(s pimento.Server) *connector.Client {
	key := runKeyOf(s)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.clients[key]
	if !ok {
		service, _ := a.state.Service(s.Service)
		r = &runClient{client: &connector.Client{Server: s, Wire: a.Wire, HealthPath: service.HealthPath}}
		r.client.CheckSend = func() error { return a.checkSend(s) }
		r.client.OnAnswer = func(writtenAt time.Time, m pimento.AnswerMetadata) { a.observeNotice(s, writtenAt, m) }
		a.clients[key] = r
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
	if err := a.checkProbe(at); err != nil {
		return fmt.Errorf("Admitter.Probe: %w", err)
	}
	_, _, err := a.client(at).Probe(ctx, path)
	return err
}

// closeIdleClients closes the clients that were not used for runIdleTimeout.
// The caller holds mu.
func (a *Admitter) closeIdleClients(now time.Time) {
	for key, r := range a.clients {
		if now.Sub(r.usedAt) > runIdleTimeout {
			r.client.Close()
			delete(a.clients, key)
		}
	}
}
