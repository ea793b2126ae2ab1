package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/recorder"
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

// TestEarlierEntryEndsNoLaterProcess guards against a process that counts as ended, and
// whose confirmations are not waited for, since a restored store shows an earlier one.
func TestEarlierEntryEndsNoLaterProcess(t *testing.T) {
	is := is.New(t)
	earlier, present := proc("b", "b-1"), proc("b", "b-2")
	earlier.Started, present.Started = time.Unix(1, 0), time.Unix(2, 0)
	l := &Leader{Self: proc("a", "a-1"), Events: &recorder.Recorder{}, registered: make(map[pimento.HostName]registeredProcess)}
	l.elector = elector.New("a-1", elector.DefaultTiming())
	l.assignment = &pimento.Assignment{}
	l.mergeProcesses([]registeredProcess{{process: earlier, revision: pimento.Revision{Era: 2, Number: 9}}})
	term := pimento.Term{Epoch: 3, Leader: "b-2", Confirmers: []pimento.ProcessID{"b-2"}}
	l.learnFromVotes([]vote{{Vote: messenger.Vote{Term: &term, Processes: []pimento.Process{present}}}})
	is.True(!l.ended("b-2"))
	is.Equal(len(l.elector.NextTerm([]pimento.ProcessID{"a-1"}, l.ended).Prior), 1) // b-2 may still have authority
}
