package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

// lostAfter is how long the store may leave calls without a good answer before
// it counts as lost. Single calls fail in calm times too.
const lostAfter = time.Second

// dependency tells when the store was lost and when it answers again.
type dependency struct {
	mu     sync.Mutex
	goodAt time.Time // of the last good answer, or of the first call
	lost   bool
}

// StoreResult takes the result of a call to the store: what it was for, how long
// it took, and nil or the error that it ended with. Answers that refuse a
// condition are good ones.
func (r *Router) StoreResult(call string, took time.Duration, err error) {
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
	r.observer.duration("relay_store_call_seconds", took, "Call", call, "Result", result)
	now := time.Now()
	if err == nil {
		if since, back := r.store.answered(now); back {
			r.events.Emit(pimento.EventPlatformBack, "After", round(now.Sub(since)))
		}
		return
	}
	if since, lost := r.store.failed(now); lost {
		r.events.Emit(pimento.EventPlatformLost, "Call", call, "Cause", err, "LastAnswer", round(now.Sub(since)))
	}
}

// EntryFault takes a fault of an entry in the store that was left out, and tells
// of it once for each entry and cause.
func (r *Router) EntryFault(name string, err error) {
	r.faults.mu.Lock()
	if r.faults.told == nil || len(r.faults.told) > maxFaults {
		r.faults.told = make(map[string]string)
	}
	known := r.faults.told[name] == err.Error()
	r.faults.told[name] = err.Error()
	r.faults.mu.Unlock()
	if !known && r.events != nil {
		r.events.Emit(pimento.EventConfigInvalid, "Name", name, "Cause", err)
	}
}

// maxFaults bounds the entries whose faults are remembered.
const maxFaults = 1000

// faults are the entries that were told to be faulty.
type faults struct {
	mu   sync.Mutex
	told map[string]string // the cause by the name of the entry
}

// answered notes a good answer, and reports whether the store was lost until
// then and since when.
func (d *dependency) answered(now time.Time) (since time.Time, back bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, back = d.goodAt, d.lost
	d.goodAt, d.lost = now, false
	return since, back
}

// failed notes a call without a good answer, and reports whether the store
// counts as lost from now on and when it last answered.
func (d *dependency) failed(now time.Time) (since time.Time, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.goodAt.IsZero() {
		d.goodAt = now
	}
	if d.lost || now.Sub(d.goodAt) < lostAfter {
		return d.goodAt, false
	}
	d.lost = true
	return d.goodAt, true
}
