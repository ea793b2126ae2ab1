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

// source reads manifests that are their own version.
type source struct{}

var errText = errors.New("no manifest")

func (source) Upstreams(context.Context) ([]pimento.Server, error) { return nil, nil }
func (source) Out(context.Context, uint64, time.Duration) ([]pimento.DomainName, bool, uint64, error) {
	return nil, true, 1, nil
}
func (source) Manifest(context.Context, uint64, time.Duration) ([]byte, uint64, error) {
	return nil, 1, nil
}
func (source) DecodeManifest(value []byte) (pimento.Manifest, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return pimento.Manifest{}, errText
	}
	return pimento.Manifest{Version: version}, nil
}

func newRouter() *Router {
	r := &Router{Host: "h", Domain: "d", Source: source{}, Bounds: pimento.DefaultBounds()}
	r.assemble()
	return r
}

func ready(r *Router) int {
	w := httptest.NewRecorder()
	r.readyz(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return w.Code
}

// TestManifestNeverGoesBack holds that neither an older nor a faulty manifest
// replaces the one in force, whoever tells of it.
func TestManifestNeverGoesBack(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	is.Equal(r.follower.view.Load(), nil)
	for _, x := range []struct {
		text    string
		version uint64
	}{{"5", 5}, {"4", 5}, {"5", 5}, {"bad", 5}, {"9", 9}, {"8", 9}} {
		r.follower.takeManifest([]byte(x.text))
		is.Equal(r.follower.view.Load().Manifest.Version, x.version)
		is.Equal(r.follower.Versions().Manifest, x.version)
	}
	r.follower.Apply(&messenger.State{Versions: messenger.Versions{Epoch: 1, Manifest: 7}, Manifest: []byte("7")})
	is.Equal(r.follower.view.Load().Manifest.Version, uint64(9))
}

// TestReady holds that a process takes callers only once it knows a manifest and
// the upstreams, and no more once it is to end.
func TestReady(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	is.Equal(ready(r), http.StatusServiceUnavailable)
	r.follower.takeManifest([]byte("1"))
	is.Equal(ready(r), http.StatusServiceUnavailable)
	r.follower.Apply(&messenger.State{
		Versions: messenger.Versions{Epoch: 1, Upstreams: 1}, Upstreams: &messenger.UpstreamList{Whole: true},
	})
	is.Equal(ready(r), http.StatusOK)
	r.leaving.Store(true)
	is.Equal(ready(r), http.StatusServiceUnavailable)
}

// TestOverlay holds for drawn lists that changed owners replace those of before
// for just their keys.
func TestOverlay(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		before, changed := owners(rng, "old", false), owners(rng, "new", true)
		got := overlay(before, changed)
		for k := range 64 {
			want := nameOf(changed, k)
			if want == "" {
				want = nameOf(before, k)
			}
			if name := nameOf(got, k); name != want {
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

// owners draws ranges that cover 64 keys, or a part of them.
func owners(rng *rand.Rand, prefix string, partly bool) []scheduler.Owner {
	var out []scheduler.Owner
	for from := 0; from < 64; {
		to := min(63, from+rng.IntN(12))
		if !partly || rng.IntN(2) == 0 {
			out = append(out, scheduler.Owner{
				KeyRange: pimento.KeyRange{From: pimento.Key(from), To: pimento.Key(to)},
				Upstream: pimento.UpstreamName(prefix + strconv.Itoa(from)),
			})
		}
		from = to + 1
	}
	return out
}

func nameOf(list []scheduler.Owner, k int) pimento.UpstreamName {
	for _, o := range list {
		if o.Contains(pimento.Key(k)) {
			return o.Upstream
		}
	}
	return ""
}

// TestKillTwice holds that a process that is ending may be killed again.
func TestKillTwice(*testing.T) {
	r := newRouter()
	r.killed = make(chan struct{}) // as Run does
	r.Kill()
	r.Kill()
	<-r.killed
}
