package router

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// listStore is a source of upstreams and failure domains out of service that counts its
// calls.
type listStore struct {
	manifestStore
	mu      sync.Mutex
	servers []pimento.Server
	out     []pimento.DomainName
	failure func(ctx context.Context) error // of each call; nil: the store answers
	calls   int
}

func (s *listStore) set(servers []pimento.Server, out []pimento.DomainName, failure func(ctx context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers, s.out, s.failure = servers, out, failure
}

// call counts a call and returns its error.
func (s *listStore) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	failure := s.failure
	s.mu.Unlock()
	if failure == nil {
		return nil
	}
	return failure(ctx)
}

func (s *listStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Upstreams implements pimento.Source.
func (s *listStore) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers, nil
}

// DomainsOut implements pimento.Source.
func (s *listStore) DomainsOut(ctx context.Context, _ pimento.Revision, _ time.Duration) ([]pimento.DomainName, bool, pimento.Revision, error) {
	if err := s.call(ctx); err != nil {
		return nil, false, pimento.Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out, true, pimento.Revision{Number: 1}, nil
}

func server(name, address string, domain pimento.DomainName) pimento.Server {
	return pimento.Server{
		Name: pimento.UpstreamName(name), Service: "s", Domain: domain, State: pimento.StateArriving,
		Address: netip.MustParseAddrPort(address), Started: time.Unix(1_700_000_000, 0),
	}
}

// startListFollower starts a process whose leader has sent the upstreams a and b, in the
// failure domains d1 and d2, and confirms them.
func startListFollower(t *testing.T) (r *Router, source *listStore, l *fakeLeader, stop func()) {
	t.Helper()
	restore := timekeeper.SetClock(time.Now)
	source = &listStore{servers: []pimento.Server{server("a", "10.0.0.1:1", "d1"), server("b", "10.0.0.2:1", "d2")}}
	l = &fakeLeader{}
	l.upstreams.Store(1)
	r, _, end := startFollower(t, l, source, &busyStore{}, (*follower).pollState)
	time.Sleep(300 * time.Millisecond)
	state := &messenger.State{Versions: messenger.Versions{Epoch: 1, Upstreams: 1}, Upstreams: &messenger.UpstreamList{Whole: true}}
	for _, s := range source.servers {
		state.Upstreams.Upstreams = append(state.Upstreams.Upstreams, messenger.Upstream{Server: s})
	}
	l.router.leader.HandleState("leader", state, func(*messenger.Message) {})
	time.Sleep(3 * time.Second)
	return r, source, l, func() {
		end()
		restore()
	}
}

// loseStore lets the leader lose the store.
func (l *fakeLeader) loseStore() {
	l.lostAt.Store(time.Now().UnixNano())
	l.lost.Store(true)
}

// usableUpstreams returns the names of the upstreams to which a process sends, sorted.
func usableUpstreams(r *Router) []string {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	var names []string
	for _, u := range r.follower.listUpstreams() {
		if u.Usable {
			names = append(names, string(u.Name))
		}
	}
	slices.Sort(names)
	return names
}

// TestCallsForUpstreams checks how often a process calls the store for its upstreams: never
// while its leader confirms them, else so seldom that 830 processes stay below the 2,000
// reads a second that a store grants.
func TestCallsForUpstreams(t *testing.T) {
	for _, c := range []struct {
		name     string
		lost     bool // the leader loses the store
		failure  func(ctx context.Context) error
		maxCalls int // in 10 s
	}{
		{"the leader confirms them", false, nil, 0},
		{"the leader lost the store", true, nil, 18},
		{"the store is busy", true, func(context.Context) error { return &pimento.BusyError{Status: 429} }, 14},
		{"the store is silent", true, func(ctx context.Context) error { return silence(ctx) }, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, source, l, stop := startListFollower(t)
				defer stop()
				before := source.callCount()
				if c.lost {
					l.loseStore()
				}
				source.set(source.servers, nil, c.failure)
				perSecond := make([]int, 10)
				for i := range perSecond {
					start := source.callCount()
					time.Sleep(time.Second)
					perSecond[i] = source.callCount() - start
				}
				t.Logf("calls in each second: %v", perSecond)
				if calls := source.callCount() - before; calls > c.maxCalls {
					t.Errorf("%d calls in 10 s, allowed %d", calls, c.maxCalls)
				}
				if most := slices.Max(perSecond); most > 3 {
					t.Errorf("%d calls in a second", most)
				}
			})
		})
	}
}

