package assembler_test

import (
	"context"
	"net/http"
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

// stall is what happens to the manifests that a process reads.
type stall string

const (
	stallNone   stall = ""
	stallSilent stall = "the leader's calls are silent"
	stallDeaf   stall = "the leader's watch hears nothing"
	// stallSlow lets each call hear what was stored when it began, but late.
	stallSlow stall = "the leader's answers come late"
)

// slowAnswer is how late an answer is that is slow.
const slowAnswer = 900 * time.Millisecond

// stallingSource is a source whose reading of manifests can be stalled. A read that is
// answered shows what was stored when it began, like one of the platform's store.
type stallingSource struct {
	pimento.Source
	stalled atomic.Pointer[stall]
}

// kind returns what happens to calls at present.
func (s *stallingSource) kind() stall {
	if k := s.stalled.Load(); k != nil {
		return *k
	}
	return stallNone
}

// Manifest implements pimento.Source.
func (s *stallingSource) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	kind := s.kind()
	if kind == stallSilent || kind == stallDeaf && !after.IsZero() {
		return s.silent(ctx, after, wait)
	}
	value, revision, err := s.Source.Manifest(ctx, after, wait)
	switch s.kind() {
	case stallSilent:
		return s.silent(ctx, after, 0) // the call began before
	case stallDeaf:
		if !after.IsZero() {
			return s.silent(ctx, after, 0)
		}
	case stallSlow:
		if err := pause(ctx, slowAnswer); err != nil {
			return nil, after, err
		}
	}
	return value, revision, err
}

// silent returns no news: a watch ends without any, and a read gets no answer.
func (s *stallingSource) silent(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	if after.IsZero() {
		<-ctx.Done()
		return nil, after, &pimento.UnreachableError{Target: "store", Cause: ctx.Err()}
	}
	return nil, after, pause(ctx, wait)
}

// pause waits for d, and returns an error if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &pimento.UnreachableError{Target: "store", Cause: ctx.Err()}
	}
}

// TestStaleManifestRefusesForGood guards against processes that refuse added routes
// for good, and serve dropped ones, because the reading of their leader is stalled while
// its heartbeats arrive. All others reach the store.
func TestStaleManifestRefusesForGood(t *testing.T) {
	for _, kind := range []stall{stallSilent, stallDeaf, stallSlow} {
		t.Run(string(kind), func(t *testing.T) { checkStalledLeader(t, kind) })
	}
}

// checkStalledLeader checks the routing of all other processes while the leader's
// reading is stalled.
func checkStalledLeader(t *testing.T, kind stall) {
	t.Helper()
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
	sources[leader].stalled.Store(&kind)

	last := len(d.Config.Categories) - 1
	d.Config.Categories[last] = pimento.Category{Name: "added", Service: "partsdesk"}
	_, err := d.Apply(t.Context(), d.Config)
	is.NoErr(err)
	time.Sleep(manifestTarget)

	sent, refused, served, added := 0, 0, 0, 0
	for start := time.Now(); time.Since(start) < staleWatch; time.Sleep(100 * time.Millisecond) {
		for i := range sources {
			if i == leader {
				continue
			}
			sent++
			switch statusOf(t, d.URL(i)+"/added/x") {
			case http.StatusNotFound:
				refused++
			case http.StatusOK:
				added++
			}
			if statusOf(t, d.URL(i)+"/dropped/x") == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("of %d requests on an added route %d were served", sent, added)
	if added < sent/2 {
		t.Errorf("of %d requests on an added route only %d were served", sent, added)
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
