package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento/messenger"
)

// TestEntriesThatLapsedAndALeaderThatIsLostAgain guards against a process that forgets the
// upstreams whose entries lapsed in an outage of the store, as its leader confirms its list
// after the outage and then loses the store again.
func TestEntriesThatLapsedAndALeaderThatIsLostAgain(t *testing.T) {
	const backWithin = 1800 * time.Millisecond // of the return of the store
	for outage := 4 * time.Second; outage < 6*time.Second; outage += 100 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, source, l, stop := startListFollower(t)
				defer stop()
				l.loseStore()
				source.set(nil, nil, func(ctx context.Context) error { return silence(ctx) })
				time.Sleep(outage)
				source.set(nil, nil, nil) // all entries have lapsed
				returned := time.Now()
				time.Sleep(300 * time.Millisecond)
				l.loseStore() // after a read
				for ; time.Since(returned) < backWithin; time.Sleep(10 * time.Millisecond) {
					if used := usableUpstreams(r); len(used) != 2 {
						t.Fatalf("%s after the return of the store only %v are used", time.Since(returned), used)
					}
				}
				time.Sleep(5 * time.Second)
				is.Equal(usableUpstreams(r), []string(nil)) // they are gone
			})
		})
	}
}

// TestOwnReadKeepsColdTimes guards against upstreams of a domain that has just returned
// which a process takes for warm, since their entries say nothing of it.
func TestOwnReadKeepsColdTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, source, l, stop := startListFollower(t)
		defer stop()
		list := &messenger.UpstreamList{Upstreams: []messenger.Upstream{{Server: source.servers[0], ColdFor: 20 * time.Second}}}
		l.router.leader.HandleState("leader", &messenger.State{Versions: messenger.Versions{Epoch: 1, Upstreams: 2}, Upstreams: list}, func(*messenger.Message) {})
		l.upstreams.Store(2)
		time.Sleep(time.Second)
		l.loseStore()
		time.Sleep(4 * time.Second)
		is.True(source.callCount() > 0)
		for _, s := range r.follower.KnownUpstreams().Servers {
			is.Equal(s.WarmAt.After(time.Now().Add(10*time.Second)), s.Name == "a")
		}
	})
}
