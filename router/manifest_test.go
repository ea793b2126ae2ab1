package router

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// manifestTarget is the time within which operators expect a change to be in
	// force at every process (config_apply_s of the smaller sites).
	manifestTarget = 2 * time.Second
	// spreadTime is the part of it that a leader leaves for the other processes.
	spreadTime = 500 * time.Millisecond
	// readTimeout is how long a call to a silent store lasts.
	readTimeout = 1200 * time.Millisecond
)

// manifestStore is a store with one manifest, whose text and revision are its
// version.
type manifestStore struct {
	fakeSource
	mu        sync.Mutex
	version   uint64
	changedAt time.Time
	changed   chan struct{}
	reads     int // since the last change
	// fault fails or delays a call; it may be nil.
	fault func(ctx context.Context, s *manifestStore, watch bool) error
}

var errSilent = &pimento.UnreachableError{Target: "store", Cause: context.DeadlineExceeded}

func (s *manifestStore) put(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.changedAt, s.reads = version, time.Now(), 0
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *manifestStore) inject(fault func(ctx context.Context, s *manifestStore, watch bool) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// sinceChange returns the time and the number of reads since the last change.
func (s *manifestStore) sinceChange() (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.changedAt), s.reads
}

// Manifest implements pimento.Source.
func (s *manifestStore) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	s.mu.Lock()
	s.reads++
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		if err := fault(ctx, s, !after.IsZero()); err != nil {
			return nil, pimento.Revision{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if version > after.Number {
			return []byte(strconv.FormatUint(version, 10)), pimento.Revision{Number: version}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, nil
		}
	}
}

// DomainsOut implements pimento.Source. None is out.
func (s *manifestStore) DomainsOut(ctx context.Context, after pimento.Revision, wait time.Duration) ([]pimento.DomainName, bool, pimento.Revision, error) {
	if !after.IsZero() {
		sleep(ctx, wait)
	}
	return nil, after.IsZero(), pimento.Revision{Number: 1}, nil
}

// silence lets a call wait for its timeout.
func silence(ctx context.Context) error {
	sleep(ctx, readTimeout)
	return errSilent
}

// memoryStore is a pimento.Store without faults.
type memoryStore struct {
	mu       sync.Mutex
	revision pimento.Revision
	entries  map[string]pimento.Entry
}

func (s *memoryStore) Get(_ context.Context, kind pimento.StoreKind, name string) (pimento.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[string(kind)+"/"+name]
	if !ok {
		return e, &pimento.NotFoundError{Object: name}
	}
	return e, nil
}

func (s *memoryStore) List(context.Context, pimento.StoreKind, pimento.Freshness) (pimento.Listing, error) {
	return pimento.Listing{}, nil
}

func (s *memoryStore) Watch(_ context.Context, _ pimento.StoreKind, after pimento.Revision, _ time.Duration) (pimento.Changes, error) {
	return pimento.Changes{Revision: after}, nil
}

func (s *memoryStore) Create(ctx context.Context, e pimento.Entry) (pimento.Entry, error) {
	return s.Replace(ctx, e)
}

func (s *memoryStore) Replace(_ context.Context, e pimento.Entry) (pimento.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]pimento.Entry)
	}
	s.revision.Number++
	e.Revision = s.revision
	s.entries[string(e.Kind)+"/"+e.Name] = e
	return e, nil
}

func (s *memoryStore) Delete(context.Context, pimento.Entry) error { return nil }

// busyStore rejects every call.
type busyStore struct{ memoryStore }

func (s *busyStore) Get(context.Context, pimento.StoreKind, string) (pimento.Entry, error) {
	return pimento.Entry{}, &pimento.BusyError{Status: 503}
}

// fakeLeader is the leader of a process under test.
type fakeLeader struct {
	router  *Router
	version atomic.Uint64 // that it announces
	lost    atomic.Bool   // it reports that it does not reach the store
	silent  atomic.Bool
	epoch   atomic.Uint64

	upstreams atomic.Uint64 // version that it announces
	lostAt    atomic.Int64  // when its reads of the upstreams ended, in Unix nanoseconds; zero: they go on

	mu        sync.Mutex
	stamp     *messenger.Stamp // in the last reply to a heartbeat
	stampedAt time.Time        // when that came
}

// readInterval is the time between the reads of the upstreams by a leader.
const readInterval = 400 * time.Millisecond

