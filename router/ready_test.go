package router

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// TestReadyUnderANewLeader guards against a process that knows its upstreams and is not
// ready, because a new leader has not read them yet: the store may be down by then.
func TestReadyUnderANewLeader(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.follower.adoptManifest([]byte("1"), manifestOrigin{From: originStore})
	r.follower.Apply(&messenger.State{
		Versions:  messenger.Versions{Epoch: 1, Upstreams: 1},
		Upstreams: &messenger.UpstreamList{Whole: true, Upstreams: []messenger.Upstream{{Server: pimento.Server{Name: "u1", State: pimento.StateArriving}}}},
	})
	is.Equal(readyStatus(r), http.StatusOK)
	r.follower.Apply(&messenger.State{Versions: messenger.Versions{Epoch: 2, Roster: 1}, Roster: &messenger.Roster{}})
	is.Equal(stateOf(r), pimento.StateArriving) // it goes on serving
	is.Equal(readyStatus(r), http.StatusOK)
}
