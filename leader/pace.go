package leader

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

const (
	// minStepPause is the least time between two steps, in which messages are handled.
	// Keys that a release has freed wait for it.
	minStepPause = 5 * time.Millisecond
	// stepPauseFactor is the ratio of the pause after a step to the time that the step
	// took, up to stepInterval.
	stepPauseFactor = 3
	// delayDecay is the time in which a delay of the leader's loop counts for half.
	delayDecay = time.Second
)

// pace spaces the steps of the state machines, so that handling messages has its share
// of the processor. Its timer calls a function and has no channel: who reads such a
// channel may run the timer, and where several goroutines in a bubble of
// testing/synctest do that at once, the race detector of Go 1.26 crashes.
type pace struct {
	notBefore time.Time // the next step
	nextTick  time.Time // a step that no message asks for
	wake      chan struct{}
	timer     *time.Timer // sends to wake at nextTick, or at notBefore once a step was not allowed
}

func newPace(now time.Time) *pace {
	p := &pace{nextTick: now.Add(stepInterval), wake: make(chan struct{}, 1)}
	p.timer = time.AfterFunc(stepInterval, func() {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	})
	return p
}

// allows reports whether a step may begin now. If not, wake receives when one may.
func (p *pace) allows(now time.Time) bool {
	if now.Before(p.notBefore) {
		p.timer.Reset(p.notBefore.Sub(now))
		return false
	}
	return true
}

// took records a step that began and ended at the given times.
func (p *pace) took(began, ended time.Time) {
	pause := min(max(minStepPause, stepPauseFactor*ended.Sub(began)), stepInterval)
	p.notBefore = ended.Add(pause)
	if late := began.Sub(p.nextTick); late >= 0 {
		p.nextTick = p.nextTick.Add(late.Truncate(stepInterval) + stepInterval)
	}
	p.timer.Reset(p.nextTick.Sub(ended))
}

// run handles messages and steps until ctx ends. The messages that wait are handled
// before a step: its cost grows with the keys and members, theirs does not.
func (l *Leader) run(ctx context.Context) error {
	p := newPace(time.Now())
	defer p.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-l.inbox:
			do()
			l.updateRole(ctx)
			l.handleWaiting(ctx)
		case <-p.wake:
		}
		if began := time.Now(); p.allows(began) {
			l.step(ctx)
			p.took(began, time.Now())
		}
	}
}

// handleWaiting handles the messages that wait now.
func (l *Leader) handleWaiting(ctx context.Context) {
	for range len(l.inbox) {
		(<-l.inbox)()
		l.updateRole(ctx)
	}
}

// post queues a message for the goroutine of the state machines, unless ctx ends before,
// and measures how long it waits.
func (l *Leader) post(ctx context.Context, do func()) {
	queuedAt := time.Now()
	timed := func() {
		now := time.Now()
		l.delay.observe(now, now.Sub(queuedAt))
		if l.OnDelay != nil {
			l.OnDelay(now.Sub(queuedAt))
		}
		do()
	}
	select {
	case l.inbox <- timed:
	case <-ctx.Done():
	}
}

// Delay returns how long messages have recently waited for the leader's loop: the
// longest wait, which counts for half after each delayDecay.
func (l *Leader) Delay() time.Duration { return l.delay.value(time.Now()) }

// delay is a decaying maximum of the time that messages wait. One goroutine observes,
// any may read.
type delay struct {
	longest atomic.Int64 // nanoseconds, as of at
	at      atomic.Int64 // Unix nanoseconds
}

func (d *delay) observe(now time.Time, waited time.Duration) {
	if waited >= d.value(now) {
		d.longest.Store(int64(waited))
		d.at.Store(now.UnixNano())
	}
}

func (d *delay) value(now time.Time) time.Duration {
	elapsed := float64(now.UnixNano()-d.at.Load()) / float64(delayDecay)
	return time.Duration(float64(d.longest.Load()) * math.Exp2(-max(0, elapsed)))
}
