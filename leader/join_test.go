package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
)

// TestLateJoinEndsNoLaterProcess guards against a Join that was held up on its way and
// makes the present process of its host count as ended.
func TestLateJoinEndsNoLaterProcess(t *testing.T) {
	is := is.New(t)
	earlier, present := proc("b", "b-1"), proc("b", "b-2")
	earlier.Started, present.Started = time.Unix(1, 0), time.Unix(2, 0)
	l := &Leader{Self: proc("a", "a-1"), registered: make(map[pimento.HostName]registeredProcess)}
	l.Init()
	l.elector = elector.New("a-1", elector.DefaultTiming())
	l.assignment = &pimento.Assignment{Members: []pimento.Member{{Process: present}}}
	l.mergeProcesses([]registeredProcess{{process: present, revision: pimento.Revision{Number: 9}}})
	l.term = &term{members: map[pimento.ProcessID]*member{}}
	l.HandleJoin(earlier)
	(<-l.inbox)()
	is.True(!l.ended("b-2"))
}
