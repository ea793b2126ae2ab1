package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestSettledAfterARestore guards against a leader that does not wait for one that a restored
// store has shown its term after the election.
func TestSettledAfterARestore(t *testing.T) {
	for _, c := range []struct {
		name    string
		knowing []pimento.ProcessID // of the confirmers of the term before
		settled bool                // whatever the store shows
	}{
		{"most confirmers know the term", ids("b", "c"), true},
		{"most confirmers do not know the term", ids("b"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newLeader("a", 2, ids("a"), ids("b", "c", "d"))
			for _, id := range c.knowing {
				m.HandleReply(t0, id, 2, false)
			}
			m.Tick(t0, noneEnded)
			before, _ := m.SettledAt()
			unknownBefore, _ := m.UnknownSettledAt()
			m.RecordRestore(t0.Add(10 * time.Second))
			after, _ := m.SettledAt()
			unknownAfter, _ := m.UnknownSettledAt()
			is.Equal(after.Equal(before), c.settled)
			is.Equal(unknownAfter.Sub(unknownBefore), 10*time.Second)
		})
	}
}
