package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The figures of the class archive-pull of the users' sheet, and the load.
const (
	pullLimit     = 2500 * time.Millisecond
	pullWork      = 83 * time.Millisecond
	pullBytes     = 100_000 // 90,000 on average, 540,000 at most
	pullSendFor   = 80 * time.Millisecond
	pullConsumers = 100
	meanGap       = 180 * time.Millisecond // between two requests of a consumer
	pullBefore    = 3 * time.Second        // of the SIGTERM
	pullAfter     = 3 * time.Second
)

func init() { cases[10] = pipelinedDrain }

// pipelinedDrain: consumers send further idempotent requests before the first one is
// answered, and the machine that they are connected to gets a SIGTERM.
func pipelinedDrain(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	if err := p.startStore(manifest(firstVersion, manifestRoute{service: "vault", kind: "download", timeout: 2.5, goal: 2, attempts: 2})); err != nil {
		return verdict{}, err
	}
	b := behaviour{work: pullWork, answerBytes: pullBytes, sendFor: pullSendFor, zones: 3}
	if err := p.startInstances(ctx, 0, 60, "vault", b, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	var all []*consumer
	for _, r := range p.relays {
		consumers, err := p.pullFrom(ctx, r)
		if err != nil {
			return verdict{}, err
		}
		all = append(all, consumers...)
	}
	return countLost(p, all, seen, true, 0), nil
}

// pullFrom lets consumers pull from a machine, which gets a SIGTERM, and returns them when
// the time for all answers is over.
func (p *play) pullFrom(ctx context.Context, r *relay) ([]*consumer, error) {
	pulling, stop := context.WithTimeout(ctx, pullBefore+pullAfter)
	defer stop()
	var consumers []*consumer
	var sending sync.WaitGroup
	for i := range pullConsumers {
		c, err := newConsumer(p.log, fmt.Sprintf("%s-consumer-%d", r.name, i), r.front())
		if err != nil {
			return nil, err
		}
		consumers = append(consumers, c)
		sending.Go(func() { pull(pulling, c) })
	}
	if err := pause(ctx, pullBefore); err != nil {
		return nil, err
	}
	if p.trouble {
		go p.restart(r)
	}
	sending.Wait()
	return consumers, pause(ctx, pullLimit+500*time.Millisecond)
}

// pull sends requests with random gaps until ctx ends or the connection closes.
func pull(ctx context.Context, c *consumer) {
	for pause(ctx, time.Duration(rand.ExpFloat64()*float64(meanGap))) == nil {
		if _, ok := c.get("/vault/1", pullLimit); !ok {
			return
		}
	}
}
