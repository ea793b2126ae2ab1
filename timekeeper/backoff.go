package timekeeper

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces out attempts that fail, such as calls to an unreachable store:
// the pause doubles with each failure, and jitter keeps many processes from
// retrying at once. It is not safe for concurrent use.
type Backoff struct {
	Initial time.Duration // first pause
	Max     time.Duration // longest pause

	nextPause time.Duration
}

// Pause returns how long to wait after another failure: a random time between
// half of the current pause and all of it.
func (b *Backoff) Pause() time.Duration {
	d := max(b.nextPause, b.Initial)
	b.nextPause = min(2*d, b.Max)
	return d/2 + rand.N(d/2+1)
}

// Reset restarts at the first pause, after a success.
func (b *Backoff) Reset() { b.nextPause = 0 }
