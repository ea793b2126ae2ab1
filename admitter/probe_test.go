package admitter

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
	"pimentorelay.example/pimento/translator"
)

// addressOf returns the address that a listener has.
func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// TestSuspectedRunsAreProbed checks that evidence of a broken connection is sought at
// its upstream, which may get no other request: an answer lifts the suspicion, a refused
// connection confirms it, and silence does neither.
func TestSuspectedRunsAreProbed(t *testing.T) {
	is := is.New(t)
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer up.Close()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(down.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()

	n := newNetwork(t)
	a := n.nodes["a"]
	a.Wire = translator.Wire{}
	state := &Snapshot{Sequence: 1, Services: []pimento.Service{{Name: "s", HealthPath: "/health"}}}
	for name, l := range map[pimento.UpstreamName]net.Listener{"up": up.Listener, "down": down, "silent": silent} {
		state.Upstreams = append(state.Upstreams, scheduler.Upstream{Usable: true, Server: pimento.Server{
			Name: name, Service: "s", Started: time.Unix(1, 0), Address: addressOf(l),
		}})
	}
	a.Update(state)
	a.mu.Lock()
	for _, u := range state.Upstreams {
		a.quarantine.ConnectionBroke(time.Now(), quarantiner.RunOf(u.Server), 7)
	}
	a.mu.Unlock()
	is.True(a.quarantineWait(7) > 0)
	for end := time.Now().Add(testTimeout); a.quarantineWait(7) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2*probeInterval + probeTimeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	is.Equal(a.quarantine.Crashes(7), 1)
	is.Equal(a.quarantine.OpenRuns(), []quarantiner.Run{{Upstream: "silent", Started: 1000}})
}

// TestPausedRunIsNotProbed guards against probes of an upstream that wants nothing from
// this process now.
func TestPausedRunIsNotProbed(t *testing.T) {
	is := is.New(t)
	probed := make(chan struct{}, 16)
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { probed <- struct{}{} }))
	defer up.Close()
	a := newNetwork(t).nodes["a"]
	a.Wire = translator.Wire{}
	s := pimento.Server{Name: "up", Service: "s", Started: time.Unix(1, 0), Address: addressOf(up.Listener)}
	a.Update(&Snapshot{Sequence: 1, Services: []pimento.Service{{Name: "s", HealthPath: "/health"}}, Upstreams: []scheduler.Upstream{{Usable: true, Server: s}}})
	a.observeNotice(s, timekeeper.Now(), pimento.AnswerMetadata{Pause: pimento.PauseNotice{Named: true, For: time.Minute}})
	a.probeRun(s)
	is.Equal(len(probed), 0)
}
