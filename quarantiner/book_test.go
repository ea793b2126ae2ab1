package quarantiner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBooksBecomeEqual checks that processes that tell each other their facts in any
// order, again and again, count the same, and that what was cleared stays cleared.
func TestBooksBecomeEqual(t *testing.T) {
	is := is.New(t)
	var a, b Book
	for i := range 4 {
		a.add(t0, 1, Run{Upstream: "a", Started: int64(i)}, entry{foundAt: t0, knownAt: t0})
	}
	is.Equal(len(b.Merge(at(1), a.Since(at(1), 0))), 4)
	is.Equal(b.clear(1, at(0.5)), 0) // sent before b knew of them
	is.Equal(a.clear(1, at(0.5)), 4)
	b.add(at(2), 1, Run{Upstream: "b"}, entry{foundAt: at(2), knownAt: at(2)})
	fromA, fromB := a.Since(at(3), 0), b.Since(at(3), 0)
	slices.Reverse(fromA)
	for range 3 {
		b.Merge(at(3), fromA)
		a.Merge(at(3), fromB)
		is.Equal(a.Crashes(1), 1)
		is.Equal(b.Crashes(1), 1)
	}
	is.Equal(a.Since(at(4), 0), b.Since(at(4), 0))
	version := b.Version()
	is.Equal(len(b.Merge(at(5), a.Since(at(5), 0))), 0)
	is.Equal(b.Version(), version)
	is.Equal(len(b.Since(at(5), version)), 0)
}

// TestFactsAreReportedUntilShown checks that a lost message loses no fact, and that a
// new leader is told everything.
func TestFactsAreReportedUntilShown(t *testing.T) {
	is := is.New(t)
	m := New()
	crash(m, t0, "a", 1)
	facts := m.Reports(at(5), 1)
	is.Equal(facts, []Fact{{Fingerprint: 1, Run: runAt("a", -100), Age: 4900 * time.Millisecond}})
	is.Equal(m.Reports(at(5), 1), facts)
	m.Merge(at(6), facts)
	is.Equal(len(m.Reports(at(6), 1)), 0)
	is.Equal(len(m.Reports(at(6), 2)), 1)
	m.Merge(at(7), facts)
	m.Answered(at(9), runAt("b", 0), at(8), 1)
	cleared := m.Reports(at(9), 2)
	is.Equal(len(cleared), 1)
	is.True(cleared[0].Cleared)
	m.Merge(at(10), facts) // older than the answer
	is.Equal(m.Reports(at(9), 2), cleared)
	m.Merge(at(10), cleared)
	is.Equal(len(m.Reports(at(11), 2)), 0)
	is.Equal(m.Crashes(1), 0)
}
