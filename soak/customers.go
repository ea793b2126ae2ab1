package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/sender"
)

const (
	// usualKey is the API key of the callers that are no subject of the checks here.
	usualKey pimento.APIKey = "usual-1"
	// revokedKey is taken away in the middle of a run.
	revokedKey pimento.APIKey = "revoked-1"
	// hotKey is that of a customer that sends many times its quota, which is lowered in the
	// middle of a run.
	hotKey pimento.APIKey = "hot-1"

	hotRate      = 40 // requests a second, and the burst
	loweredRate  = 20
	customerRows = "Customer,usual,,,,,,,,,,,usual-1,,,\nCustomer,revoked,,,,,,,,,,,revoked-1 kept-1,,,\nCustomer,hot,,,,,,,,,,,hot-1,40,40,\n"

	// revocation, quotaOvershoot and quotaSlack are settings of the entries.
	revocation     = 4 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	quotaWindow    = 5 * time.Second

	customerTimeout = time.Second
	customerPause   = 10 * time.Millisecond
)

// customers sends requests of customers whose keys and quotas change, and checks which ran.
type customers struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	sentAt    map[string]time.Time // of requests with the key that is taken away, by their IDs
	revokedAt time.Time            // when the store had acknowledged that; zero: never
}

// startCustomers starts the callers, and changes the customers after half of the run.
func (s *soak) startCustomers() *customers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &customers{cancel: cancel, sentAt: make(map[string]time.Time)}
	for i, e := range s.entries {
		url := "http://" + e.caller.String() + orderPath
		c.wg.Go(func() { c.sendRevoked(ctx, i, url) })
		c.wg.Go(func() { c.sendHot(ctx, url) })
	}
	c.wg.Go(func() {
		select {
		case <-time.After(s.For / 2):
			c.change(ctx, s.deployment)
		case <-ctx.Done():
		}
	})
	return c
}

// sendRevoked sends requests with the key that is taken away.
func (c *customers) sendRevoked(ctx context.Context, caller int, url string) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("revoked-%d-%d", caller, n)
		c.mu.Lock()
		c.sentAt[id] = time.Now()
		c.mu.Unlock()
		sendOnce(ctx, sender.Request{Method: http.MethodGet, URL: url, ID: id, APIKey: revokedKey, Timeout: customerTimeout})
		time.Sleep(customerPause)
	}
}

// sendHot sends requests of the customer with a quota.
func (c *customers) sendHot(ctx context.Context, url string) {
	for ctx.Err() == nil {
		sendOnce(ctx, sender.Request{Method: http.MethodGet, URL: url, APIKey: hotKey, Timeout: customerTimeout})
		time.Sleep(customerPause)
	}
}

// sendOnce sends a request whose answer says nothing: it may be refused or lost at any time.
func sendOnce(ctx context.Context, r sender.Request) {
	ctx, cancel := context.WithTimeout(ctx, 2*customerTimeout)
	defer cancel()
	_, _ = sender.Send(ctx, r)
}

// change takes a key away and lowers a quota, until the store acknowledges it.
func (c *customers) change(ctx context.Context, d *assembler.Deployment) {
	config := d.Config
	config.Customers = slices.Clone(config.Customers)
	for i := range config.Customers {
		switch config.Customers[i].Name {
		case "revoked":
			config.Customers[i].Keys = []pimento.APIKey{"kept-1"}
		case "hot":
			config.Customers[i].Rate, config.Customers[i].Burst = loweredRate, loweredRate
		}
	}
	for ctx.Err() == nil {
		if _, err := d.Apply(ctx, config); err == nil {
			c.mu.Lock()
			c.revokedAt = time.Now()
			c.mu.Unlock()
			return
		}
		time.Sleep(customerPause)
	}
}

// stop stops the callers and waits for their last requests.
func (c *customers) stop() {
	c.cancel()
	c.wg.Wait()
}

// check reports API keys that reached an upstream, requests that ran though their key had been
// taken away long before, and quotas that were exceeded.
func (c *customers) check(d *assembler.Deployment) error {
	var violations []error
	var hot []time.Time
	for _, u := range d.Upstreams {
		for _, r := range u.Journal() {
			sentAt, revoked := c.sentAt[r.ID]
			late := revoked && !c.revokedAt.IsZero() && sentAt.Sub(c.revokedAt) > revocation
			if (r.HasAPIKey || late || r.Customer == "") && len(violations) < maxViolations {
				violations = append(violations, fmt.Errorf("%s ran request %q of customer %q, with an API key: %t, %s after its key was taken away",
					u.Name, r.ID, r.Customer, r.HasAPIKey, sentAt.Sub(c.revokedAt)))
			}
			if r.Customer == "hot" {
				hot = append(hot, r.Started)
			}
		}
	}
	allowed := (hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOvershoot) + quotaSlack
	if most := mostInWindow(hot); float64(most) > allowed {
		violations = append(violations, fmt.Errorf("%d requests of a customer ran in %s, %.0f are allowed", most, quotaWindow, allowed))
	}
	return errors.Join(violations...)
}

// mostInWindow returns the most times in any quotaWindow.
func mostInWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
