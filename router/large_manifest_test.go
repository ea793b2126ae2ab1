package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/timekeeper"
)

// The time that a large manifest takes on a small host.
const (
	largeTransfer = 90 * time.Millisecond  // 108 KB over 10 Mbit/s
	largeDecoding = 180 * time.Millisecond // of 1,400 routes
)

// largeStore is a manifestStore whose manifests take time to read and decode.
type largeStore struct {
	manifestStore
	decoding time.Duration
}

// Manifest implements pimento.Source.
func (s *largeStore) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	value, revision, err := s.manifestStore.Manifest(ctx, after, wait)
	if value != nil {
		sleep(ctx, largeTransfer)
	}
	if ctx.Err() != nil {
		return nil, pimento.Revision{}, errSilent
	}
	return value, revision, err
}

// DecodeManifest implements pimento.Source.
func (s *largeStore) DecodeManifest(value []byte) (pimento.Manifest, error) {
	time.Sleep(s.decoding)
	return s.manifestStore.DecodeManifest(value)
}

// TestLargeManifestsInQuickSuccession guards against a process that falls behind a series
// of changes, because each of them is announced while the one before is read.
func TestLargeManifestsInQuickSuccession(t *testing.T) {
	for _, c := range []struct {
		name     string
		decoding time.Duration
		interval time.Duration // between two changes
		busy     bool          // requests arrive
	}{
		{"a change each 330 ms", largeDecoding, 330 * time.Millisecond, false},
		{"a change each 330 ms, beside requests", largeDecoding, 330 * time.Millisecond, true},
		{"a change each 330 ms, slow decoding", 3 * largeDecoding, 330 * time.Millisecond, false},
		{"a change each 330 ms, slow decoding, beside requests", 3 * largeDecoding, 330 * time.Millisecond, true},
		{"a change each second", largeDecoding, time.Second, false},
		{"a change each second, slow decoding", 3 * largeDecoding, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source := &largeStore{decoding: c.decoding}
				source.put(1)
				l := &fakeLeader{}
				l.version.Store(1)
				r, tasks, stop := startFollower(t, l, source, &busyStore{}, func(f *follower, ctx context.Context) error { return followManifest(ctx, f) })
				defer stop()
				time.Sleep(3 * time.Second)
				const changes = 30
				start := time.Now()
				storedAt := func(v uint64) time.Time { return start.Add(time.Duration(v-2) * c.interval) }
				tasks.Go(func() {
					for v := uint64(2); v < changes+2; v++ {
						source.put(v)
						announce := time.AfterFunc(50*time.Millisecond+c.decoding, func() { l.version.Store(v) })
						defer announce.Stop()
						time.Sleep(c.interval)
					}
				})
				longest := time.Duration(0)
				for end := time.Now().Add(changes*c.interval + 4*time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if c.busy {
						r.follower.confirmer.IsCurrent(time.Now())
					}
					if next := r.follower.Versions().Manifest + 1; next < changes+2 {
						longest = max(longest, time.Since(storedAt(next)))
					}
				}
				t.Logf("a version was missing for %s at most", longest)
				if longest > manifestTarget {
					t.Errorf("a version was missing for %s, expected %s at most", longest, manifestTarget)
				}
			})
		})
	}
}

// largeRoutedStore is a routedStore whose manifests take time to read and decode.
type largeRoutedStore struct{ routedStore }

// Manifest implements pimento.Source.
func (s *largeRoutedStore) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	value, revision, err := s.routedStore.Manifest(ctx, after, wait)
	if value != nil {
		sleep(ctx, largeTransfer)
	}
	if ctx.Err() != nil {
		return nil, pimento.Revision{}, errSilent
	}
	return value, revision, err
}

// DecodeManifest implements pimento.Source.
func (s *largeRoutedStore) DecodeManifest(value []byte) (pimento.Manifest, error) {
	time.Sleep(largeDecoding)
	return s.routedStore.DecodeManifest(value)
}

// TestRequestIsSentByAManifestKnownToBeOld guards against a request with a short time limit
// that goes on by an old route while the newer manifest, which has been read, is decoded.
func TestRequestIsSentByAManifestKnownToBeOld(t *testing.T) {
	for _, limit := range []time.Duration{500 * time.Millisecond, time.Second} {
		t.Run("time limit "+limit.String(), func(t *testing.T) {
			for _, x := range staleCases {
				synctest.Test(t, func(t *testing.T) {
					restore := timekeeper.SetClock(time.Now)
					defer restore()
					source := &largeRoutedStore{}
					source.put(1)
					l := &fakeLeader{}
					l.version.Store(1)
					r, _, stop := startFollower(t, l, source, &busyStore{}, (*follower).watchManifest)
					defer stop()
					d := &serviceRecorder{}
					r.acceptor.Handler.(*forwarder.Forwarder).Dispatcher = d
					time.Sleep(3 * time.Second)
					source.put(2) // the leader never learns of it
					time.Sleep(manifestTarget)
					began := time.Now()
					got := sendWithin(t, r, d, x.path, limit)
					t.Logf("%s: %+v after %s", x.path, got, time.Since(began))
					if !x.allowed(got) {
						t.Errorf("%s, %s after the change: %+v, want it %s", x.path, manifestTarget, got, x.want)
					}
				})
			}
		})
	}
}

// sendWithin sends one request with a time limit through the process under test.
func sendWithin(t *testing.T, r *Router, d *serviceRecorder, path string, limit time.Duration) routed {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	now := time.Now()
	request := &pimento.Request{ID: "r", Method: "GET", Host: "h", Path: path, ArrivedAt: now, Deadline: now.Add(limit)}
	_, err := r.acceptor.Handler.Handle(ctx, request, nil)
	var refusal *pimento.OutcomeError
	if !errors.As(err, &refusal) {
		t.Fatalf("%s: got %v, want a refusal", path, err)
	}
	return routed{service: d.take(), reason: refusal.Reason}
}
