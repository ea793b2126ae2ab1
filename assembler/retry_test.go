package assembler_test

import (
	"fmt"
	"net/http"
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

// replaceDispatcher kills the process that dispatches the orders, and starts another.
func (s *turnedAway) replaceDispatcher(t *testing.T) {
	t.Helper()
	for _, p := range storedAssignment(t, s.d).Pools {
		for i, e := range s.entries {
			if p.Service != "partsdesk" || p.PreferenceList[0] != e.Process.ID {
				continue
			}
			e.Kill()
			next, err := s.d.StartEntry(e.Process.Domain)
			if err != nil {
				t.Fatal(err)
			}
			s.entries[i] = next
			return
		}
	}
	t.Fatal("no process dispatches the orders")
}

// TestRetriesPileUpWhileDispatchersAreLost guards against dispatchers that follow one
// another and each allow all retries of a window.
func TestRetriesPileUpWhileDispatchersAreLost(t *testing.T) {
	const periods = 5
	for _, lost := range []int{0, periods - 1} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			d := startWarmDeployment(t)
			s := &turnedAway{d: d}
			for i := range limitEntries {
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
					s.replaceDispatcher(t)
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