// TestOwnReadObeysTheStore guards against a process that reads the upstreams itself and
// goes on with what leaves, or drops what only lapsed while the store was away.
func TestOwnReadObeysTheStore(t *testing.T) {
	a, b := server("a", "10.0.0.1:1", "d1"), server("b", "10.0.0.2:1", "d2")
	leaving, restarted, successor := a, a, server("c", "10.0.0.1:1", "d1")
	leaving.State = pimento.StateLeaving
	restarted.Started = a.Started.Add(time.Hour)
	for _, c := range []struct {
		name    string
		away    time.Duration // the store, just before
		servers []pimento.Server
		out     []pimento.DomainName
		soon    []string // that are used 1.6 s after the change; 3.2 s if the store was away
		later   []string // 3.8 s after that
	}{
		{"leaves", 0, []pimento.Server{leaving, b}, nil, []string{"b"}, []string{"b"}},
		{"is gone", 0, []pimento.Server{b}, nil, []string{"b"}, []string{"b"}},
		{"domain is out", 0, []pimento.Server{a, b}, []pimento.DomainName{"d1"}, []string{"b"}, []string{"b"}},
		{"leaves, after an outage", 5 * time.Second, []pimento.Server{leaving, b}, nil, []string{"b"}, []string{"b"}},
		{"domain is out, after an outage", 5 * time.Second, []pimento.Server{a, b}, []pimento.DomainName{"d1"}, []string{"b"}, []string{"b"}},
		{"is missing after an outage", 5 * time.Second, []pimento.Server{b}, nil, []string{"a", "b"}, []string{"b"}},
		{"all are missing after an outage", 5 * time.Second, nil, nil, []string{"a", "b"}, nil},
		{"address has another one after an outage", 5 * time.Second, []pimento.Server{successor, b}, nil, []string{"b", "c"}, []string{"b", "c"}},
		{"has started again", 5 * time.Second, []pimento.Server{restarted, b}, nil, []string{"a", "b"}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, source, l, stop := startListFollower(t)
				defer stop()
				is.Equal(usableUpstreams(r), []string{"a", "b"})
				l.loseStore()
				if c.away > 0 {
					source.set(nil, nil, func(ctx context.Context) error { return silence(ctx) }) // no answer shows the lists
					time.Sleep(c.away)
				}
				is.Equal(usableUpstreams(r), []string{"a", "b"})
				source.set(c.servers, c.out, nil)
				time.Sleep(1600 * time.Millisecond)
				if c.away > 0 {
					time.Sleep(1600 * time.Millisecond) // pause between two reads
				}
				is.Equal(usableUpstreams(r), c.soon)
				time.Sleep(3800 * time.Millisecond)
				is.Equal(usableUpstreams(r), c.later)
				if c.name == "has started again" {
					is.Equal(r.follower.upstreams["a"].Started, restarted.Started)
				}
			})
		})
	}
}

// TestOwnReadKeepsTheLeadersVersion guards against a leader that has to send its whole list
// to each process that has read the upstreams itself, and against a process that stays with
// what it has read.
func TestOwnReadKeepsTheLeadersVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, source, l, stop := startListFollower(t)
		defer stop()
		leaving := source.servers[0]
		leaving.State = pimento.StateLeaving
		l.loseStore()
		source.set([]pimento.Server{leaving, source.servers[1]}, nil, nil)
		time.Sleep(2 * time.Second)
		is.Equal(usableUpstreams(r), []string{"b"})
		is.Equal(r.follower.Versions().Upstreams, uint64(1))

		change := &messenger.UpstreamList{Upstreams: []messenger.Upstream{{Server: leaving}, {Server: server("c", "10.0.0.3:1", "d3")}}}
		l.router.leader.HandleState("leader", &messenger.State{Versions: messenger.Versions{Epoch: 1, Upstreams: 2}, Upstreams: change}, func(*messenger.Message) {})
		l.upstreams.Store(2)
		l.lost.Store(false)
		l.lostAt.Store(0)
		time.Sleep(time.Second)
		is.Equal(usableUpstreams(r), []string{"b", "c"}) // as the leader's list says
		before := source.callCount()
		time.Sleep(5 * time.Second)
		is.Equal(source.callCount(), before)
	})
}

