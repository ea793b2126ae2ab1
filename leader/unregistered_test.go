package leader

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
)

// TestProcessThatIsNotRegisteredYet guards against a process that has joined, and confirms
// a term, and counts as ended because the store still shows the one before it.
func TestProcessThatIsNotRegisteredYet(t *testing.T) {
	is := is.New(t)
	earlier, joined := proc("b", "b-1"), proc("b", "b-2")
	earlier.Started, joined.Started = time.Unix(1, 0), time.Unix(2, 0)
	l := &Leader{Self: proc("a", "a-1"), registered: make(map[pimento.HostName]registeredProcess)}
	l.assignment = &pimento.Assignment{Members: []pimento.Member{{Process: joined}}} // as its leader wrote
	l.mergeProcesses([]registeredProcess{{process: earlier, revision: pimento.Revision{Number: 7}}})
	is.True(!l.ended(joined.ID))
}

// TestConfirmersAreStored guards against a confirmer that the store does not show yet: a
// reading that shows the process before it would be taken for a later one.
func TestConfirmersAreStored(t *testing.T) {
	is := is.New(t)
	joined := proc("b", "b-2")
	l := &Leader{Self: proc("a", "a-1"), registered: make(map[pimento.HostName]registeredProcess)}
	l.Init()
	l.elector = elector.New("a-1", elector.DefaultTiming())
	l.assignment, l.term = &pimento.Assignment{}, &term{members: map[pimento.ProcessID]*member{}}
	l.mergeProcesses([]registeredProcess{{process: proc("b", "b-1"), revision: pimento.Revision{Number: 7}}})
	join := func() { l.HandleJoin(joined); (<-l.inbox)() }
	live := []pimento.ProcessID{"a-1", "b-2"}
	join()
	is.Equal(l.eligible(live), []pimento.ProcessID{"a-1"})
	l.mergeProcesses([]registeredProcess{{process: joined, revision: pimento.Revision{Number: 8}}})
	is.Equal(l.eligible(live), live)
	join() // again
	is.Equal(l.eligible(live), live)
	l.elector.AdoptTerm(time.Unix(1, 0), pimento.Term{Epoch: 1, Leader: "a-1", Confirmers: []pimento.ProcessID{"a-1", "c-1"}})
	is.Equal(l.eligible([]pimento.ProcessID{"c-1", "d-1"}), []pimento.ProcessID{"c-1"}) // a confirmer already
}

// TestHiddenProcessDoesNotCampaign guards against a leader that the store does not show
// yet, which others take for the ended process before it.
func TestHiddenProcessDoesNotCampaign(t *testing.T) {
	is := is.New(t)
	l := &Leader{Self: proc("a", "a-2"), registered: make(map[pimento.HostName]registeredProcess)}
	is.True(!l.isHidden()) // no process of its host ever registered
	l.mergeProcesses([]registeredProcess{{process: proc("a", "a-1"), revision: pimento.Revision{Number: 7}}})
	is.True(l.isHidden())
	l.mergeProcesses([]registeredProcess{{process: l.Self, revision: pimento.Revision{Number: 8}}})
	is.True(!l.isHidden())
}

// TestTwoLeadersOverUnregisteredConfirmers guards against two holders of a key: a leader
// goes on with confirmers that the store does not show yet, and another one, which takes
// them for ended, does not wait for its authority to lapse.
func TestTwoLeadersOverUnregisteredConfirmers(t *testing.T) {
	for _, c := range []struct {
		name         string
		unregistered bool
		clockOffset  time.Duration // of two confirmers
	}{
		{"all confirmers are registered", false, 0},
		{"two confirmers are not registered yet", true, 0},
		{"two confirmers are not registered yet, and their clocks were set back", true, -time.Hour},
		{"all confirmers are registered, and the clocks of two were set back", false, -time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					l := cl.leaderHost()
					others := slices.DeleteFunc(slices.Clone(cl.hosts), func(h pimento.HostName) bool { return h == l })
					cl.mu.Lock()
					cl.refusesEntries, cl.clockOffset = c.unregistered, c.clockOffset
					cl.mu.Unlock()
					for _, h := range others[:2] {
						cl.killProcess(h)
						cl.startProcess(h)
						time.Sleep(4 * time.Second) // it joins, and becomes a confirmer
					}
					cl.splitFrom(append(slices.Clone(others[:3]), l), others[3:], "u0")
					time.Sleep(12 * time.Second)
				})
			}
		})
	}
}

// splitFrom cuts some hosts from the others and from the store. Only they reach an
// upstream.
func (cl *cluster) splitFrom(hosts, others []pimento.HostName, name pimento.UpstreamName) {
	cut := func(a, b string) {
		cl.cutLink(a, b)
		cl.cutLink(b, a)
	}
	for _, h := range hosts {
		cut(string(h), storeName)
		for _, o := range others {
			cut(string(h), string(o))
		}
	}
	for _, o := range others {
		cut(string(o), string(name))
	}
}
