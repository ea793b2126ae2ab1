package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/recorder"
)

// TestOwnTermIsReadBeforeItsWriteIsAnswered guards against a leader that never adopts the term
// that it has written, as a reading of it came before the answer to the write.
func TestOwnTermIsReadBeforeItsWriteIsAnswered(t *testing.T) {
	is := is.New(t)
	l := &Leader{Self: pimento.Process{ID: "a"}, Events: &recorder.Recorder{}, elector: elector.New("a", elector.DefaultTiming())}
	now := time.Now()
	first := &pimento.Assignment{Term: pimento.Term{Epoch: 1, Leader: "a"}, Version: 1}
	second := &pimento.Assignment{Term: pimento.Term{Epoch: 2, Leader: "a"}, Version: 2}
	l.adoptAssignment(now, storedAssignment{assignment: first, revision: pimento.Revision{Era: 1, Number: 1}}, true)
	written := storedAssignment{assignment: second, revision: pimento.Revision{Era: 1, Number: 2}}
	l.adoptAssignment(now, written, false)
	is.Equal(l.elector.Term().Epoch, uint64(1)) // the write may be another leader's decision to replace
	l.adoptAssignment(now, written, true)
	is.Equal(l.elector.Term().Epoch, uint64(2))
	is.Equal(l.assignment, second)
}
