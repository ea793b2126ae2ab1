// Package timekeeper reads a clock that neither stops while the machine is
// suspended nor jumps when the time of day is set. Leases and holds are
// measured by it: the steady clock of the language would not count a
// suspension, and a lease would seem to last although it has lapsed.
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

// start is a time of day with what the clock showed then.
var (
	startWall = time.Now().Round(0)
	startBoot = boot()
)

// boot returns the time since the machine started, suspensions included.
func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}

// other is the clock that is read instead, if any.
var other atomic.Pointer[func() time.Time]

// Use lets Now read another clock, such as that of a test on virtual time,
// until restore is called.
func Use(clock func() time.Time) (restore func()) {
	other.Store(&clock)
	return func() { other.Store(nil) }
}

// Now returns the time. Two of its results may be compared and subtracted; it
// is close to the time of day at the start of the process.
func Now() time.Time {
	if clock := other.Load(); clock != nil {
		return (*clock)()
	}
	return startWall.Add(boot() - startBoot)
}
