package main

import (
	"context"
	"fmt"
	"time"
)

// The figures of the case lateDrain.
const (
	longTimeout   = 6 * time.Second // timeout_s; the consumers wait as long
	longWork      = 3600 * time.Millisecond
	longConsumers = 10
	// firstLead is how long before the SIGTERM the first requests are sent, secondLag how
	// long after it the second ones: later than the 3 s after which the rule excuses
	// nothing.
	firstLead = 200 * time.Millisecond
	secondLag = 3200 * time.Millisecond
)

func init() { cases[9] = lateDrain }

// lateDrain: consumers whose first request is still at work send a second one, more than
// 3 s after the SIGTERM of their machine.
func lateDrain(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	if err := p.startStore(manifest(firstVersion, manifestRoute{service: "slow", kind: "idempotent", timeout: 6, goal: 5, attempts: 2})); err != nil {
		return verdict{}, err
	}
	b := behaviour{work: longWork, answerBytes: 1500, zones: 3}
	if err := p.startInstances(ctx, 0, 8, "slow", b, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	var consumers []*consumer
	for i := range longConsumers {
		c, err := newConsumer(p.log, fmt.Sprintf("consumer-%d", i), p.relays[0].front())
		if err != nil {
			return verdict{}, err
		}
		consumers = append(consumers, c)
		c.get("/slow/1", longTimeout)
	}
	if err := pause(ctx, firstLead); err != nil {
		return verdict{}, err
	}
	if p.trouble {
		go p.relays[0].terminate()
	}
	if err := pause(ctx, secondLag); err != nil {
		return verdict{}, err
	}
	for _, c := range consumers {
		c.get("/slow/2", longTimeout)
	}
	if err := pause(ctx, longTimeout); err != nil {
		return verdict{}, err
	}
	return countLost(p, consumers, seen, true, 0), nil
}
