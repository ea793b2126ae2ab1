package assembler_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
)

const (
	// manifestTarget is the time within which operators expect a change to be in force
	// at every process.
	manifestTarget = 2 * time.Second
	// staleWatch is how long requests are sent after it.
	staleWatch = 2 * time.Second
)

// stallingSource is a source whose watch for a manifest can be stalled: it then hears
// nothing, and a read shows what was read last.
type stallingSource struct {
	pimento.Source
	stalled atomic.Bool

	mu       sync.Mutex
	value    []byte
	revision pimento.Revision
}

// Manifest implements pimento.Source.
func (s *stallingSource) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	if s.stalled.Load() {
		return s.old(ctx, after, wait)
	}
	value, revision, err := s.Source.Manifest(ctx, after, wait)
	if s.stalled.Load() { // the watch began before
		return s.old(ctx, after, 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if value != nil {
		s.value, s.revision = value, revision
	}
	return value, revision, err
}

// old answers without news.
func (s *stallingSource) old(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	if !after.IsZero() {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return nil, after, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.revision, nil
}

// TestStaleManifestRefusesForGood guards against processes that refuse added routes
// for good, and serve dropped ones, because the watch of their leader is stalled while
// its heartbeats arrive. All others reach the store.
func TestStaleManifestRefusesForGood(t *testing.T) {
	is := is.New(t)
	var sources []*stallingSource
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: time.Millisecond}
	d.Source = func(s pimento.Source) pimento.Source {
		sources = append(sources, &stallingSource{Source: s})
		return sources[len(sources)-1]
	}
	is.NoErr(d.Start())
	t.Cleanup(d.Stop)
	d.Config.Categories = append(d.Config.Categories, pimento.Category{Name: "dropped", Service: "partsdesk"})
	applyConfig(t, d)
	leader := leadingEntry(d)
	is.True(leader >= 0)
	sources[leader].stalled.Store(true)

	last := len(d.Config.Categories) - 1
	d.Config.Categories[last] = pimento.Category{Name: "added", Service: "partsdesk"}
	_, err := d.Apply(t.Context(), d.Config)
	is.NoErr(err)
	time.Sleep(manifestTarget)

	sent, refused, served := 0, 0, 0
	for start := time.Now(); time.Since(start) < staleWatch; time.Sleep(100 * time.Millisecond) {
		for i := range sources {
			if i == leader {
				continue
			}
			sent++
			if statusOf(t, d.URL(i)+"/added/x") == http.StatusNotFound {
				refused++
			}
			if statusOf(t, d.URL(i)+"/dropped/x") == http.StatusOK {
				served++
			}
		}
	}
	if leadingEntry(d) != leader {
		t.Log("the leader has changed")
	}
	if refused > 0 || served > 0 {
		t.Errorf("from %s after the change on, of %d requests each: %d on an added route refused for good, %d on a dropped one served", manifestTarget, sent, refused, served)
	}
}

// leadingEntry returns the index of the entry process that leads, -1 if none does.
func leadingEntry(d *assembler.Deployment) int {
	for i := range 5 {
		if d.Entry(i).Status().Leads {
			return i
		}
	}
	return -1
}

// statusOf returns the status of the answer to a read, 0 if there is none.
func statusOf(t *testing.T, url string) int {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
