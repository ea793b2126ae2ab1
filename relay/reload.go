package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

// reloadPause is the time between two looks at the settings file, which may
// change without a signal. Nothing in it is urgent.
const reloadPause = 2 * time.Second

// reloader rereads the settings file of a running process.
type reloader struct {
	Path  string
	Pause time.Duration // between two looks
	// Apply takes the bounds of changed settings.
	Apply func(pimento.Bounds)
	// Tell logs an event.
	Tell func(number pimento.EventNumber, pairs ...any)

	settings platform.Settings // in force
	seenAt   time.Time         // when the file was last written
	size     int64
}

// watchHangup returns the signals that say that the settings have changed. From
// then on they do not end the process.
func watchHangup() (hangups <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// run looks at the file at each signal, and now and then, until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(r.Pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload()
		case <-ticker.C:
			if r.isWritten() {
				r.reload()
			}
		}
	}
}

// isWritten reports whether the file was written since the last look.
func (r *reloader) isWritten() bool {
	info, err := os.Stat(r.Path)
	if err != nil { // it may be written anew just now, or be gone: what is in force stays
		return false
	}
	changed := !info.ModTime().Equal(r.seenAt) || info.Size() != r.size
	r.seenAt, r.size = info.ModTime(), info.Size()
	return changed
}

// reload rereads the file. Settings that are not valid change nothing.
func (r *reloader) reload() {
	next, err := platform.ReadSettings(r.Path)
	if err != nil {
		r.Tell(pimento.EventSettingsInvalid, "Cause", err)
		return
	}
	change := r.settings.Compare(next)
	if change.IsZero() {
		return
	}
	if len(change.Live) > 0 {
		bounds := next.Bounds
		bounds.MaxHold = r.settings.Bounds.MaxHold
		r.Apply(bounds)
	}
	r.Tell(pimento.EventSettingsChanged, "Changed", change.Live, "AfterRestart", change.Restart)
	r.settings = next
}
