package main

import (
	"context"
	"fmt"
	"time"
)

// The figures of the case slowDownload.
const (
	longDownload      = 60 * time.Second // timeout_s; the consumers wait as long
	downloadBytes     = 8_000_000
	downloadConsumers = 6
	lineRate          = 150_000 // bytes a second that a line carries in the disruption
	secondAfter       = time.Second
	watchFor          = 58 * time.Second
)

func init() { cases[10] = slowDownload }

// slowDownload: consumers read a long answer slowly, but without a pause, and have sent a
// second idempotent request meanwhile.
func slowDownload(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	routes := manifest(firstVersion,
		manifestRoute{service: "vault", kind: "download", timeout: longDownload.Seconds(), goal: 2, attempts: 2},
		manifestRoute{service: "desk", kind: "idempotent", timeout: longDownload.Seconds(), goal: 1, attempts: 2})
	if err := p.startStore(routes); err != nil {
		return verdict{}, err
	}
	b := behaviour{work: 83 * time.Millisecond, answerBytes: downloadBytes, zones: 3}
	if err := p.startInstances(ctx, 0, 6, "vault", b, seen); err != nil {
		return verdict{}, err
	}
	b.answerBytes = 1500
	if err := p.startInstances(ctx, 20, 6, "desk", b, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	rate := 0
	if p.trouble {
		rate = lineRate
	}
	var consumers []*consumer
	for i := range downloadConsumers {
		c, err := newSlowConsumer(p.log, fmt.Sprintf("consumer-%d", i), p.relays[0].front(), rate)
		if err != nil {
			return verdict{}, err
		}
		consumers = append(consumers, c)
		c.get("/vault/1", longDownload)
	}
	if err := pause(ctx, secondAfter); err != nil {
		return verdict{}, err
	}
	for _, c := range consumers {
		c.get("/desk/1", longDownload)
	}
	for end := time.Now().Add(watchFor); time.Now().Before(end) && !allEnded(consumers); {
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	return countLost(p, consumers, seen, false, 3), nil
}

// allEnded reports whether nothing that was sent waits for an answer.
func allEnded(consumers []*consumer) bool {
	for _, c := range consumers {
		if c.next() != nil {
			return false
		}
	}
	return true
}
