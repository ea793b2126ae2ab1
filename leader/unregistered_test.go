package leader

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
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

// TestTwoLeadersOverUnregisteredConfirmers guards against two holders of a key: a leader
// goes on with confirmers that the store does not show yet, and another one, which takes
// them for ended, does not wait for its authority to lapse.
func TestTwoLeadersOverUnregisteredConfirmers(t *testing.T) {
	for _, c := range []struct {
		name         string
		unregistered bool
	}{
		{"all confirmers are registered", false},
		{"two confirmers are not registered yet", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					l := cl.leaderHost()
					others := slices.DeleteFunc(slices.Clone(cl.hosts), func(h pimento.HostName) bool { return h == l })
					cl.mu.Lock()
					cl.refusesEntries = c.unregistered
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