// TestLeavingThatTheLeaderKnowsIsObeyed guards against an upstream that is used again
// because a process reads its entry, while the leader knows from answers that it leaves.
func TestLeavingThatTheLeaderKnowsIsObeyed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, source, l, stop := startListFollower(t)
		defer stop()
		leaving := func(s pimento.Server, version uint64) {
			s.State = pimento.StateLeaving
			list := &messenger.UpstreamList{Upstreams: []messenger.Upstream{{Server: s}}}
			l.router.leader.HandleState("leader", &messenger.State{Versions: messenger.Versions{Epoch: 1, Upstreams: version}, Upstreams: list}, func(*messenger.Message) {})
			time.Sleep(time.Millisecond)
		}
		leaving(source.servers[0], 2)
		is.Equal(usableUpstreams(r), []string{"b"})
		l.loseStore()
		time.Sleep(3 * time.Second)
		is.True(source.callCount() > 0)
		is.Equal(usableUpstreams(r), []string{"b"})
		leaving(source.servers[1], 3) // while its own reads are in force
		is.Equal(usableUpstreams(r), []string(nil))
	})
}

// TestConfirmationOfUpstreams checks what confirms the upstreams in force: a read in the
// epoch of the leader that sent them, of a version that has arrived.
func TestConfirmationOfUpstreams(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name     string
		have     messenger.Versions
		read     leader.UpstreamsRead
		accepted bool
	}{
		{"the same version", messenger.Versions{Epoch: 2, Upstreams: 5}, leader.UpstreamsRead{BeganAt: now, Epoch: 2, Version: 5}, true},
		{"a version before", messenger.Versions{Epoch: 2, Upstreams: 6}, leader.UpstreamsRead{BeganAt: now, Epoch: 2, Version: 5}, true},
		{"a version that has not arrived", messenger.Versions{Epoch: 2, Upstreams: 4}, leader.UpstreamsRead{BeganAt: now, Epoch: 2, Version: 5}, false},
		{"of another epoch", messenger.Versions{Epoch: 2, Upstreams: 5}, leader.UpstreamsRead{BeganAt: now, Epoch: 3, Version: 5}, false},
		{"nothing has arrived", messenger.Versions{}, leader.UpstreamsRead{BeganAt: now}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRouter().follower
			f.versions = c.have
			f.UpstreamsConfirmed(c.read)
			is.Equal(!f.upstreamsKnownAt().IsZero(), c.accepted)
			f.UpstreamsConfirmed(leader.UpstreamsRead{BeganAt: now.Add(-time.Second), Epoch: c.read.Epoch, Version: c.read.Version})
			is.Equal(f.upstreamsKnownAt().Equal(now), c.accepted) // the latest one counts
		})
	}
}

// TestEarlyConfirmationOfUpstreams checks that a confirmation counts that comes before the
// version that it is of.
func TestEarlyConfirmationOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newRouter().follower
	now := time.Unix(1_800_000_000, 0)
	f.UpstreamsConfirmed(leader.UpstreamsRead{BeganAt: now, Epoch: 1, Version: 1})
	is.True(f.upstreamsKnownAt().IsZero())
	f.Apply(&messenger.State{Versions: messenger.Versions{Epoch: 1, Upstreams: 1}, Upstreams: &messenger.UpstreamList{Whole: true}})
	is.True(f.upstreamsKnownAt().Equal(now))
	is.Equal(maps.Clone(f.upstreams), map[pimento.UpstreamName]pimento.Server{})
}
