package router

import (
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// TestProcessThatNoLongerDispatchesKeepsOldOwners guards against a process that left the
// preference list of a pool and reports keys without a holder for ever, since nobody tells
// it of their owners any more.
func TestProcessThatNoLongerDispatchesKeepsOldOwners(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.self.ID = "a"
	roster := func(list ...pimento.ProcessID) *messenger.Roster {
		return &messenger.Roster{Pools: []pimento.Pool{{Service: "s", PreferenceList: list}}}
	}
	r.follower.Apply(&messenger.State{
		Versions: messenger.Versions{Epoch: 1, Roster: 1, Owners: 1}, Roster: roster("b", "a"),
		Owners: &messenger.OwnerList{Whole: true, Owners: []messenger.Owner{{Service: "s", Range: pimento.AllKeys, Upstream: "u1"}}},
	})
	is.Equal(r.follower.unheldKeys(), pimento.AllKeys.Len())
	r.follower.Apply(&messenger.State{Versions: messenger.Versions{Epoch: 1, Roster: 2, Owners: 2}, Roster: roster("b", "c")})
	is.Equal(r.follower.unheldKeys(), 0)
	is.Equal(r.follower.Versions().Owners, uint64(0)) // it gets all of them if it dispatches again
}
