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

// countingSource counts the calls for a manifest and those for upstreams.
type countingSource struct {
	pimento.Source
	calls     atomic.Int32
	upstreams atomic.Int32
}

// Upstreams implements pimento.Source.
func (s *countingSource) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	s.upstreams.Add(1)
	return s.Source.Upstreams(ctx)
}

// Manifest implements pimento.Source.
func (s *countingSource) Manifest(ctx context.Context, after pimento.Revision, wait time.Duration) ([]byte, pimento.Revision, error) {
	s.calls.Add(1)
	return s.Source.Manifest(ctx, after, wait)
}

// TestLeaderConfirmsManifest checks that processes refuse requests without a route for
// good without asking the store, as long as their leader reads it.
func TestLeaderConfirmsManifest(t *testing.T) {
	const watch = 4 * time.Second
	is := is.New(t)
	var sources []*countingSource
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: time.Millisecond}
	d.Source = func(s pimento.Source) pimento.Source {
		sources = append(sources, &countingSource{Source: s})
		return sources[len(sources)-1]
	}
	is.NoErr(d.Start())
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	time.Sleep(time.Second) // the first confirmations arrive
	leader := leadingEntry(d)
	is.True(leader >= 0)
	before := make([]int32, len(sources))
	for i, s := range sources {
		before[i] = s.calls.Load()
	}
	sent, refused := 0, 0
	for start := time.Now(); time.Since(start) < watch; time.Sleep(50 * time.Millisecond) {
		for i := range sources {
			sent++
			if statusOf(t, d.URL(i)+"/unknown/x") == http.StatusNotFound {
				refused++
			}
		}
	}
	members := int32(0)
	for i, s := range sources {
		n := s.calls.Load() - before[i]
		t.Logf("entry %d, leader %t: %d calls", i, i == leader, n)
		if i != leader {
			members += n
		}
	}
	is.Equal(refused, sent)
	is.True(members <= 4) // without confirmations: one a second each, 16
}

// TestLeaderConfirmsUpstreams checks that processes do not read the upstreams as long as
// their leader does.
func TestLeaderConfirmsUpstreams(t *testing.T) {
	const watch = 4 * time.Second
	is := is.New(t)
	var sources []*countingSource
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: time.Millisecond}
	d.Source = func(s pimento.Source) pimento.Source {
		sources = append(sources, &countingSource{Source: s})
		return sources[len(sources)-1]
	}
	is.NoErr(d.Start())
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	time.Sleep(time.Second) // the first confirmations arrive
	leader := leadingEntry(d)
	is.True(leader >= 0)
	before := make([]int32, len(sources))
	for i, s := range sources {
		before[i] = s.upstreams.Load()
	}
	time.Sleep(watch)
	members := int32(0)
	for i, s := range sources {
		n := s.upstreams.Load() - before[i]
		t.Logf("entry %d, leader %t: %d reads", i, i == leader, n)
		if i == leader {
			is.True(n > 0)
		} else {
			members += n
		}
	}
	is.True(members <= 4) // without confirmations: one a second each, 16
}
