package router

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// lapsingStore is a source with one upstream, whose entry may have lapsed.
type lapsingStore struct {
	manifestStore
	down   atomic.Bool
	lapsed atomic.Bool
}

var errStoreDown = errors.New("the store is down")

// Upstreams implements pimento.Source.
func (s *lapsingStore) Upstreams(context.Context) ([]pimento.Server, error) {
	switch {
	case s.down.Load():
		return nil, &pimento.UnreachableError{Target: "store", Cause: errStoreDown}
	case s.lapsed.Load():
		return nil, nil
	}
	return []pimento.Server{{Name: "u1", State: pimento.StateArriving}}, nil
}

// TestEntriesThatLapsedInAnOutage guards against a process without a leader that reaches
// the store, which forgets the upstreams whose entries have lapsed while the store was down
// and are back within two seconds of its return.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	const (
		backWithin    = 2 * time.Second // of the return of the store
		leaderNotices = time.Second     // a leader tries the store again within this time
	)
	for _, outage := range []time.Duration{4 * time.Second, 4700 * time.Millisecond, 5500 * time.Millisecond, 6300 * time.Millisecond, 7100 * time.Millisecond, 8 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				source, l := &lapsingStore{}, &fakeLeader{}
				l.upstreams.Store(1)
				r, _, stop := startFollower(t, l, source, &busyStore{}, (*follower).pollState)
				defer stop()
				time.Sleep(300 * time.Millisecond)
				l.pushUpstreams(1, pimento.StateArriving)
				time.Sleep(3 * time.Second)
				source.down.Store(true)
				l.lost.Store(true)
				time.Sleep(outage)
				source.lapsed.Store(true)
				source.down.Store(false)
				returned := time.Now()
				notice := time.AfterFunc(leaderNotices, func() {
					l.lost.Store(false)
					l.upstreams.Store(2)
					l.pushUpstreams(2, pimento.StateArriving) // a leader keeps lapsed entries
				})
				defer notice.Stop()
				for ; time.Since(returned) < backWithin; time.Sleep(10 * time.Millisecond) {
					if stateOf(r) != pimento.StateArriving {
						t.Fatalf("the upstream is forgotten %s after the return of the store", time.Since(returned))
					}
				}
			})
		})
	}
}
