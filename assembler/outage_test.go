package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/storefaker"
)

// TestLeaderEndsWhileTheStoreIsAway tells the leader to end while the store is
// away, so that nobody can take its place. Keys stay held for as long as the
// process may stay, and what was granted last runs out.
func TestLeaderEndsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	d := start(t)
	leader, other := -1, 0
	for i := range 5 {
		if d.Entry(i).Status().Leads {
			leader, other = i, (i+1)%5
		}
	}
	is.True(leader >= 0)
	read := func(k int) error {
		_, err := sender.Send(t.Context(), sender.Request{
			Method: "GET", URL: d.URL(other) + "/TIMEOUT%20504/guide", Key: fmt.Sprintf("soum-%d", k), Timeout: time.Second,
		})
		return err
	}
	const keys = 24
	for k := range keys {
		is.NoErr(eventually(func() error { return read(k) }))
	}
	d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageBusy})
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Entry(leader).Stop() }()
	// A process that left after its last request would be gone after 2.5 s, and
	// its grants (2.6 s) after 5.1 s.
	time.Sleep(6*time.Second - time.Since(began))
	for k := range keys {
		is.NoErr(read(k))
	}
	is.NoErr(<-stopped)
	is.True(time.Since(began) < pimento.DefaultBounds().Shutdown+time.Second)
	d.Store.Inject(storefaker.Faults{})
	is.NoErr(eventually(func() error { return read(0) }))
}
