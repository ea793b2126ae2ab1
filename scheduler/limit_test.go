package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// limitedPool returns a pool with upstreams a and b, of which a takes two requests a
// second; with keys, a owns all of them.
func limitedPool(keyed bool) *Pool {
	p := New(Config{Keyed: keyed})
	p.SetUpstreams([]Upstream{
		{Server: pimento.Server{Name: "a", Slots: 4}, Usable: true},
		{Server: pimento.Server{Name: "b", Slots: 4}, Usable: true},
	})
	if keyed {
		p.SetOwners([]Owner{{KeyRange: pimento.AllKeys, Upstream: "a", Ready: true}})
	}
	return p
}

var limitOfA = map[pimento.UpstreamName]pimento.RateLimit{"a": 2}

// ticketAt returns a request with a goal of half of the given time.
func ticketAt(now time.Time, id uint64, left time.Duration) Ticket {
	return Ticket{ID: id, Route: "r", Arrived: now, GoalAt: now.Add(left / 2), Deadline: now.Add(left)}
}

// TestRestGoesElsewhere guards against requests that wait for a limited upstream while
// another one has room.
func TestRestGoesElsewhere(t *testing.T) {
	is := is.New(t)
	p, now := limitedPool(false), time.Unix(1, 0)
	p.SetLimits(now, limitOfA)
	for id := range uint64(4) {
		got := p.Offer(now, ticketAt(now, id, 4*time.Second))
		is.Equal(len(got), 1)
		is.Equal(got[0].Upstream, pimento.UpstreamName("b"))
	}
}

// TestRequestBeyondLimitIsRefusedAtOnce guards against requests for keys of a limited
// upstream that wait until their deadline, and against a Retry-After before there is
// room.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p, now := limitedPool(true), time.Unix(1, 0)
	p.SetLimits(now, limitOfA)
	var last time.Duration
	waiting, refused := 0, 0
	for id := range uint64(8) {
		got := p.Offer(now, ticketAt(now, id, 2*time.Second))
		if len(got) == 0 {
			waiting++
			continue
		}
		refused++
		is.True(got[0].Refusal != nil)
		is.Equal(got[0].Refusal.Outcome, pimento.OutcomeNotRun)
		// Behind the requests that wait, at two a second.
		is.True(got[0].Refusal.RetryAfter >= min(time.Duration(waiting+refused)*500*time.Millisecond, maxRetryAfter))
		last = max(last, got[0].Refusal.RetryAfter)
	}
	is.True(waiting > 0 && waiting <= 3) // what can be answered in two seconds
	is.True(last > time.Second)
}

// TestWaitingRequestIsRefusedWhenLimitIsNamed guards against requests that wait on for
// an upstream after it has named a limit that leaves them no time.
func TestWaitingRequestIsRefusedWhenLimitIsNamed(t *testing.T) {
	is := is.New(t)
	p, now := limitedPool(true), time.Unix(1, 0)
	for id := range uint64(12) {
		p.Offer(now, ticketAt(now, id, 2*time.Second))
	}
	is.Equal(p.Running(), 4)
	is.Equal(p.Waiting(), 8)
	got := p.SetLimits(now, limitOfA)
	is.Equal(p.Waiting(), 3)
	is.Equal(len(got), 5)
	for _, d := range got {
		is.True(d.Refusal != nil)
		is.True(d.Refusal.RetryAfter >= 2*time.Second)
	}
	is.Equal(len(p.SetLimits(now, nil)), 0)
	is.True(!p.upstreams["a"].pacer.Limited())
}

// TestRestartKeepsLimit guards against an upstream that gets twice what it takes since
// it has restarted in between.
func TestRestartKeepsLimit(t *testing.T) {
	is := is.New(t)
	p, now := limitedPool(true), time.Unix(1, 0)
	p.SetLimits(now, limitOfA)
	p.SetUpstreams([]Upstream{{Server: pimento.Server{Name: "a", Slots: 4, Started: now}, Usable: true}})
	is.True(!p.canAccept(now, p.upstreams["a"]))
	is.True(p.canAccept(now.Add(500*time.Millisecond), p.upstreams["a"]))
}
