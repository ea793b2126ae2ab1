package main

import (
	"hash/fnv"
	"io"
	"sync"
	"time"
)

// windows are the times at which a disruption is on: for some time, again and again.
type windows struct {
	on  time.Duration
	off time.Duration // between two times

	mu    sync.Mutex
	began time.Time // zero: not yet
}

// start begins the first time.
func (w *windows) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = time.Now()
}

// active reports whether the disruption is on now.
func (w *windows) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.began.IsZero() && time.Since(w.began)%(w.on+w.off) < w.on
}

// chosen reports whether a text falls into a share, by its hash.
func chosen(text string, share float64) bool {
	const parts = 100003
	h := fnv.New64a()
	// A hash takes every write.
	_, _ = io.WriteString(h, text)
	return float64(h.Sum64()%parts) < share*parts
}
