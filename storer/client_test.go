package storer

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platformfaker"
)

// outcome is what a call of the contract ends with.
type outcome string

const (
	done        outcome = "Done"
	conflict    outcome = "Conflict"
	missing     outcome = "NotFound"
	unreachable outcome = "Unreachable"
	other       outcome = "Other"
)

func outcomeOf(err error) outcome {
	var c *pimento.ConflictError
	var n *pimento.NotFoundError
	var u *pimento.UnreachableError
	switch {
	case err == nil:
		return done
	case errors.As(err, &c):
		return conflict
	case errors.As(err, &n):
		return missing
	case errors.As(err, &u):
		return unreachable
	default:
		return other
	}
}

// TestPlatformContract is the contract of the platform: what each call ends
// with, and what stands afterwards.
func TestPlatformContract(t *testing.T) {
	put := func(based uint64) func(context.Context, pimento.Platform) error {
		return func(ctx context.Context, p pimento.Platform) error {
			_, err := p.Put(ctx, "Config", based, []byte("new"))
			return err
		}
	}
	cases := []struct {
		name   string
		faults platformfaker.Faults
		call   func(context.Context, pimento.Platform) error
		want   outcome
		stands string
	}{
		{"a write on the present version stands", platformfaker.Faults{}, put(1), done, "new"},
		{"a write on an old version is refused", platformfaker.Faults{}, put(7), conflict, "old"},
		{"a creation of what exists is refused", platformfaker.Faults{}, put(0), conflict, "old"},
		{"a write may stand without its answer", platformfaker.Faults{LoseAnswers: 1}, put(1), unreachable, "new"},
		{"a write while it is down does not stand", platformfaker.Faults{Down: true}, put(1), unreachable, "old"},
		{"a slow write stands", platformfaker.Faults{Delay: pimento.Span(50 * time.Millisecond)}, put(1), done, "new"},
		{"a missing object is told from an outage", platformfaker.Faults{}, func(ctx context.Context, p pimento.Platform) error {
			_, err := p.Get(ctx, "Nothing")
			return err
		}, missing, "old"},
		{"a read while it is down", platformfaker.Faults{Down: true}, func(ctx context.Context, p pimento.Platform) error {
			_, err := p.Get(ctx, "Config")
			return err
		}, unreachable, "old"},
		{"a removal on an old version is refused", platformfaker.Faults{}, func(ctx context.Context, p pimento.Platform) error {
			return p.Delete(ctx, "Config", 9)
		}, conflict, "old"},
		{"a watch returns what is newer", platformfaker.Faults{}, func(ctx context.Context, p pimento.Platform) error {
			_, err := p.Watch(ctx, "Config", 0)
			return err
		}, done, "old"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			faker := &platformfaker.Server{}
			server := httptest.NewServer(faker.Handler())
			defer server.Close()
			p := &Client{Base: server.URL, HTTP: server.Client()}
			_, err := p.Put(t.Context(), "Config", 0, []byte("old"))
			is.NoErr(err)
			faker.Inject(c.faults)
			is.Equal(outcomeOf(c.call(t.Context(), p)), c.want)
			faker.Inject(platformfaker.Faults{})
			o, err := p.Get(t.Context(), "Config")
			is.NoErr(err)
			is.Equal(string(o.Value), c.stands)
		})
	}
}

func TestWatchWaits(t *testing.T) {
	is := is.New(t)
	faker := &platformfaker.Server{}
	server := httptest.NewServer(faker.Handler())
	defer server.Close()
	p := &Client{Base: server.URL, HTTP: server.Client()}
	got := make(chan pimento.Object, 1)
	go func() {
		if o, err := p.Watch(t.Context(), "Plan", 0); err == nil {
			got <- o
		}
	}()
	_, err := p.Put(t.Context(), "Plan", 0, []byte("one"))
	is.NoErr(err)
	is.Equal(string((<-got).Value), "one")
}
