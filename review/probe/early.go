package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// The figures of the case earlyAnswer.
const (
	earlyLimit     = 5 * time.Second
	earlyBytes     = 360_000 // the longest run-video on the sheet
	earlyConsumers = 10
	earlyParts     = 36
	earlyPartGap   = 40 * time.Millisecond
	earlyRead      = 64 << 10 // what the instance has read as it answers
)

func init() { cases[7] = earlyAnswer }

// earlyAnswer: instances answer a long request before they have read all of its body, keep
// the connection and read on.
func earlyAnswer(ctx context.Context, p *play) (verdict, error) {
	seen := &arrivals{byID: make(map[string]*arrival)}
	if err := p.startStore(manifest(firstVersion, manifestRoute{service: "reel", kind: "upload", timeout: 4, goal: 2, attempts: 2})); err != nil {
		return verdict{}, err
	}
	b := behaviour{work: 100 * time.Millisecond, answerBytes: 1500, zones: 3, early: p.trouble}
	if err := p.startInstances(ctx, 0, 8, "reel", b, seen); err != nil {
		return verdict{}, err
	}
	if err := p.startRelays(3); err != nil {
		return verdict{}, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	var consumers []*consumer
	whole := make([]chan bool, earlyConsumers) // whether the consumer could send all
	for i := range earlyConsumers {
		c, err := newConsumer(p.log, fmt.Sprintf("consumer-%d", i), p.relays[i%3].front())
		if err != nil {
			return verdict{}, err
		}
		consumers = append(consumers, c)
		whole[i] = make(chan bool, 1)
		go func() { whole[i] <- c.upload(ctx) }()
	}
	if err := pause(ctx, earlyLimit+time.Second); err != nil {
		return verdict{}, err
	}
	return judgeBodies(p, consumers, whole, seen), nil
}

// upload sends a long request in parts, and reports whether all of it was sent.
func (c *consumer) upload(ctx context.Context) bool {
	a, ok := c.begin("POST", "/reel/1", earlyLimit, earlyBytes, nil)
	if !ok {
		return false
	}
	for range earlyParts {
		if _, err := c.conn.Write(make([]byte, earlyBytes/earlyParts)); err != nil {
			c.log.add("%s cannot send all of %s: %v", c.name, a.id, err)
			return false
		}
		if pause(ctx, earlyPartGap) != nil {
			return false
		}
	}
	c.log.add("%s has sent all of %s", c.name, a.id)
	return true
}

// judgeBodies judges the rule UNASKED: an instance that runs a request, and has answered it
// with success, got another body than the consumer has sent.
func judgeBodies(p *play, consumers []*consumer, whole []chan bool, seen *arrivals) verdict {
	succeeded, changed := 0, 0
	for i, c := range consumers {
		sentAll := <-whole[i]
		for _, a := range c.attempts() {
			if !sentAll || !a.complete || !a.signed || a.status != http.StatusOK {
				continue
			}
			succeeded++
			if at, _ := seen.get(a.id); at.bodyBytes != earlyBytes {
				changed++
				p.log.add("UNASKED: %s got %d of %d bytes of %s, which %s has sent whole and which was answered with success", at.instance, at.bodyBytes, earlyBytes, a.id, c.name)
			}
		}
	}
	return verdict{
		broken:  changed > 0,
		summary: fmt.Sprintf("%d uploads: %d sent whole and answered with success, %d of them with another body at the instance", len(consumers), succeeded, changed),
	}
}

// answerEarly answers a request before its body has come, and reads on.
func (x *instance) answerEarly(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	id := r.Header.Get(headerID)
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return err
	}
	n, err := io.CopyN(io.Discard, r.Body, earlyRead)
	if err != nil {
		return err
	}
	if err := x.answer(ctx, w); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	x.play.log.add("%s has answered %s after %d bytes and reads on", x.id, id, n)
	rest, err := io.Copy(io.Discard, r.Body)
	x.arrivals.change(id, func(a *arrival) { a.bodyBytes = n + rest })
	x.play.log.add("%s has read %d bytes of %s: %v", x.id, n+rest, id, err)
	return err
}
