package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var t0 = time.Unix(1_800_000_000, 0)

func ids(names ...pimento.ProcessID) []pimento.ProcessID { return names }

func noneEnded(pimento.ProcessID) bool { return false }

func endedIDs(list ...pimento.ProcessID) func(pimento.ProcessID) bool {
	return func(id pimento.ProcessID) bool {
		for _, x := range list {
			if x == id {
				return true
			}
		}
		return false
	}
}

// newLeader returns a machine that leads the given epoch.
func newLeader(self pimento.ProcessID, epoch uint64, confirmers []pimento.ProcessID, prior ...[]pimento.ProcessID) *Machine {
	m := New(self, DefaultTiming())
	m.AdoptTerm(t0, pimento.Term{Epoch: epoch, Leader: self, Confirmers: confirmers, Prior: prior})
	m.RecordVerified(t0, epoch)
	m.Tick(t0, noneEnded)
	return m
}

func TestAuthorityNeedsAMajority(t *testing.T) {
	is := is.New(t)
	m := newLeader("a", 1, ids("a", "b", "c", "d", "e"))
	is.True(m.AuthorityUntil().IsZero())
	m.HandleReply(t0, "b", 1, true)
	is.True(m.AuthorityUntil().IsZero())
	m.HandleReply(t0.Add(20*time.Millisecond), "c", 1, true)
	// The lease starts when the third latest confirmed heartbeat was sent.
	is.Equal(m.AuthorityUntil(), t0.Add(m.timing.Lease))
	m.HandleReply(t0.Add(time.Second), "d", 1, false) // knows the term, but does not confirm it
	is.Equal(m.AuthorityUntil(), t0.Add(m.timing.Lease))
	m.HandleReply(t0.Add(time.Second), "d", 2, true) // of another epoch
	is.Equal(m.AuthorityUntil(), t0.Add(m.timing.Lease))
	m.HandleReply(t0.Add(time.Second), "x", 1, true) // not a confirmer
	is.Equal(m.AuthorityUntil(), t0.Add(m.timing.Lease))
}

func TestOnlyTheLatestTermIsConfirmed(t *testing.T) {
	is := is.New(t)
	m := New("b", DefaultTiming())
	first := pimento.Term{Epoch: 1, Leader: "a", Confirmers: ids("a", "b", "c")}
	second := pimento.Term{Epoch: 2, Leader: "c", Confirmers: ids("a", "b", "c")}
	is.True(m.HandleHeartbeat(t0, Heartbeat{From: "a", Term: first}))
	is.True(m.HandleHeartbeat(t0, Heartbeat{From: "c", Term: second})) // adopted from the heartbeat
	is.True(!m.HandleHeartbeat(t0, Heartbeat{From: "a", Term: first}))
	is.True(!m.HandleHeartbeat(t0, Heartbeat{From: "x", Term: second})) // not the leader of the term
}

func TestLeaderWithoutStoreStops(t *testing.T) {
	is := is.New(t)
	m := newLeader("a", 1, ids("a", "b", "c"))
	afterLimit := t0.Add(m.timing.MaxWithoutStore)
	m.Tick(afterLimit, noneEnded)
	m.HandleReply(afterLimit, "b", 1, true)
	is.Equal(m.AuthorityUntil(), t0.Add(m.timing.MaxWithoutStore))
	m.RecordVerified(afterLimit, 1)
	is.Equal(m.AuthorityUntil(), afterLimit.Add(m.timing.Lease))
	m.RecordVerified(afterLimit.Add(time.Hour), 2) // of another term
	is.Equal(m.AuthorityUntil(), afterLimit.Add(m.timing.Lease))
}

func TestSettled(t *testing.T) {
	five := ids("a", "b", "c", "d", "e")
	for _, c := range []struct {
		name    string
		epoch   uint64
		prior   [][]pimento.ProcessID
		knowing []pimento.ProcessID
		ended   []pimento.ProcessID
		settled bool
	}{
		{"the first term", 1, nil, nil, nil, true},
		{"too few know the term", 2, [][]pimento.ProcessID{five}, ids("b"), nil, false},
		{"a majority knows the term", 2, [][]pimento.ProcessID{five}, ids("b", "c"), nil, true},
		{"ended processes count", 2, [][]pimento.ProcessID{five}, ids("b"), ids("d"), true},
		{"each set counts", 3, [][]pimento.ProcessID{five, ids("x", "y", "z")}, ids("b", "c"), nil, false},
		{"all sets are blocked", 3, [][]pimento.ProcessID{five, ids("x", "y", "z")}, ids("b", "c", "x"), ids("y"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newLeader("a", c.epoch, five, c.prior...)
			for _, id := range c.knowing {
				m.HandleReply(t0, id, c.epoch, false)
			}
			m.Tick(t0, endedIDs(c.ended...))
			at, ok := m.SettledAt()
			is.True(ok)
			leaseEnd := t0.Add(m.timing.Lease + m.timing.Drift)
			is.Equal(!at.After(leaseEnd), c.settled)
			if c.settled && c.epoch > 1 {
				is.Equal(at, leaseEnd) // authority that was given before lasts a lease
			}
			if !c.settled {
				// An earlier leader that cannot reach the store stops by itself.
				is.True(!at.After(t0.Add(m.timing.MaxWithoutStore + m.timing.Lease + 2*m.timing.Drift)))
			}
		})
	}
}