// confirmation dates its last read of the upstreams; nil: it has no stamp yet.
func (l *fakeLeader) confirmation() *messenger.Confirmation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stamp == nil {
		return nil
	}
	readAt := time.Now().Add(-readInterval)
	if at := l.lostAt.Load(); at > 0 {
		readAt = time.Unix(0, at)
	}
	return &messenger.Confirmation{Stamp: *l.stamp, Later: readAt.Sub(l.stampedAt), Version: l.upstreams.Load()}
}

// noteReply notes the stamp in the reply to a heartbeat.
func (l *fakeLeader) noteReply(m *messenger.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamp, l.stampedAt = m.HeartbeatReply.Stamp, time.Now()
}

// run sends heartbeats until ctx ends.
func (l *fakeLeader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.silent.Load() {
			q := &messenger.Heartbeat{
				Term:      pimento.Term{Epoch: l.epoch.Load(), Leader: "leader", Confirmers: []pimento.ProcessID{"leader"}},
				StoreLost: l.lost.Load(), Versions: messenger.Versions{Epoch: l.epoch.Load(), Upstreams: l.upstreams.Load(), Manifest: l.version.Load()},
				Upstreams: l.confirmation(),
			}
			l.router.leader.HandleHeartbeat("leader", q, l.noteReply)
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// push sends a manifest.
func (l *fakeLeader) push(version uint64) {
	l.router.leader.HandleState("leader", &messenger.State{
		Versions: messenger.Versions{Epoch: l.epoch.Load(), Manifest: version}, Manifest: []byte(strconv.FormatUint(version, 10)),
	}, func(*messenger.Message) {})
}

// startFollower starts a task of the follower of a process that l leads. stop ends
// all and waits for tasks.
func startFollower(t *testing.T, l *fakeLeader, source pimento.Source, store pimento.Store, task func(*follower, context.Context) error) (r *Router, tasks *sync.WaitGroup, stop func()) {
	t.Helper()
	r = &Router{Source: source, Bounds: pimento.DefaultBounds(), Store: store}
	r.self = pimento.Process{ID: "me", Host: "h"}
	r.assemble()
	l.router = r
	l.epoch.Store(1)
	ctx, cancel := context.WithCancel(t.Context())
	tasks = &sync.WaitGroup{}
	tasks.Go(func() { _ = r.leader.Run(ctx) }) // the errors are that of ctx
	tasks.Go(func() { _ = task(r.follower, ctx) })
	tasks.Go(func() { l.run(ctx) })
	return r, tasks, func() {
		cancel()
		r.follower.confirmer.close()
		tasks.Wait()
	}
}

// pushUpstreams sends the state of the only upstream.
func (l *fakeLeader) pushUpstreams(version uint64, state pimento.State) {
	l.router.leader.HandleState("leader", &messenger.State{
		Versions: messenger.Versions{Epoch: l.epoch.Load(), Upstreams: version},
		Upstreams: &messenger.UpstreamList{Whole: true, Upstreams: []messenger.Upstream{{
			Server: pimento.Server{Name: "u1", State: state},
		}}},
	}, func(*messenger.Message) {})
}

// followManifest is the tasks of a process that follow the manifest.
func followManifest(ctx context.Context, f *follower) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { _ = f.confirmWhileLeading(ctx) }) // the error is that of ctx
	return f.watchManifest(ctx)
}

