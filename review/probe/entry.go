package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The figures of the case foreignEntry.
const (
	readLimit  = 2 * time.Second
	readGap    = 50 * time.Millisecond
	readFor    = 15 * time.Second
	applyAfter = 5 * time.Second // config_apply_s and stable_s
	minOnAdded = 20              // requests on added routes from which on the rule judges
)

func init() { cases[6] = foreignEntry }

// foreignEntry: another writer leaves an entry among those of the instances, and the
// operator adds a route to a service that is divided by key.
func foreignEntry(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	desk := manifestRoute{service: "desk", kind: "idempotent", timeout: 2, goal: 1, attempts: 2}
	guide := manifestRoute{service: "guide", kind: "idempotent", timeout: 2, goal: 1, attempts: 2, keyed: true}
	if err := p.startStore(manifest(firstVersion, desk)); err != nil {
		return verdict{}, err
	}
	b := behaviour{work: 50 * time.Millisecond, answerBytes: 1500, zones: 3}
	if err := p.startInstances(ctx, 0, 4, "desk", b, seen); err != nil {
		return verdict{}, err
	}
	b.keyed = true
	if err := p.startInstances(ctx, 10, 6, "guide", b, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	if p.trouble {
		p.log.add("another writer leaves an entry")
		p.store.Put("servers", "i-elsewhere", map[string]any{
			"service": "guide", "address": fmt.Sprintf("%s:%d", p.address(firstInstance+90), instancePort), "zone": "ub-1", "version": "v1",
			"max_concurrency": slots, "state": "ready", "warmup_left_s": 0.0, "seq": 1, "born": time.Now().UnixNano(),
		})
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return verdict{}, err
	}
	p.log.add("the operator adds a route")
	p.store.Put("config", "main", rawJSON(manifest(nextVersion, desk, guide)))
	if err := pause(ctx, applyAfter); err != nil {
		return verdict{}, err
	}
	counts := p.readBoth(ctx)
	return counts.judge(), nil
}

// served counts the requests on the first route and on the added one.
type served struct {
	first, firstServed, added, addedServed int
}

// readBoth sends requests on both routes to all machines in turn.
func (p *play) readBoth(ctx context.Context) served {
	reading, stop := context.WithTimeout(ctx, readFor)
	defer stop()
	var mu sync.Mutex
	var out served
	var waiting sync.WaitGroup
	for i := 0; pause(reading, readGap) == nil; i++ {
		waiting.Go(func() {
			first := p.readOnce(ctx, i, "/desk/1")
			added := p.readOnce(ctx, i, "/guide/1")
			mu.Lock()
			defer mu.Unlock()
			out.first, out.added = out.first+1, out.added+1
			out.firstServed += first
			out.addedServed += added
		})
	}
	waiting.Wait()
	return out
}

// readOnce sends one request on a connection of its own and returns 1 if it was served.
func (p *play) readOnce(ctx context.Context, number int, path string) int {
	r := p.relays[number%len(p.relays)]
	c, err := newConsumer(p.log, fmt.Sprintf("consumer-%d%s", number, path), r.front())
	if err != nil {
		return 0
	}
	c.get(path, readLimit)
	for end := time.Now().Add(readLimit); time.Now().Before(end) && c.next() != nil; {
		if pause(ctx, 5*time.Millisecond) != nil {
			break
		}
	}
	for _, a := range c.attempts() {
		if a.complete && a.signed {
			return 1
		}
	}
	return 0
}

// judge judges the rule CONFIG on routes that were added later.
func (s served) judge() verdict {
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	first, added := share(s.firstServed, s.first), share(s.addedServed, s.added)
	return verdict{
		broken:  s.added >= minOnAdded && added < first/4,
		summary: fmt.Sprintf("first route: %d of %d served; added route: %d of %d served", s.firstServed, s.first, s.addedServed, s.added),
	}
}
