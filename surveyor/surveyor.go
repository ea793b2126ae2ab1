// Package surveyor is the source of a deployment that operators describe by a
// sheet. The configuration lies in the store as relayctl wrote it; which run of
// an upstream is up, and whether it is cold, the upstreams are asked.
//
// # Usage
//
//	s := &surveyor.Surveyor{Store: store}
//	r := &router.Router{Source: s, ...}
package surveyor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
	"pimentorelay.example/pimento/translator"
)

const (
	// KindConfig holds the configuration under the name ConfigName.
	KindConfig pimento.StoreKind = "relay-config"
	// ConfigName is the name of the configuration.
	ConfigName = "main"
	// probeTimeout bounds the question to an upstream.
	probeTimeout = 250 * time.Millisecond
	// routeTimeout is the longest that a caller is kept waiting.
	routeTimeout = 10 * time.Minute
	// routeGoal is the time within which callers should have their answers.
	routeGoal = time.Second
	// routeAttempts is the most upstreams that a request is sent to.
	routeAttempts = 8
)

// Surveyor implements pimento.Source. Set the exported fields before use.
type Surveyor struct {
	Store pimento.Store

	mu     sync.Mutex
	known  map[pimento.UpstreamName]pimento.Server // as last asked
	client http.Client
}

var _ pimento.Source = (*Surveyor)(nil)

// Health is what an upstream says of itself.
type Health struct {
	Upstream pimento.UpstreamName
	Started  time.Time // on its own clock
	ColdFor  pimento.Span
}

// versioned is a configuration with the revision of its entry, as it travels
// between processes.
type versioned struct {
	Version uint64
	Config  pimento.Config
}

// read returns the configuration as it stands, nil if there is none.
func (s *Surveyor) read(ctx context.Context) (*versioned, error) {
	e, err := s.Store.Get(ctx, KindConfig, ConfigName)
	var missing *pimento.NotFoundError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	v := &versioned{Version: e.Revision}
	if err := json.Unmarshal(e.Value, &v.Config); err != nil {
		return nil, err
	}
	return v, v.Config.Validate()
}

// Upstreams implements pimento.Source. An upstream that does not answer stays
// as it was last known.
func (s *Surveyor) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	v, err := s.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("Surveyor.Upstreams: %w", err)
	}
	if v == nil {
		return nil, nil
	}
	var wg sync.WaitGroup
	answers := make([]*Health, len(v.Config.Servers))
	for i, x := range v.Config.Servers {
		wg.Go(func() { answers[i] = s.ask(ctx, x) })
	}
	wg.Wait()
	return s.describe(&v.Config, answers), nil
}

// ask returns what an upstream says of itself, nil if it does not answer.
func (s *Surveyor) ask(ctx context.Context, x pimento.Server) *Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + x.Address.String()).Get(translator.HealthPath).Request()
	if err != nil {
		return nil
	}
	res, err := s.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	h := &Health{}
	if err := json.NewDecoder(res.Body).Decode(h); err != nil || h.Upstream != x.Name {
		return nil
	}
	return h
}

// describe puts what the sheet and the upstreams say together.
func (s *Surveyor) describe(c *pimento.Config, answers []*Health) []pimento.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := timekeeper.Now()
	next := make(map[pimento.UpstreamName]pimento.Server)
	out := make([]pimento.Server, 0, len(c.Servers))
	for i, x := range c.Servers {
		x.Domain = c.DomainOf(x)
		x.State = pimento.StateArriving
		if h, _ := c.Host(x.Host); h.State == pimento.StateLeaving {
			x.State = pimento.StateLeaving
		}
		old, seen := s.known[x.Name]
		switch {
		case answers[i] != nil:
			x.Started = answers[i].Started
			x.WarmAt = now.Add(time.Duration(answers[i].ColdFor))
		case seen && old.Address == x.Address:
			x.Started, x.WarmAt = old.Started, old.WarmAt
		default:
			continue // it has never answered
		}
		next[x.Name] = x
		out = append(out, x)
	}
	s.known = next
	return out
}

// Out implements pimento.Source.
func (s *Surveyor) Out(ctx context.Context, after uint64, wait time.Duration) ([]pimento.DomainName, bool, uint64, error) {
	revision, changed, err := s.await(ctx, after, wait)
	if err != nil || !changed {
		return nil, false, revision, err
	}
	v, err := s.read(ctx)
	if err != nil {
		return nil, false, 0, fmt.Errorf("Surveyor.Out: %w", err)
	}
	var out []pimento.DomainName
	if v != nil {
		for _, d := range v.Config.Domains {
			if d.State == pimento.StateOut {
				out = append(out, d.Name)
			}
		}
	}
	slices.Sort(out)
	return out, true, revision, nil
}

// await waits for a change of the configuration after a revision, none for
// zero, and returns where to go on.
func (s *Surveyor) await(ctx context.Context, after uint64, wait time.Duration) (uint64, bool, error) {
	if after == 0 {
		list, err := s.Store.List(ctx, KindConfig, pimento.FreshnessLatest)
		if err != nil {
			return 0, false, fmt.Errorf("Surveyor.await: %w", err)
		}
		return list.Revision, true, nil
	}
	changes, err := s.Store.Watch(ctx, KindConfig, after, wait)
	if err != nil {
		return 0, false, fmt.Errorf("Surveyor.await: %w", err)
	}
	return changes.Revision, len(changes.Changes) > 0, nil
}

// Manifest implements pimento.Source.
func (s *Surveyor) Manifest(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	revision, changed, err := s.await(ctx, after, wait)
	if err != nil || !changed {
		return nil, revision, err
	}
	v, err := s.read(ctx)
	if err != nil || v == nil {
		return nil, revision, err
	}
	value, err := json.Marshal(v)
	return value, revision, err
}

// DecodeManifest implements pimento.Source. The version of a manifest is the
// revision of the configuration's entry.
func (s *Surveyor) DecodeManifest(value []byte) (pimento.Manifest, error) {
	var v versioned
	if err := json.Unmarshal(value, &v); err != nil {
		return pimento.Manifest{}, fmt.Errorf("Surveyor.DecodeManifest: %w", err)
	}
	m := pimento.Manifest{Version: v.Version}
	for _, x := range v.Config.Services {
		x.HealthPath = translator.HealthPath
		m.Services = append(m.Services, x)
	}
	for _, c := range v.Config.Categories {
		m.Routes = append(m.Routes, pimento.Route{
			Name: pimento.RouteName(c.Name), Prefix: translator.Prefix(c.Name), Kind: pimento.RouteByMethod, Strip: true,
			Targets: []pimento.Target{{Service: c.Service, Weight: 1}}, MaxAttempts: routeAttempts,
			Timeout: routeTimeout, Goal: routeGoal,
		})
	}
	m.Defaults()
	return m, m.Validate()
}