// TestManifestIsInForceInTime guards against a process that hears from its leader
// and therefore waits for a manifest that the leader cannot bring.
func TestManifestIsInForceInTime(t *testing.T) {
	const read = 100 * time.Millisecond // time in which a leader reads a change
	for _, c := range []struct {
		name string
		// change brings about what happens once the manifest has changed, and may
		// wait.
		change func(l *fakeLeader)
		fault  func(ctx context.Context, s *manifestStore, watch bool) error
		leads  bool // the process under test leads
		target time.Duration
	}{
		{name: "pushed by the leader", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(read)
			l.push(2)
			l.version.Store(2)
		}},
		{name: "announced, but never pushed", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(read)
			l.version.Store(2)
		}},
		{name: "announced, and the store is busy at first", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(read)
			l.version.Store(2)
		}, fault: func(_ context.Context, s *manifestStore, _ bool) error {
			if since, _ := s.sinceChange(); since < time.Second {
				return &pimento.BusyError{Status: 429}
			}
			return nil
		}},
		{name: "announced, and a connection to the store is silent", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(read)
			l.version.Store(2)
		}, fault: func(ctx context.Context, s *manifestStore, _ bool) error {
			if _, reads := s.sinceChange(); reads == 1 {
				return silence(ctx)
			}
			return nil
		}},
		{name: "the leader is cut off from the store", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(900 * time.Millisecond)
			l.lost.Store(true)
		}},
		{name: "the leader is cut off from the store and is replaced late", target: manifestTarget, change: func(l *fakeLeader) {
			time.Sleep(900 * time.Millisecond)
			l.lost.Store(true)
			time.Sleep(900 * time.Millisecond)
			l.epoch.Store(2)
			l.lost.Store(false)
			time.Sleep(read)
			l.version.Store(2)
			l.push(2)
		}},
		{name: "the leader falls silent", target: manifestTarget, change: func(l *fakeLeader) { l.silent.Store(true) }},
		{name: "the process leads", target: manifestTarget - spreadTime, leads: true, change: func(*fakeLeader) {}},
		{name: "the process leads, and its watch is silent", target: manifestTarget - spreadTime, leads: true, change: func(*fakeLeader) {},
			fault: func(ctx context.Context, _ *manifestStore, watch bool) error {
				if watch {
					<-ctx.Done()
					return errSilent
				}
				return nil
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source := &manifestStore{}
				source.put(1)
				var store pimento.Store = &busyStore{}
				if c.leads {
					store = &memoryStore{}
				}
				l := &fakeLeader{}
				l.version.Store(1)
				l.silent.Store(c.leads)
				r, tasks, stop := startFollower(t, l, source, store, func(f *follower, ctx context.Context) error { return followManifest(ctx, f) })
				defer stop()
				time.Sleep(3 * time.Second)
				if v := r.follower.Versions().Manifest; v != 1 || r.leader.IsLeader() != c.leads {
					t.Fatalf("before the change: manifest %d, leads %t", v, r.leader.IsLeader())
				}
				source.inject(c.fault)
				time.Sleep(time.Second + time.Duration(len(c.name))*17*time.Millisecond) // at any moment of a watch
				source.put(2)
				start := time.Now()
				tasks.Go(func() { c.change(l) })
				for time.Since(start) < 6*time.Second && r.follower.Versions().Manifest < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(start)
				t.Logf("in force after %s", took)
				if took > c.target {
					t.Errorf("in force after %s, expected within %s", took, c.target)
				}
			})
		})
	}
}

// TestUpstreamsThatAreAnnouncedButNotSent guards against a process that goes on with
// old upstreams while its leader's heartbeats arrive and its states do not.
func TestUpstreamsThatAreAnnouncedButNotSent(t *testing.T) {
	const target = 1500 * time.Millisecond // of drain_s, 2 s, without the leader's own reading
	for _, c := range []struct {
		name   string
		pushed bool
		reads  bool // the process reads the store
	}{
		{"pushed", true, false},
		{"not pushed", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source := &upstreamStore{}
				l := &fakeLeader{}
				l.upstreams.Store(1)
				r, _, stop := startFollower(t, l, source, &busyStore{}, (*follower).pollState)
				defer stop()
				time.Sleep(300 * time.Millisecond)
				l.pushUpstreams(1, pimento.StateArriving)
				time.Sleep(3 * time.Second)
				before := source.reads.Load()
				l.upstreams.Store(2)
				if c.pushed {
					l.pushUpstreams(2, pimento.StateLeaving)
				}
				time.Sleep(target)
				r.follower.mu.Lock()
				state := r.follower.upstreams["u1"].State
				r.follower.mu.Unlock()
				if state != pimento.StateLeaving {
					t.Errorf("the upstream is %s %s after it began to leave", state, target)
				}
				if reads := source.reads.Load() > before; reads != c.reads {
					t.Errorf("read from the store: %t", reads)
				}
			})
		})
	}
}

// upstreamStore is a source with one upstream, which is leaving unless it stays.
type upstreamStore struct {
	manifestStore
	reads atomic.Int32
	stays atomic.Bool
}

// Upstreams implements pimento.Source.
func (s *upstreamStore) Upstreams(context.Context) ([]pimento.Server, error) {
	s.reads.Add(1)
	if s.stays.Load() {
		return []pimento.Server{{Name: "u1", State: pimento.StateArriving}}, nil
	}
	return []pimento.Server{{Name: "u1", State: pimento.StateLeaving}}, nil
}
