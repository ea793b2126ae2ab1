package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
)

// fakeSource decodes manifests whose text is their version.
type fakeSource struct{}

var errNoManifest = errors.New("no manifest")

func (fakeSource) Upstreams(context.Context) ([]pimento.Server, error) { return nil, nil }
func (fakeSource) DomainsOut(context.Context, pimento.Revision, time.Duration) ([]pimento.DomainName, bool, pimento.Revision, error) {
	return nil, true, pimento.Revision{Number: 1}, nil
}
func (fakeSource) Manifest(context.Context, pimento.Revision, time.Duration) ([]byte, pimento.Revision, error) {
	return nil, pimento.Revision{Number: 1}, nil
}
func (fakeSource) DecodeManifest(value []byte) (pimento.Manifest, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return pimento.Manifest{}, errNoManifest
	}
	return pimento.Manifest{Version: version}, nil
}

func newRouter() *Router {
	r := &Router{Host: "h", Domain: "d", Source: fakeSource{}, Bounds: pimento.DefaultBounds()}
	r.assemble()
	return r
}

func readyStatus(r *Router) int {
	w := httptest.NewRecorder()
	r.readyz(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return w.Code
}

// TestManifestVersionNeverDecreases checks that neither an older nor an invalid
// manifest replaces the one in force, whether it comes from the store or from a
// leader.
func TestManifestVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	is.Equal(r.follower.view.Load(), nil)
	for _, x := range []struct {
		text    string
		version uint64
	}{{"5", 5}, {"4", 5}, {"5", 5}, {"bad", 5}, {"9", 9}, {"8", 9}} {
		r.follower.adoptManifest([]byte(x.text), manifestOrigin{From: originStore})
		is.Equal(r.follower.view.Load().Manifest.Version, x.version)
		is.Equal(r.follower.Versions().Manifest, x.version)
	}
	r.follower.Apply(&messenger.State{Versions: messenger.Versions{Epoch: 1, Manifest: 7}, Manifest: []byte("7")})
	is.Equal(r.follower.view.Load().Manifest.Version, uint64(9))
}

// TestReady checks that a process is ready only while it has a manifest and a list
// of upstreams, which may be empty, and is not shutting down.
func TestReady(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	is.Equal(readyStatus(r), http.StatusServiceUnavailable)
	r.follower.adoptManifest([]byte("1"), manifestOrigin{From: originStore})
	is.Equal(readyStatus(r), http.StatusServiceUnavailable)
	r.follower.Apply(&messenger.State{
		Versions: messenger.Versions{Epoch: 1, Upstreams: 1}, Upstreams: &messenger.UpstreamList{Whole: true},
	})
	is.Equal(readyStatus(r), http.StatusOK)
	r.leaving.Store(true)
	is.Equal(readyStatus(r), http.StatusServiceUnavailable)
}

// TestDelayedStateIsIgnored guards against a state that arrives late, after newer
// ones, and takes upstreams, owners of keys, failure domains or the roster back.
func TestDelayedStateIsIgnored(t *testing.T) {
	state := func(epoch, version uint64, whole, leaving bool) *messenger.State {
		u := messenger.Upstream{Server: pimento.Server{Name: "u1", Domain: "d1", State: pimento.StateArriving}}
		out := []pimento.DomainName{}
		if leaving {
			u.State, out = pimento.StateLeaving, []pimento.DomainName{"d1"}
		}
		return &messenger.State{
			Versions:  messenger.Versions{Epoch: epoch, Roster: version, Upstreams: version, Owners: version, CrashFacts: version},
			Roster:    &messenger.Roster{Pools: make([]pimento.Pool, version)},
			Upstreams: &messenger.UpstreamList{Whole: whole, Upstreams: []messenger.Upstream{u}, Out: out},
			Owners: &messenger.OwnerList{Whole: whole, Owners: []messenger.Owner{{
				Service: "s", Range: pimento.KeyRange{From: 0, To: 9}, Upstream: "u1", Ready: !leaving,
			}}},
		}
	}
	for _, c := range []struct {
		name   string
		states []*messenger.State
		last   uint64 // version of the state that must stand
	}{
		{"in order", []*messenger.State{state(2, 1, true, false), state(2, 2, false, true), state(2, 3, false, false)}, 3},
		{"a change arrives late", []*messenger.State{state(2, 1, true, false), state(2, 3, false, false), state(2, 2, false, true)}, 3},
		{"a change arrives twice", []*messenger.State{state(2, 1, true, false), state(2, 2, false, true), state(2, 3, false, false), state(2, 2, false, true)}, 3},
		{"the whole state arrives late", []*messenger.State{state(2, 4, true, false), state(2, 3, true, true)}, 4},
		{"of an earlier term", []*messenger.State{state(2, 1, true, false), state(1, 9, true, true)}, 1},
		{"of a later term", []*messenger.State{state(1, 9, true, true), state(2, 1, true, false)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRouter().follower
			for _, s := range c.states {
				f.Apply(s)
			}
			is.Equal(f.Versions(), messenger.Versions{Epoch: 2, Roster: c.last, Upstreams: c.last, Owners: c.last, CrashFacts: c.last})
			is.Equal(len(f.roster.Pools), int(c.last))
			is.Equal(f.upstreams["u1"].State, pimento.StateArriving)
			is.Equal(len(f.domainsOut), 0)
			is.True(f.owners["s"][0].Ready)
		})
	}
}

// TestOverlay checks with random lists that changed owners replace the previous
// ones for exactly their keys.
func TestOverlay(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		before, changed := randomOwners(rng, "old", false), randomOwners(rng, "new", true)
		got := overlay(before, changed)
		for k := range 64 {
			want := ownerOf(changed, k)
			if want == "" {
				want = ownerOf(before, k)
			}
			if name := ownerOf(got, k); name != want {
				t.Fatalf("seed %d: key %d is with %q, want %q", seed, k, name, want)
			}
		}
		for i := 1; i < len(got); i++ {
			if got[i].From != got[i-1].To+1 {
				t.Fatalf("seed %d: %v follows %v", seed, got[i].KeyRange, got[i-1].KeyRange)
			}
		}
	}
}

// randomOwners returns random ranges that cover 64 keys, or some of them if
// withGaps is set.
func randomOwners(rng *rand.Rand, prefix string, withGaps bool) []scheduler.Owner {
	var out []scheduler.Owner
	for from := 0; from < 64; {
		to := min(63, from+rng.IntN(12))
		if !withGaps || rng.IntN(2) == 0 {
			out = append(out, scheduler.Owner{
				KeyRange: pimento.KeyRange{From: pimento.Key(from), To: pimento.Key(to)},
				Upstream: pimento.UpstreamName(prefix + strconv.Itoa(from)),
			})
		}
		from = to + 1
	}
	return out
}

func ownerOf(list []scheduler.Owner, k int) pimento.UpstreamName {
	for _, o := range list {
		if o.Contains(pimento.Key(k)) {
			return o.Upstream
		}
	}
	return ""
}

// TestKillTwice checks that killing a process that is already ending is safe.
func TestKillTwice(*testing.T) {
	r := newRouter()
	r.killed = make(chan struct{}) // as Run does
	r.Kill()
	r.Kill()
	<-r.killed
}
