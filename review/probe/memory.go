package main

import (
	"context"
	"fmt"
	"time"
)

// The figures of the case slowReaders.
const (
	videoLimit = 20 * time.Second // as of run-video on the sheet of the large installation
	videoBytes = 6_000_000
	orderLimit = 2500 * time.Millisecond
	orderBytes = 4000
	// firstUploads fit into the memory for callers, moreUploads come uploadGap later.
	firstUploads = 70
	moreUploads  = 50
	uploadGap    = 2 * time.Second
	// slowReadRate is how many bytes of a body a second an instance reads in the disruption.
	slowReadRate = 400_000
	// slowReadBuffer is its receive buffer: the platform's links have small windows.
	slowReadBuffer = 64 << 10
)

func init() { cases[8] = slowReaders }

// slowReaders: consumers upload to instances that read slowly, and more come.
func slowReaders(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	routes := manifest(firstVersion, manifestRoute{service: "reel", kind: "upload", timeout: 20, goal: 20, attempts: 2}, manifestRoute{service: "desk", kind: "non_idempotent", timeout: 2.5, goal: 0.8, attempts: 2})
	if err := p.startStore(routes); err != nil {
		return verdict{}, err
	}
	reel := behaviour{work: 260 * time.Millisecond, answerBytes: 1500, zones: 1}
	if p.trouble {
		reel.readRate, reel.rcvbuf = slowReadRate, slowReadBuffer
	}
	if err := p.startInstances(ctx, 0, 32, "reel", reel, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startInstances(ctx, 40, 8, "desk", behaviour{work: 50 * time.Millisecond, answerBytes: 400, zones: 3}, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	var consumers []*consumer
	body := make([]byte, videoBytes)
	for i := range firstUploads + moreUploads {
		c, err := newConsumer(p.log, fmt.Sprintf("consumer-%d", i), p.relays[0].front())
		if err != nil {
			return verdict{}, err
		}
		consumers = append(consumers, c)
		c.send("POST", "/desk/first", orderLimit, body[:orderBytes]) // the connection is kept
	}
	if err := pause(ctx, orderLimit); err != nil {
		return verdict{}, err
	}
	for _, c := range consumers[:firstUploads] {
		go c.send("POST", "/reel/1", videoLimit, body)
	}
	if err := pause(ctx, uploadGap); err != nil {
		return verdict{}, err
	}
	for _, c := range consumers[firstUploads:] {
		go c.send("POST", "/reel/1", videoLimit, body)
	}
	if err := pause(ctx, videoLimit+time.Second); err != nil {
		return verdict{}, err
	}
	p.log.add("%s had %s of memory at most", p.relays[0].name, p.relays[0].peakMemory())
	return countLost(p, consumers, seen, false, 3), nil
}
