package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFencedLeaderStops guards against a leader that goes on without the store after an
// upstream has seen the fence of another leader, and against one that stops although the
// store shows its term.
func TestFencedLeaderStops(t *testing.T) {
	for _, c := range []struct {
		name     string
		verified time.Duration // after the refusal; zero: never
		acts     bool
	}{
		{"the store does not answer", 0, false},
		{"the store showed the term before", -10 * time.Millisecond, false},
		{"the store shows the term", 100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newLeader("a", 2, ids("a"), ids("a"))
			fencedAt := t0.Add(time.Second)
			m.Tick(fencedAt, noneEnded)
			is.True(m.RecordFenced(fencedAt))
			is.True(!m.RecordFenced(fencedAt.Add(time.Millisecond)))
			if c.verified != 0 {
				m.RecordVerified(fencedAt.Add(c.verified), 2)
			}
			now := fencedAt.Add(m.timing.Lease)
			m.Tick(now, noneEnded)
			is.Equal(now.Before(m.AuthorityUntil()), c.acts)
			is.Equal(m.RecordFenced(now), c.acts)
		})
	}
}
