package router

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/timekeeper"
)

// followStore is the tasks of a process that read the store.
func followStore(ctx context.Context, f *follower) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { _ = f.pollState(ctx) }) // the error is that of ctx
	return f.watchManifest(ctx)
}

// TestNewProcessWaitsForItsLeader guards against processes that start together and each
// watch the manifest and read all upstreams while one of them begins to lead.
func TestNewProcessWaitsForItsLeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaders time.Duration // when a leader is heard first; zero: never
		within  time.Duration
		reads   int // of the manifest, at most
		calls   int // for upstreams and failure domains, at most
	}{
		{"a leader begins soon", time.Second, 3 * time.Second, 1, 0},
		{"there is none yet", 0, firstLeaderWait - time.Millisecond, 1, 0},
		{"there is none", 0, firstLeaderWait + 300*time.Millisecond, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source := &listStore{servers: []pimento.Server{server("a", "10.0.0.1:1", "d1")}}
				source.put(1)
				l := &fakeLeader{}
				l.silent.Store(true)
				l.upstreams.Store(1)
				started := time.Now()
				r, _, stop := startFollower(t, l, source, &busyStore{}, func(f *follower, ctx context.Context) error {
					f.router.self.Started = started
					return followStore(ctx, f)
				})
				defer stop()
				if c.leaders > 0 {
					time.Sleep(c.leaders)
					l.version.Store(1)
					l.silent.Store(false)
					time.Sleep(210 * time.Millisecond)
					l.pushUpstreams(1, pimento.StateArriving)
				}
				time.Sleep(c.within - time.Since(started))
				_, reads := source.sinceChange()
				is.True(reads <= c.reads)
				is.True(source.callCount() <= c.calls)
				if c.within > firstLeaderWait {
					is.True(r.follower.knowsUpstreams())
				}
			})
		})
	}
}

// assignedStore is a store with an assignment to so many processes, which takes no writes.
type assignedStore struct {
	busyStore
	members int
}

// Get implements pimento.Store.
func (s *assignedStore) Get(ctx context.Context, kind pimento.StoreKind, name string) (pimento.Entry, error) {
	if kind != leader.KindAssignment {
		return s.busyStore.Get(ctx, kind, name)
	}
	a := pimento.Assignment{Term: pimento.Term{Epoch: 1}}
	for i := range s.members {
		a.Members = append(a.Members, pimento.Member{Process: pimento.Process{ID: pimento.ProcessID(fmt.Sprint("p", i))}})
	}
	value, err := json.Marshal(a)
	return pimento.Entry{Kind: kind, Name: name, Revision: pimento.Revision{Number: 1}, Value: value}, err
}

// Replace implements pimento.Store.
func (s *assignedStore) Replace(context.Context, pimento.Entry) (pimento.Entry, error) {
	return pimento.Entry{}, &pimento.BusyError{Status: 503}
}

// TestProcessesReadUpstreamsInTurn guards against a large deployment whose processes have all
// started again and read all upstreams at the same moment, so that the store answers none of the
// candidates that campaign then.
func TestProcessesReadUpstreamsInTurn(t *testing.T) {
	const processes = 20 // of all
	for _, c := range []struct {
		members int // processes that the last leader knew
		spread  time.Duration
		most    int // processes that may read in the first second after the wait for a leader
	}{
		{9, time.Second, processes},
		{300, 6 * time.Second, processes / 2},
	} {
		t.Run(fmt.Sprint(c.members, " processes"), func(t *testing.T) {
			early := 0
			for range processes {
				synctest.Test(t, func(t *testing.T) {
					restore := timekeeper.SetClock(time.Now)
					defer restore()
					source := &listStore{servers: []pimento.Server{server("a", "10.0.0.1:1", "d1")}}
					source.put(1)
					l := &fakeLeader{}
					l.silent.Store(true)
					r, _, stop := startFollower(t, l, source, &assignedStore{members: c.members}, func(f *follower, ctx context.Context) error {
						return followStore(ctx, f)
					})
					defer stop()
					time.Sleep(firstLeaderWait + time.Second)
					if source.callCount() > 0 {
						early++
					}
					time.Sleep(c.spread)
					if !r.follower.knowsUpstreams() {
						t.Errorf("knows no upstreams %s after the wait for a leader", time.Second+c.spread)
					}
				})
			}
			t.Logf("%d of %d have read within a second", early, processes)
			if early > c.most {
				t.Errorf("%d of %d have read within a second, at most %d may", early, processes, c.most)
			}
		})
	}
}
