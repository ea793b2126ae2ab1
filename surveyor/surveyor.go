// Package surveyor is the pimento.Source of a deployment that operators describe
// in a sheet. It reads the configuration that relayctl wrote to the store, and
// probes the upstreams for their current run and whether they are cold.
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
	// KindConfig is the kind of the store entry with the configuration.
	KindConfig pimento.StoreKind = "relay-config"
	// ConfigName is the name of that entry.
	ConfigName = "main"
	// probeTimeout bounds the probe of an upstream.
	probeTimeout = 250 * time.Millisecond
	// routeTimeout is the longest that a caller waits for an answer.
	routeTimeout = 10 * time.Minute
	// routeGoal is the time within which callers should have their answers.
	routeGoal = time.Second
	// routeAttempts is the largest number of attempts for a request.
	routeAttempts = 8
)

// Surveyor implements pimento.Source. Set the exported fields before use.
type Surveyor struct {
	Store pimento.Store

	mu        sync.Mutex
	lastKnown map[pimento.UpstreamName]pimento.Server // by their last answers
	client    http.Client
}

var _ pimento.Source = (*Surveyor)(nil)

// Health is an upstream's answer to a probe.
type Health struct {
	Upstream pimento.UpstreamName
	Started  time.Time // on its own clock
	ColdFor  pimento.Span
}

// versionedConfig is a configuration with the revision of its entry, as processes
// send it to each other.
type versionedConfig struct {
	Version uint64
	Config  pimento.Config
}

// readConfig returns the stored configuration, nil if there is none.
func (s *Surveyor) readConfig(ctx context.Context) (*versionedConfig, error) {
	e, err := s.Store.Get(ctx, KindConfig, ConfigName)
	var notFound *pimento.NotFoundError
	if errors.As(err, &notFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	v := &versionedConfig{Version: e.Revision.Number}
	if err := json.Unmarshal(e.Value, &v.Config); err != nil {
		return nil, err
	}
	return v, v.Config.Validate()
}

// Upstreams implements pimento.Source. An upstream that does not answer keeps its
// last known state; one that has never answered is unseen.
func (s *Surveyor) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	v, err := s.readConfig(ctx)
	if err != nil {
		return nil, fmt.Errorf("Surveyor.Upstreams: %w", err)
	}
	if v == nil {
		return nil, nil
	}
	var wg sync.WaitGroup
	health := make([]*Health, len(v.Config.Servers))
	for i, x := range v.Config.Servers {
		wg.Go(func() { health[i] = s.probe(ctx, x) })
	}
	wg.Wait()
	return s.merge(&v.Config, health), nil
}

// probe asks an upstream for its health. It returns nil if the answer is missing
// or invalid.
func (s *Surveyor) probe(ctx context.Context, x pimento.Server) *Health {
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

// merge combines the configuration with the upstreams' answers.
func (s *Surveyor) merge(c *pimento.Config, health []*Health) []pimento.Server {
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
		old, known := s.lastKnown[x.Name]
		switch {
		case health[i] != nil:
			x.Started = health[i].Started
			x.WarmAt = now.Add(time.Duration(health[i].ColdFor))
		case known && old.Address == x.Address:
			x.Started, x.WarmAt = old.Started, old.WarmAt
		default: // it has never answered this process
			x.State = pimento.StateUnseen
			out = append(out, x)
			continue
		}
		next[x.Name] = x
		out = append(out, x)
	}
	s.lastKnown = next
	return out
}

// DomainsOut implements pimento.Source.
func (s *Surveyor) DomainsOut(ctx context.Context, after pimento.Revision, wait time.Duration) ([]pimento.DomainName, bool, pimento.Revision, error) {
	revision, changed, err := s.await(ctx, after, wait)
	if err != nil || !changed {
		return nil, false, revision, err
	}
	v, err := s.readConfig(ctx)
	if err != nil {
		return nil, false, pimento.Revision{}, fmt.Errorf("Surveyor.DomainsOut: %w", err)
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

// await waits until the configuration changes after a revision, and returns the
// revision to continue from. It does not wait without a revision, or if the history
// since the revision is gone.
func (s *Surveyor) await(ctx context.Context, after pimento.Revision, wait time.Duration) (pimento.Revision, bool, error) {
	if !after.IsZero() {
		changes, err := s.Store.Watch(ctx, KindConfig, after, wait)
		var gone *pimento.HistoryGoneError
		if err == nil {
			return changes.Revision, len(changes.Changes) > 0, nil
		}
		if !errors.As(err, &gone) {
			return pimento.Revision{}, false, fmt.Errorf("Surveyor.await: %w", err)
		}
	}
	list, err := s.Store.List(ctx, KindConfig, pimento.FreshnessLatest)
	if err != nil {
		return pimento.Revision{}, false, fmt.Errorf("Surveyor.await: %w", err)
	}
	return list.Revision, true, nil
}

// Manifest implements pimento.Source.
func (s *Surveyor) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	revision, changed, err := s.await(ctx, after, wait)
	if err != nil || !changed {
		return nil, revision, err
	}
	v, err := s.readConfig(ctx)
	if err != nil || v == nil {
		return nil, revision, err
	}
	value, err := json.Marshal(v)
	return value, revision, err
}

// DecodeManifest implements pimento.Source. The version of a manifest is the
// revision of the configuration's entry.
func (s *Surveyor) DecodeManifest(value []byte) (pimento.Manifest, error) {
	var v versionedConfig
	if err := json.Unmarshal(value, &v); err != nil {
		return pimento.Manifest{}, fmt.Errorf("Surveyor.DecodeManifest: %w", err)
	}
	m := pimento.Manifest{Version: v.Version, Authenticated: len(v.Config.Customers) > 0, Customers: v.Config.Customers}
	for _, x := range v.Config.Services {
		x.HealthPath = translator.HealthPath
		m.Services = append(m.Services, x)
	}
	for _, c := range v.Config.Categories {
		m.Routes = append(m.Routes, pimento.Route{
			Name: pimento.RouteName(c.Name), Prefix: translator.CategoryPrefix(c.Name), Kind: pimento.RouteByMethod, Strip: true,
			Targets: []pimento.Target{{Service: c.Service, Weight: 1}}, MaxAttempts: routeAttempts,
			Timeout: routeTimeout, Goal: routeGoal, Public: c.Public,
		})
	}
	m.Defaults()
	return m, m.Validate()
}