func TestMayCampaign(t *testing.T) {
	term := pimento.Term{Epoch: 3, Leader: "a", Confirmers: ids("a", "b", "c")}
	timing := DefaultTiming()
	for _, c := range []struct {
		name      string
		self      pimento.ProcessID
		after     time.Duration
		storeLost bool
		ended     []pimento.ProcessID
		want      bool
	}{
		{"leader was in contact recently", "b", timing.SuspectAfter / 2, false, nil, false},
		{"silent leader", "b", timing.SuspectAfter + 10*time.Millisecond, false, nil, true},
		{"second candidate waits longer", "c", timing.SuspectAfter + 10*time.Millisecond, false, nil, false},
		{"second candidate after its delay", "c", timing.SuspectAfter + timing.Stagger + 10*time.Millisecond, false, nil, true},
		{"second candidate, first ended", "c", timing.SuspectAfter + 10*time.Millisecond, false, ids("b"), true},
		{"ended leader", "b", 10 * time.Millisecond, false, ids("a"), true},
		{"leader cannot reach the store", "b", timing.StoreLossDelay + 210*time.Millisecond, true, nil, true},
		{"leader has just lost the store", "b", timing.StoreLossDelay / 2, true, nil, false},
		{"the leader itself", "a", time.Hour, false, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New(c.self, timing)
			m.AdoptTerm(t0, term)
			now := t0
			for c.storeLost && now.Before(t0.Add(c.after)) {
				m.HandleHeartbeat(now, Heartbeat{From: "a", Term: term, StoreLost: true})
				now = now.Add(100 * time.Millisecond)
			}
			is.Equal(m.MayCampaign(t0.Add(c.after), endedIDs(c.ended...)), c.want)
		})
	}
}

func TestGrantsVote(t *testing.T) {
	is := is.New(t)
	m := New("b", DefaultTiming())
	term := pimento.Term{Epoch: 3, Leader: "a", Confirmers: ids("a", "b", "c")}
	is.True(m.GrantsVote(t0, 0)) // knows no leader
	m.AdoptTerm(t0, term)
	is.True(!m.GrantsVote(t0.Add(100*time.Millisecond), 3)) // the term was adopted recently
	is.True(m.GrantsVote(t0.Add(m.timing.SuspectAfter), 3))
	is.True(!m.GrantsVote(t0.Add(m.timing.SuspectAfter), 2)) // the candidate knows only an earlier epoch
}

func TestNextTerm(t *testing.T) {
	is := is.New(t)
	m := New("b", DefaultTiming())
	old := ids("a", "b", "c")
	m.AdoptTerm(t0, pimento.Term{Epoch: 3, Leader: "a", Confirmers: old, Prior: [][]pimento.ProcessID{ids("x", "y", "z")}})
	next := m.NextTerm(ids("c", "d"), noneEnded)
	is.Equal(next.Epoch, uint64(4))
	is.Equal(next.Leader, pimento.ProcessID("b"))
	is.Equal(next.Confirmers, ids("b", "c", "d"))
	is.Equal(next.Prior, [][]pimento.ProcessID{ids("x", "y", "z"), old}) // neither set is blocked

	next = m.NextTerm(ids("c", "d"), endedIDs("x", "y", "a", "c"))
	is.Equal(next.Prior, [][]pimento.ProcessID(nil)) // too few of each are left for a majority
}

func TestSettledStaysWhenConfirmersChange(t *testing.T) {
	is := is.New(t)
	m := newLeader("a", 2, ids("a", "b", "c"), ids("a", "b", "c"))
	m.HandleReply(t0, "b", 2, true)
	m.Tick(t0, noneEnded)
	before, _ := m.SettledAt()
	next := m.NextTerm(ids("b", "d"), noneEnded)
	// Until it knows that the next term is stored, this process may act by the
	// present one, so a later leader has to count its confirmers.
	is.Equal(next.Prior, [][]pimento.ProcessID{ids("a", "b", "c")})
	m.AdoptTerm(t0.Add(time.Second), next)
	after, _ := m.SettledAt()
	is.Equal(after, before)
	is.True(m.AuthorityUntil().IsZero()) // the new confirmers have to confirm
}
