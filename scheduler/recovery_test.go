package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// owned is a pool with one upstream that owns all keys, driven on virtual time.
type owned struct {
	pool *Pool
	now  time.Time
	id   uint64
}

func newOwned() *owned {
	o := &owned{pool: New(Config{Keyed: true}), now: time.Unix(1_800_000_000, 0)}
	o.pool.SetUpstreams([]Upstream{{Usable: true, Server: pimento.Server{Name: "u", Slots: 4}}})
	o.pool.SetOwners([]Owner{{KeyRange: pimento.KeyRange{From: 0, To: pimento.MaxKey}, Upstream: "u", Ready: true}})
	return o
}

// offer offers a request and returns its ticket and whether it got a permit.
func (o *owned) offer(route pimento.RouteName, goal, deadline time.Duration) (uint64, bool) {
	o.id++
	for _, d := range o.pool.Offer(o.now, Ticket{ID: o.id, Route: route, Arrived: o.now, GoalAt: o.now.Add(goal), Deadline: o.now.Add(deadline)}) {
		if d.Ticket == o.id {
			return o.id, d.Refusal == nil
		}
	}
	return o.id, false
}

// serve offers a request that takes some time, and reports whether it got a permit.
func (o *owned) serve(route pimento.RouteName, took, goal, deadline time.Duration) bool {
	id, permitted := o.offer(route, goal, deadline)
	o.now = o.now.Add(took)
	o.pool.Done(o.now, id, Result{Kind: ResultAnswered, Took: took})
	return permitted
}

// TestIdleUpstreamIsTried guards against an upstream that was slow and is refused all
// requests from then on: only answers correct the estimate of its speed.
func TestIdleUpstreamIsTried(t *testing.T) {
	is := is.New(t)
	const usual, goal, deadline = 220 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second
	o := newOwned()
	for range 50 {
		o.serve("reads", usual, goal, deadline)
	}
	for range 12 {
		o.serve("reads", 2900*time.Millisecond, time.Minute, time.Minute)
	}
	refused := 0
	for range 60 {
		if !o.serve("reads", usual, goal, deadline) {
			refused++
		}
	}
	is.Equal(refused, 0)
	is.True(o.pool.upstreams["u"].slowness.value() < 2)
}

// TestShortRouteDoesNotMakeItsUpstreamLookSlow guards against a request of a route that
// usually takes milliseconds, and whose delay is taken for a slow upstream: all other
// requests to it were refused, with slots free.
func TestShortRouteDoesNotMakeItsUpstreamLookSlow(t *testing.T) {
	is := is.New(t)
	const goal, deadline = 800 * time.Millisecond, 3 * time.Second
	o := newOwned()
	for range 50 {
		o.serve("reads", 220*time.Millisecond, goal, deadline)
		o.serve("tests", 5*time.Millisecond, goal, deadline)
	}
	_, permitted := o.offer("tests", goal, deadline)
	is.True(permitted)
	o.now = o.now.Add(300 * time.Millisecond)
	_, permitted = o.offer("reads", goal, deadline)
	is.True(permitted)
}

// TestKeyOfAnotherPool guards against a request that waits until its deadline at a
// dispatcher whose pool does not have the owner of its key, because the key has moved
// there before or after the request came.
func TestKeyOfAnotherPool(t *testing.T) {
	elsewhere := []Owner{{KeyRange: pimento.KeyRange{From: 0, To: pimento.MaxKey}, Upstream: "other", Ready: true}}
	for _, c := range []struct {
		name   string
		before bool // the key moves before the request comes
	}{{"before", true}, {"while it waits", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwned()
			for range 4 { // all slots
				o.offer("reads", time.Second, 3*time.Second)
			}
			if c.before {
				o.pool.SetOwners(elsewhere)
			}
			o.id++
			decisions := o.pool.Offer(o.now, Ticket{ID: o.id, Route: "reads", Arrived: o.now, GoalAt: o.now.Add(time.Second), Deadline: o.now.Add(3 * time.Second)})
			if !c.before {
				is.Equal(len(decisions), 0)
				o.pool.SetOwners(elsewhere)
				decisions = o.pool.Tick(o.now)
			}
			is.Equal(len(decisions), 1)
			is.True(decisions[0].Refusal != nil)
			is.Equal(o.pool.Waiting(), 0)
		})
	}
}

// TestColdnessOutlivesASnapshot guards against an upstream that said it is cold and gets
// its full load as soon as any state arrives, since its entry does not say so yet.
func TestColdnessOutlivesASnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	list := []Upstream{{Usable: true, Server: pimento.Server{Name: "u", Slots: 50, WarmAt: now.Add(-time.Minute)}}}
	p := New(Config{ColdRate: 3})
	p.SetUpstreams(list)
	id := uint64(0)
	permits := func(n int) (permitted int) {
		for range n {
			id++
			for _, d := range p.Offer(now, Ticket{ID: id, Arrived: now, GoalAt: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}) {
				if d.Refusal == nil {
					permitted++
				}
			}
		}
		return permitted
	}
	is.Equal(permits(1), 1)
	p.Done(now, id, Result{Kind: ResultRefused, ColdFor: 4 * time.Second})
	p.SetUpstreams(list) // as with any state that arrives
	now = now.Add(100 * time.Millisecond)
	is.True(permits(40) <= maxColdRunning)
	list[0].Started = now // the next run says for itself whether it is cold
	p.SetUpstreams(list)
	is.True(permits(40) > maxColdRunning)
}
