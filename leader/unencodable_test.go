package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestAssignmentThatCannotBeEncoded guards against a value that cannot be stored and stops the
// leader with all that it does besides.
func TestAssignmentThatCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPushTest(t).leader
		next := l.assignment.Clone()
		next.Tables[0].Holdings = []pimento.Holding{{Holder: pimento.Run{Upstream: "u1", Started: time.Date(57_000, 1, 1, 0, 0, 0, 0, time.UTC)}}}
		isDone := false
		l.writeAssignment(t.Context(), next, l.revision, func(s storedAssignment, won bool) {
			isDone = true
			is.True(s.assignment == nil)
			is.True(!won)
		})
		is.True(!isDone) // it would be tried again at once
		(<-l.inbox)()
		is.True(isDone)
		events := l.Events.Events()
		is.Equal(events[len(events)-1].Number, pimento.EventAssignmentInvalid)

		l.assignment = &next
		is.Equal(l.handOver(), nil)
	})
}
