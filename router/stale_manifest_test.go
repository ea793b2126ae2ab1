package router

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/timekeeper"
)

// routedStore is a manifestStore whose manifest has routes. Its second version adds a
// route, drops one and moves one to another service.
type routedStore struct{ manifestStore }

// The services of a routedStore.
const (
	serviceBefore pimento.ServiceName = "before"
	serviceAfter  pimento.ServiceName = "after"
)

// DecodeManifest implements pimento.Source.
func (s *routedStore) DecodeManifest(value []byte) (pimento.Manifest, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return pimento.Manifest{}, errNoManifest
	}
	m := pimento.Manifest{Version: version, Services: []pimento.Service{{Name: serviceBefore}, {Name: serviceAfter}}}
	m.Routes = append(m.Routes, routeTo("/kept", serviceBefore))
	if version < 2 {
		m.Routes = append(m.Routes, routeTo("/moved", serviceBefore), routeTo("/dropped", serviceBefore))
	} else {
		m.Routes = append(m.Routes, routeTo("/moved", serviceAfter), routeTo("/added", serviceAfter))
	}
	m.Defaults()
	return m, nil
}

func routeTo(prefix string, service pimento.ServiceName) pimento.Route {
	return pimento.Route{
		Name: pimento.RouteName(prefix), Prefix: prefix, Kind: pimento.RouteByMethod, MaxAttempts: 1, Timeout: time.Second, Goal: time.Second,
		Targets: []pimento.Target{{Service: service, Weight: 1}},
	}
}

// serviceRecorder is a dispatcher without upstreams that records for which service
// it was asked.
type serviceRecorder struct {
	mu   sync.Mutex
	last pimento.ServiceName
}

// Acquire implements forwarder.Dispatcher.
func (d *serviceRecorder) Acquire(_ context.Context, r *pimento.Request, _ forwarder.AttemptState) (forwarder.Permit, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last = r.Service
	return nil, pimento.NotRun(pimento.ReasonOverloaded, "no upstream has room")
}

// take returns the service of the last request, empty if there was none since the
// last call.
func (d *serviceRecorder) take() pimento.ServiceName {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() { d.last = "" }()
	return d.last
}

// routed is what became of a request.
type routed struct {
	service pimento.ServiceName // that it was sent to; empty: none
	reason  pimento.Reason      // why not
}

// sendThrough sends one request through the process under test.
func sendThrough(t *testing.T, r *Router, d *serviceRecorder, path string) routed {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	now := time.Now()
	request := &pimento.Request{ID: "r", Method: "GET", Host: "h", Path: path, ArrivedAt: now, Deadline: now.Add(time.Second)}
	_, err := r.acceptor.Handler.Handle(ctx, request, nil)
	var refusal *pimento.OutcomeError
	if !errors.As(err, &refusal) {
		t.Fatalf("%s: got %v, want a refusal", path, err)
	}
	return routed{service: d.take(), reason: refusal.Reason}
}

// The allowed ends of requests that are sent later than manifestTarget after the
// second version was stored.
var staleCases = []struct {
	path    string
	allowed func(routed) bool
	want    string
}{
	{"/added", func(x routed) bool { return x.reason != pimento.ReasonNoRoute }, "not refused for good"},
	{"/moved", func(x routed) bool { return x.service != serviceBefore }, "not sent to the former service"},
	{"/dropped", func(x routed) bool { return x.service == "" }, "not sent to any service"},
	{"/kept", func(x routed) bool { return x.service == serviceBefore }, "sent to its service"},
}

// TestStaleManifestRefusesForGood guards against a process that refuses or routes
// requests by a manifest that nobody has compared with the store in time, because
// heartbeats of a leader that is behind the store name no newer one.
func TestStaleManifestRefusesForGood(t *testing.T) {
	for _, c := range []struct {
		name string
		// lag is how long after a change the leader learns of it; zero: never.
		lag   time.Duration
		fault func(ctx context.Context, s *manifestStore, watch bool) error
	}{
		{name: "the leader's watch is stalled"},
		{name: "the leader is 2.5 s behind the store", lag: 2500 * time.Millisecond},
		{name: "the leader's watch is stalled, and the first call to the store is silent", fault: silentOnce()},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, d, source, l, stop := startStaleFollower(t)
				defer stop()
				source.inject(c.fault)
				time.Sleep(time.Second + time.Duration(len(c.name))*17*time.Millisecond) // at any moment of a heartbeat
				source.put(2)
				if c.lag > 0 {
					timer := time.AfterFunc(c.lag, func() { l.version.Store(2) })
					defer timer.Stop()
				}
				time.Sleep(manifestTarget)
				checkRoutes(t, r, d, 4*time.Second)
			})
		})
	}
}

// silentOnce returns a fault that silences the first call after a change.
func silentOnce() func(ctx context.Context, s *manifestStore, watch bool) error {
	return func(ctx context.Context, s *manifestStore, _ bool) error {
		if _, reads := s.sinceChange(); reads == 1 {
			return silence(ctx)
		}
		return nil
	}
}

// checkRoutes sends a request on each route again and again for a while, and reports
// those that end as only the first version allows.
func checkRoutes(t *testing.T, r *Router, d *serviceRecorder, during time.Duration) {
	t.Helper()
	start := time.Now()
	wrong, sent := make(map[string]int), 0
	for ; time.Since(start) < during; time.Sleep(100 * time.Millisecond) {
		sent++
		for _, x := range staleCases {
			if got := sendThrough(t, r, d, x.path); !x.allowed(got) {
				wrong[x.path]++
			}
		}
	}
	for _, x := range staleCases {
		if n := wrong[x.path]; n > 0 {
			t.Errorf("%s: %d of %d requests, from %s after the change on, not as expected: %s", x.path, n, sent, manifestTarget, x.want)
		}
	}
}

// startStaleFollower starts a process that follows the first version of a manifest and
// its leader.
func startStaleFollower(t *testing.T) (*Router, *serviceRecorder, *routedStore, *fakeLeader, func()) {
	t.Helper()
	restore := timekeeper.SetClock(time.Now)
	source := &routedStore{}
	source.put(1)
	l := &fakeLeader{}
	l.version.Store(1)
	r, _, stop := startFollower(t, l, source, &busyStore{}, (*follower).watchManifest)
	d := &serviceRecorder{}
	r.acceptor.Handler.(*forwarder.Forwarder).Dispatcher = d
	time.Sleep(3 * time.Second)
	if v := r.follower.Versions().Manifest; v != 1 || r.leader.IsLeader() {
		t.Fatalf("before the change: manifest %d, leads %t", v, r.leader.IsLeader())
	}
	return r, d, source, l, func() {
		stop()
		restore()
	}
}

// TestKnownManifestServesWithoutStore checks that a process goes on serving by the
// manifest that it knows while it does not reach the store, however old it is.
func TestKnownManifestServesWithoutStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *fakeLeader)
	}{
		{"the leader reaches the store", func(*fakeLeader) {}},
		{"the leader lost the store", func(l *fakeLeader) { l.lost.Store(true) }},
		{"the leader is silent", func(l *fakeLeader) { l.silent.Store(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, d, source, l, stop := startStaleFollower(t)
				defer stop()
				source.inject(func(ctx context.Context, _ *manifestStore, _ bool) error { return silence(ctx) })
				source.put(2)
				c.change(l)
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(250 * time.Millisecond) {
					if got := sendThrough(t, r, d, "/kept"); got.service != serviceBefore {
						t.Fatalf("after %s: %+v, want service %s", time.Since(start), got, serviceBefore)
					}
				}
			})
		})
	}
}
