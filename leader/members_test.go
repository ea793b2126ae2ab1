package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
)

func proc(host pimento.HostName, id pimento.ProcessID) pimento.Process {
	return pimento.Process{ID: id, Host: host}
}

// TestStaleReadingKeepsJoinedProcess guards against treating a joined process as
// ended because a stale reading still shows its predecessor.
func TestStaleReadingKeepsJoinedProcess(t *testing.T) {
	is := is.New(t)
	earlier, joined, later := proc("b", "b-1"), proc("b", "b-2"), proc("b", "b-3")
	earlier.Started, joined.Started, later.Started = time.Unix(1, 0), time.Unix(2, 0), time.Unix(3, 0)
	l := &Leader{Self: proc("a", "a-1"), registered: make(map[pimento.HostName]registeredProcess)}
	l.Init()
	l.elector = elector.New("a-1", elector.DefaultTiming())
	l.assignment = &pimento.Assignment{Members: []pimento.Member{{Process: earlier}, {Process: joined}}}
	l.term = &term{members: map[pimento.ProcessID]*member{}}
	stale := []registeredProcess{{process: earlier, revision: pimento.Revision{Number: 7}}}
	l.mergeProcesses(stale)
	is.True(!l.ended("b-1"))
	is.True(!l.ended("b-2")) // the reading does not show it yet
	l.HandleJoin(joined)
	(<-l.inbox)()
	is.True(l.ended("b-1"))
	l.mergeProcesses(stale)
	is.True(!l.ended("b-2"))
	is.True(l.ended("b-1"))
	l.mergeProcesses([]registeredProcess{{process: later, revision: pimento.Revision{Number: 9}}})
	is.True(l.ended("b-2"))
	is.True(l.ended("b-1"))
}

// TestMembersNameAllConfirmers guards against a term that names a process which is
// not a member. Its end could not be detected, and as an elector that nobody can
// reach it would keep all others from leading.
func TestMembersNameAllConfirmers(t *testing.T) {
	is := is.New(t)
	l := &Leader{Self: proc("a", "a-1"), registered: map[pimento.HostName]registeredProcess{
		"b": {process: proc("b", "b-1"), revision: pimento.Revision{Number: 7}},
	}}
	l.term = &term{members: map[pimento.ProcessID]*member{"c-2": {process: proc("c", "c-2")}, "d-1": {process: proc("d", "d-1")}}}
	l.assignment = &pimento.Assignment{
		Term:    pimento.Term{Epoch: 3, Leader: "a-1", Confirmers: []pimento.ProcessID{"a-1", "b-1", "c-2"}, Prior: [][]pimento.ProcessID{{"e-1"}}},
		Members: []pimento.Member{{Process: proc("e", "e-1")}, {Process: proc("f", "f-1")}},
	}
	var got []pimento.ProcessID
	for _, m := range l.assignmentMembers(l.assignment, func(pimento.ProcessID) bool { return false }) {
		got = append(got, m.ID)
	}
	is.Equal(got, []pimento.ProcessID{"a-1", "b-1", "c-2", "e-1"}) // not d-1 and f-1, which no term names
}

// TestEarlierProcessInARestoredStore guards against a live process that counts as ended
// because a copy of the store shows an earlier one of its host.
func TestEarlierProcessInARestoredStore(t *testing.T) {
	is := is.New(t)
	earlier, present, next := proc("b", "b-1"), proc("b", "b-2"), proc("b", "b-3")
	earlier.Started, present.Started, next.Started = time.Unix(1, 0), time.Unix(2, 0), time.Unix(3, 0)
	l := &Leader{registered: make(map[pimento.HostName]registeredProcess)}
	for _, x := range []struct {
		process  pimento.Process
		revision pimento.Revision
		want     pimento.ProcessID
	}{
		{earlier, pimento.Revision{Era: 1, Number: 5}, "b-1"},
		{present, pimento.Revision{Era: 1, Number: 9}, "b-2"},
		{earlier, pimento.Revision{Era: 2, Number: 5}, "b-2"}, // the copy
		{present, pimento.Revision{Era: 2, Number: 7}, "b-2"},
		{next, pimento.Revision{Era: 3, Number: 6}, "b-3"},
	} {
		l.mergeProcesses([]registeredProcess{{process: x.process, revision: x.revision}})
		is.Equal(l.registered["b"].process.ID, x.want)
	}
}
