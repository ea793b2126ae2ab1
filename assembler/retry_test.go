package assembler_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/upstreamfaker"
)

// turnedAway is a stream of orders of which none is run.
type turnedAway struct {
	d       *assembler.Deployment
	entries []*assembler.Entry
	sent    int
	wg      sync.WaitGroup
}

// send sends orders through all processes for a time.
func (s *turnedAway) send(t *testing.T, lasts time.Duration) {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(pause) {
		s.sent++
		url, body := fmt.Sprintf("http://%s/connection%%20refused/order", s.entries[s.sent%len(s.entries)].Process.Caller), fmt.Sprint("order ", s.sent)
		s.wg.Go(func() {
			r, err := http.NewRequestWithContext(t.Context(), "POST", url, strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				return // the process was killed
			}
			res.Body.Close()
		})
	}
}

// retries counts what reached upstreams beyond the first arrival of each order.
func (s *turnedAway) retries() int {
	s.wg.Wait()
	n := 0
	ids := make(map[string]bool)
	for _, u := range s.d.Upstreams {
		for _, a := range u.Arrivals() {
			if ids[a.ID] {
				n++
			}
			ids[a.ID] = true
		}
	}
	return n
}

// replaceDispatcher kills the process that dispatches the orders, and starts another. It
// sends orders until there is such a process, at most for the time given.
func (s *turnedAway) replaceDispatcher(t *testing.T, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); s.send(t, 50*time.Millisecond) {
		i := s.dispatcher(t)
		if i < 0 {
			continue
		}
		e := s.entries[i]
		e.Kill()
		next, err := s.d.StartEntry(e.Process.Domain)
		if err != nil {
			t.Fatal(err)
		}
		s.entries[i] = next
		return
	}
	t.Fatal("no process dispatches the orders")
}

// dispatcher returns the number of the entry that dispatches the orders, or -1 if the
// process that does by the stored assignment was killed.
func (s *turnedAway) dispatcher(t *testing.T) int {
	t.Helper()
	for _, p := range storedAssignment(t, s.d).Pools {
		if p.Service != "partsdesk" {
			continue
		}
		return slices.IndexFunc(s.entries, func(e *assembler.Entry) bool {
			return e.Process.ID == p.PreferenceList[0]
		})
	}
	return -1
}

// TestRetriesPileUpWhileDispatchersAreLost guards against dispatchers that follow one
// another and each allow all retries of a window.
func TestRetriesPileUpWhileDispatchersAreLost(t *testing.T) {
	// All entries confirm the leader, and those that are not killed are a majority.
	const periods, entries = 5, 9
	for _, lost := range []int{0, periods - 1} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			d := startWarmDeployment(t, entries)
			s := &turnedAway{d: d}
			for i := range entries {
				s.entries = append(s.entries, d.Entry(i))
			}
			for _, u := range d.Upstreams {
				u.Inject(upstreamfaker.Faults{TurnAway: 1 << 20, RetryAfter: "0"})
			}
			bounds := pimento.DefaultBounds()
			begun := time.Now()
			for i := range periods {
				s.send(t, (bounds.RetryWindow-2*time.Second)/periods)
				if i < lost {
					s.replaceDispatcher(t, bounds.RetryWindow-time.Since(begun))
				}
			}
			n := s.retries()
			if took := time.Since(begun); took > bounds.RetryWindow {
				t.Fatalf("the test took %s, longer than a window", took)
			}
			t.Logf("%d retries of %d orders", n, s.sent)
			if bound := bounds.RetryRatio*float64(s.sent) + bounds.RetrySlack; float64(n) > bound {
				t.Errorf("%d retries of %d orders reached upstreams in one window; allowed %.1f", n, s.sent, bound)
			}
		})
	}
}
