package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

// storeLostAfter is the time without a successful call after which a failed one
// means that the store is lost. Single calls fail in normal operation too.
const storeLostAfter = time.Second

// storeHealth detects when the store is lost and when it answers again.
type storeHealth struct {
	mu           sync.Mutex
	lastAnswerAt time.Time // time of the last successful call, or of the first failed one
	lost         bool
	failing      bool // the last call that was reported, or reading of the upstreams, has failed
}

// observedSource records whether the latest reading of the upstreams has failed, by this
// process as the leader or for itself. A router may be built on a store that reports no
// calls.
type observedSource struct {
	pimento.Source
	health *storeHealth
}

// Upstreams implements pimento.Source.
func (s observedSource) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	list, err := s.Source.Upstreams(ctx)
	if errors.Is(err, context.Canceled) {
		return list, err
	}
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.failing = err != nil
	return list, err
}

// ObserveStoreCall records a call to the store: what it was for, how long it
// took, and its error. A call whose condition the store rejected has no error.
func (r *Router) ObserveStoreCall(call string, took time.Duration, err error) {
	if errors.Is(err, context.Canceled) || r.observer == nil {
		return
	}
	result := "Answered"
	var busy *pimento.BusyError
	switch {
	case errors.As(err, &busy):
		result = "Busy"
	case err != nil:
		result = "NoAnswer"
	}
	r.observer.observeDuration("relay_store_call_seconds", took, "Call", call, "Result", result)
	now := time.Now()
	if err == nil {
		if since, back := r.storeHealth.answered(now); back {
			r.events.Emit(pimento.EventStoreRecovered, "After", roundToMillis(now.Sub(since)))
		}
		return
	}
	if since, lost := r.storeHealth.failed(now); lost {
		r.events.Emit(pimento.EventStoreLost, "Call", call, "Cause", err, "LastAnswer", roundToMillis(now.Sub(since)))
	}
}

// ObserveStoreEra records the era of the store in an answer.
func (r *Router) ObserveStoreEra(era uint64) {
	if r.leader != nil {
		r.leader.ObserveEra(era)
	}
}

// enterEra reports that the store was restored from a copy, and lets the process
// register again. The first era that a process hears of is none of its own time.
func (r *Router) enterEra(era, former uint64) {
	r.storeEra.Store(era)
	if former == 0 {
		return
	}
	r.follower.confirmer.forget()
	r.events.Emit(pimento.EventStoreRestored, "Era", era, "Former", former)
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

const (
	// probeSpacing is the mean time between two calls of all processes to a store that is
	// away for all of them.
	probeSpacing = 50 * time.Millisecond
	// minProbePause and maxProbePause bound the time between two such calls of one process.
	minProbePause = time.Second
	maxProbePause = 5 * time.Second
)

// storeIsAway reports whether neither this process nor its leader reaches the store. The
// leader goes on calling it, and its heartbeats tell of the return.
func (r *Router) storeIsAway() bool { return r.leader.LeaderLostStore() && r.storeHealth.isLost() }

// probePause returns the time between two calls of this process to a store that is away.
func (f *follower) probePause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	processes := 0
	if f.roster != nil {
		processes = len(f.roster.Processes)
	}
	return min(max(time.Duration(processes)*probeSpacing, minProbePause), maxProbePause)
}

// awaitStore waits while the store is away, until this process's next call is due.
func (f *follower) awaitStore(ctx context.Context) {
	pause := f.probePause()
	pause = pause/2 + rand.N(pause)
	for end := time.Now().Add(pause); f.router.storeIsAway() && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, leaderCheckInterval)
	}
}

// ReportInvalidEntry logs why an entry of the store was skipped, unless the last
// error of that entry was the same.
func (r *Router) ReportInvalidEntry(name string, err error) {
	r.entryFaults.mu.Lock()
	if r.entryFaults.reported == nil || len(r.entryFaults.reported) > maxReportedEntries {
		r.entryFaults.reported = make(map[string]string)
	}
	known := r.entryFaults.reported[name] == err.Error()
	r.entryFaults.reported[name] = err.Error()
	r.entryFaults.mu.Unlock()
	if !known && r.events != nil {
		r.events.Emit(pimento.EventConfigInvalid, "Name", name, "Cause", err)
	}
}

// maxReportedEntries bounds the entries whose errors are remembered.
const maxReportedEntries = 1000

// entryFaults holds the errors of store entries that were already logged.
type entryFaults struct {
	mu       sync.Mutex
	reported map[string]string // error by the name of the entry
}

// isLost reports whether calls have failed for longer than storeLostAfter.
func (h *storeHealth) isLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// isFailing reports whether the last call has failed.
func (h *storeHealth) isFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}

// answered records a successful call, and reports whether the store was lost
// until now and when it last answered before.
func (h *storeHealth) answered(now time.Time) (since time.Time, back bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, back = h.lastAnswerAt, h.lost
	h.lastAnswerAt, h.lost, h.failing = now, false, false
	return since, back
}

// failed records a failed call, and reports whether the store counts as lost
// from now on and when it last answered.
func (h *storeHealth) failed(now time.Time) (since time.Time, lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = true
	if h.lastAnswerAt.IsZero() {
		h.lastAnswerAt = now
	}
	if h.lost || now.Sub(h.lastAnswerAt) < storeLostAfter {
		return h.lastAnswerAt, false
	}
	h.lost = true
	return h.lastAnswerAt, true
}
