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

// settingsPollInterval is the time between two checks of whether the settings
// file was written, which can happen without a signal. No setting is urgent.
const settingsPollInterval = 2 * time.Second

// reloader applies changes of the settings file to a running process.
type reloader struct {
	Path         string
	PollInterval time.Duration
	// Apply puts the bounds of changed settings into force.
	Apply func(pimento.Bounds)
	// Emit logs an event with its attributes.
	Emit func(number pimento.EventNumber, pairs ...any)

	settings platform.Settings // as last read without errors
	modTime  time.Time         // of the file at the last poll
	size     int64             // of the file at the last poll
}

// watchHangup returns a channel that receives SIGHUP, which then no longer
// terminates the process.
func watchHangup() (hangups <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// run rereads the file at each SIGHUP, and at a poll that finds it changed,
// until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(r.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload()
		case <-ticker.C:
			if r.fileChanged() {
				r.reload()
			}
		}
	}
}

// fileChanged reports whether the file was written since the last poll.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.Path)
	if err != nil { // the file may be missing while it is replaced; keep the current settings
		return false
	}
	changed := !info.ModTime().Equal(r.modTime) || info.Size() != r.size
	r.modTime, r.size = info.ModTime(), info.Size()
	return changed
}

// reload rereads the file and applies what can change in a running process.
// Invalid settings change nothing.
func (r *reloader) reload() {
	next, err := platform.ReadSettings(r.Path)
	if err != nil {
		r.Emit(pimento.EventSettingsInvalid, "Cause", err)
		return
	}
	change := r.settings.Diff(next)
	if change.IsZero() {
		return
	}
	if len(change.Immediate) > 0 {
		bounds := next.Bounds
		bounds.MaxHold = r.settings.Bounds.MaxHold
		r.Apply(bounds)
	}
	r.Emit(pimento.EventSettingsChanged, "Changed", change.Immediate, "AfterRestart", change.NeedsRestart)
	r.settings = next
}
