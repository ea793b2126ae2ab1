package timekeeper

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces out tries of what fails, such as calls to a store that is
// away: each pause is twice as long as the one before, less a random part so
// that many processes do not try at once. It is not safe for concurrent use.
type Backoff struct {
	Least time.Duration // first pause
	Most  time.Duration // longest pause

	next time.Duration
}

// Pause returns how long to wait after one more failure: between half of the
// pause whose turn it is and all of it.
func (b *Backoff) Pause() time.Duration {
	d := max(b.next, b.Least)
	b.next = min(2*d, b.Most)
	return d/2 + rand.N(d/2+1)
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.next = 0 }
