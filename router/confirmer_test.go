package router

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/timekeeper"
)

// TestConfirmedManifestCostsNoReads checks that a process whose leader confirms its
// manifest reads nothing, whatever is asked for, and refuses for good.
func TestConfirmedManifestCostsNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d, source, _, stop := startStaleFollower(t)
		defer stop()
		source.put(1) // counts from here
		for range 100 {
			r.follower.ManifestConfirmed(leader.ManifestRead{BeganAt: timekeeper.Now().Add(-800 * time.Millisecond), Version: 1})
			if got := sendThrough(t, r, d, "/unknown"); got.reason != pimento.ReasonNoRoute {
				t.Fatalf("got %+v, want %s", got, pimento.ReasonNoRoute)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if _, reads := source.sinceChange(); reads != 0 {
			t.Errorf("read %d times", reads)
		}
	})
}

// TestUnknownHostsCauseFewReads guards against callers that make a process call the
// store by requests without a route.
func TestUnknownHostsCauseFewReads(t *testing.T) {
	for _, c := range []struct {
		name     string
		fault    func(ctx context.Context, s *manifestStore, watch bool) error
		maxReads int // in 10 s
		reason   pimento.Reason
	}{
		{"the store answers", nil, 11, pimento.ReasonNoRoute},
		{"the store is busy", func(context.Context, *manifestStore, bool) error { return &pimento.BusyError{Status: 429} }, 40, pimento.ReasonStaleManifest},
		{"the store is silent", func(ctx context.Context, _ *manifestStore, _ bool) error { return silence(ctx) }, 20, pimento.ReasonStaleManifest},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, d, source, _, stop := startStaleFollower(t)
				defer stop()
				source.inject(c.fault)
				source.put(1) // counts from here
				counts := make(map[pimento.Reason]int)
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
					counts[sendThrough(t, r, d, "/unknown").reason]++
				}
				_, reads := source.sinceChange()
				t.Logf("%d reads, refused: %v", reads, counts)
				if reads > c.maxReads {
					t.Errorf("read %d times, allowed %d", reads, c.maxReads)
				}
				if len(counts) != 1 || counts[c.reason] == 0 {
					t.Errorf("refused: %v, want %s alone", counts, c.reason)
				}
			})
		})
	}
}

// TestReadsOfALeader checks how often a leader reads the manifest to confirm it, and how
// old its last read is at most.
func TestReadsOfALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restore := timekeeper.SetClock(time.Now)
		defer restore()
		source := &manifestStore{}
		source.put(1)
		l := &fakeLeader{}
		l.silent.Store(true)
		r, _, stop := startFollower(t, l, source, &memoryStore{}, (*follower).confirmWhileLeading)
		defer stop()
		time.Sleep(3 * time.Second)
		if !r.leader.IsLeader() {
			t.Fatal("does not lead")
		}
		source.put(1) // counts from here
		oldest := time.Duration(0)
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			oldest = max(oldest, timekeeper.Now().Sub(r.follower.ManifestRead().BeganAt))
		}
		_, reads := source.sinceChange()
		t.Logf("%d reads in 10 s, at most %s old", reads, oldest)
		if reads > 21 || oldest > 650*time.Millisecond {
			t.Errorf("%d reads, at most %s old", reads, oldest)
		}
	})
}

// TestConfirmerForgets checks what confirms the manifest in force: no read of a former
// era, none of a newer version, and an older version does.
func TestConfirmerForgets(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	defer r.follower.confirmer.close()
	f := r.follower
	f.adoptManifest([]byte("5"), manifestOrigin{From: originStore})
	now := timekeeper.Now()
	f.ManifestConfirmed(leader.ManifestRead{BeganAt: now, Version: 6})
	is.True(f.confirmer.at().IsZero())
	f.ManifestConfirmed(leader.ManifestRead{BeganAt: now, Version: 4})
	is.True(f.confirmer.at().Equal(now))
	f.ManifestConfirmed(leader.ManifestRead{BeganAt: now.Add(-time.Second), Version: 5})
	is.True(f.confirmer.at().Equal(now)) // the latest one counts
	is.True(f.confirmer.IsCurrent(time.Now()))
	is.NoErr(f.readManifest(t.Context()))
	is.True(!f.ManifestRead().BeganAt.IsZero())

	r.ObserveStoreEra(1)
	r.ObserveStoreEra(2)
	is.True(f.confirmer.at().IsZero())
	is.True(f.ManifestRead().BeganAt.IsZero())
	is.True(f.readManifest(t.Context()) != nil) // the source answers without an era
	is.True(f.confirmer.at().IsZero())
}

// TestRequestsShareOneRead checks that many requests that meet an old manifest at once
// wait for the same read, and are decided by what it brings.
func TestRequestsShareOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d, source, _, stop := startStaleFollower(t)
		defer stop()
		source.put(2)
		source.inject(func(ctx context.Context, _ *manifestStore, _ bool) error {
			sleep(ctx, 100*time.Millisecond)
			return ctx.Err()
		})
		time.Sleep(manifestTarget)
		var requests sync.WaitGroup
		var served atomic.Int32
		for range 200 {
			requests.Go(func() {
				if sendThrough(t, r, d, "/added").reason == pimento.ReasonOverloaded { // by the dispatcher
					served.Add(1)
				}
			})
		}
		requests.Wait()
		if n := served.Load(); n != 200 {
			t.Errorf("%d of 200 requests were routed", n)
		}
		if _, reads := source.sinceChange(); reads != 1 {
			t.Errorf("read %d times", reads)
		}
	})
}

// TestSilentWatchConfirmsNothing guards against a watch that hears nothing and is taken
// for a proof that nothing was written.
func TestSilentWatchConfirmsNothing(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	defer r.follower.confirmer.close()
	_, err := r.follower.awaitManifest(t.Context(), pimento.Revision{Number: 7})
	is.NoErr(err)
	is.True(!r.follower.ManifestReadAt().IsZero())
	is.True(r.follower.ManifestRead().BeganAt.IsZero())
	is.True(!r.follower.confirmer.IsCurrent(time.Now()))
}

// TestSilentStoreRefusesNoRoutedRequest guards against a process with few requests that
// refuses those that have a route, one after the other, while the store is silent.
func TestSilentStoreRefusesNoRoutedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, d, source, _, stop := startStaleFollower(t)
		defer stop()
		source.inject(func(ctx context.Context, _ *manifestStore, _ bool) error { return silence(ctx) })
		for i := range 4 {
			time.Sleep(6500 * time.Millisecond)
			began := time.Now()
			if got := sendThrough(t, r, d, "/kept"); got.reason != pimento.ReasonOverloaded { // by the dispatcher
				t.Errorf("request %d: got %+v, want %s", i+1, got, pimento.ReasonOverloaded)
			}
			if took := time.Since(began); i > 1 && took > minConfirmPause {
				t.Errorf("request %d waited for %s, though the store is known to be silent", i+1, took)
			}
		}
	})
}
