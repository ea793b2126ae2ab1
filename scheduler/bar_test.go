package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// barredPool returns a pool with upstreams a and b, with one slot each; with keys, a owns
// all of them.
func barredPool(keyed bool) *Pool {
	p := New(Config{Keyed: keyed, RetrySlack: 10, RetryWindow: 10 * time.Second})
	p.SetUpstreams([]Upstream{
		{Server: pimento.Server{Name: "a", Slots: 1, Started: time.UnixMilli(5)}, Usable: true},
		{Server: pimento.Server{Name: "b", Slots: 1, Started: time.UnixMilli(6)}, Usable: true},
	})
	if keyed {
		p.SetOwners([]Owner{{KeyRange: pimento.AllKeys, Upstream: "a", Ready: true}})
	}
	return p
}

// barOf returns a bar of a run of upstream a; no time left: without an end.
func barOf(now time.Time, name pimento.UpstreamName, started int64, left time.Duration) Bar {
	b := Bar{Upstream: name, Started: time.UnixMilli(started)}
	if left > 0 {
		b.Until = now.Add(left)
	}
	return b
}

// isTrueDelay reports whether a delay is not before the end of a bar, nor long after it.
func isTrueDelay(d, left time.Duration) bool { return d >= left && d <= left+maxBarSpread }

// TestBarredUpstreamIsNeverChosen guards against a request that is sent to an upstream
// that wants none from its process, though no other has room.
func TestBarredUpstreamIsNeverChosen(t *testing.T) {
	for _, left := range []time.Duration{0, 30 * time.Second} {
		is := is.New(t)
		p, now := barredPool(false), time.Unix(1, 0)
		for id := range uint64(2) {
			ticket := ticketAt(now, id, 4*time.Second)
			ticket.Barred = []Bar{barOf(now, "a", 5, left)}
			got := p.Offer(now, ticket)
			if id == 0 {
				is.Equal(got[0].Upstream, pimento.UpstreamName("b"))
				continue
			}
			is.Equal(len(got), 0) // it waits for b
		}
		got := p.Done(now, 0, Result{Kind: ResultAnswered})
		is.Equal(len(got), 1)
		is.Equal(got[0].Upstream, pimento.UpstreamName("b"))
		got = p.Offer(now, ticketAt(now, 2, 4*time.Second)) // of another process
		is.Equal(got[0].Upstream, pimento.UpstreamName("a"))
	}
}

// TestBarOfFormerRun guards against a bar that shuts out the next run of its upstream.
func TestBarOfFormerRun(t *testing.T) {
	is := is.New(t)
	p, now := barredPool(true), time.Unix(1, 0)
	ticket := ticketAt(now, 1, 4*time.Second)
	ticket.Barred = []Bar{barOf(now, "a", 4, 0)}
	got := p.Offer(now, ticket)
	is.Equal(got[0].Upstream, pimento.UpstreamName("a"))
}

// TestNothingLeftIsRefusedAtOnce guards against a request that waits until its deadline
// though its process may send it nowhere, and against a delay that is not true.
func TestNothingLeftIsRefusedAtOnce(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		is := is.New(t)
		p, now := barredPool(keyed), time.Unix(1, 0)
		ticket := ticketAt(now, 1, 4*time.Second)
		ticket.Barred = []Bar{barOf(now, "a", 5, 30*time.Second), barOf(now, "b", 6, 40*time.Second)}
		got := p.Offer(now, ticket)
		is.Equal(len(got), 1)
		is.Equal(got[0].Refusal.Outcome, pimento.OutcomeNotRun)
		is.True(isTrueDelay(got[0].Refusal.RetryAfter, 30*time.Second))
		is.Equal(p.Waiting(), 0)
	}
}

// TestWaitingRequestIsBarred guards against a request that waits on for an owner that
// wants nothing: its pause begins, or the key goes to an upstream that is paused.
func TestWaitingRequestIsBarred(t *testing.T) {
	is := is.New(t)
	p, now := barredPool(true), time.Unix(1, 0)
	p.Offer(now, ticketAt(now, 1, 4*time.Second)) // takes the only slot
	is.Equal(len(p.Offer(now, ticketAt(now, 2, 4*time.Second))), 0)
	is.Equal(len(p.Bar(now, []uint64{9}, barOf(now, "a", 5, 30*time.Second))), 0) // of another process
	got := p.Bar(now, []uint64{2}, barOf(now, "a", 5, 30*time.Second))
	is.Equal(len(got), 1)
	is.True(isTrueDelay(got[0].Refusal.RetryAfter, 30*time.Second))

	third := ticketAt(now, 3, 4*time.Second)
	third.Barred = []Bar{barOf(now, "b", 6, 30*time.Second)}
	is.Equal(len(p.Offer(now, third)), 0)
	p.SetOwners([]Owner{{KeyRange: pimento.AllKeys, Upstream: "b", Ready: true}})
	got = p.Tick(now)
	is.Equal(len(got), 1)
	is.True(isTrueDelay(got[0].Refusal.RetryAfter, 30*time.Second))
}

// TestLeavingOwnerHasSuccessorSoon guards against a refusal of requests whose key is about
// to get another owner, and against a wait until their deadline.
func TestLeavingOwnerHasSuccessorSoon(t *testing.T) {
	is := is.New(t)
	p, now := barredPool(true), time.Unix(1, 0)
	for id := range uint64(2) {
		ticket := ticketAt(now, id, 4*time.Second)
		ticket.Barred = []Bar{barOf(now, "a", 5, 0)}
		is.Equal(len(p.Offer(now, ticket)), 0)
	}
	got := p.Tick(now.Add(maxOwnerWait))
	is.Equal(len(got), 2)
	is.True(got[0].Refusal.RetryAfter >= maxOwnerWait)

	ticket := ticketAt(now, 3, 4*time.Second)
	ticket.Barred = []Bar{barOf(now, "a", 5, 0)}
	is.Equal(len(p.Offer(now, ticket)), 0)
	p.SetOwners([]Owner{{KeyRange: pimento.AllKeys, Upstream: "b", Ready: true}})
	got = p.Tick(now)
	is.Equal(got[0].Upstream, pimento.UpstreamName("b"))
}

// TestBarUsesNoRetry guards against a retry budget that is used up by requests that were
// not sent.
func TestBarUsesNoRetry(t *testing.T) {
	is := is.New(t)
	p, now := barredPool(true), time.Unix(1, 0)
	p.budget.advance(now)
	now = now.Add(p.config.RetryWindow) // then the fixed allowance may be used
	for id := range uint64(100) {
		barred := ticketAt(now, id, 4*time.Second)
		barred.Retry, barred.Barred = true, []Bar{barOf(now, "a", 5, time.Minute)}
		is.Equal(p.Offer(now, barred)[0].Refusal.Reason, pimento.ReasonOverloaded)
		again := ticketAt(now, 1000+id, 4*time.Second)
		again.Retry, again.Again = true, true
		is.Equal(p.Offer(now, again)[0].Upstream, pimento.UpstreamName("a"))
		p.Cancel(now, 1000+id)
	}
	retry := ticketAt(now, 2000, 4*time.Second)
	retry.Retry = true
	is.Equal(p.Offer(now, retry)[0].Upstream, pimento.UpstreamName("a"))
}
