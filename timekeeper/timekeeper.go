// Package timekeeper reads a clock that neither stops while the machine is
// suspended nor jumps when the time of day is set. Leases and holds are
// measured by it: Go's monotonic clock does not count a suspension, so an expired
// lease would appear valid.
//
// # Usage
//
//	until := timekeeper.Now().Add(lease)
//	if timekeeper.Now().Before(until) { ... }
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// The time of day at the start of the process, and CLOCK_BOOTTIME then.
var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// sinceBoot returns the time since the machine booted, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}

// clockOverride replaces the clock if set.
var clockOverride atomic.Pointer[func() time.Time]

// SetClock makes Now read another clock, such as a test's virtual clock, until
// restore is called.
func SetClock(clock func() time.Time) (restore func()) {
	clockOverride.Store(&clock)
	return func() { clockOverride.Store(nil) }
}

// Now returns the time. It starts at the time of day when the process starts, and
// does not follow later changes of that. Its results may be compared and subtracted.
func Now() time.Time {
	if clock := clockOverride.Load(); clock != nil {
		return (*clock)()
	}
	return startWall.Add(sinceBoot() - startBoot)
}
