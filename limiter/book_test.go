package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const u = pimento.UpstreamName("u")

// at returns a time of the tests.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func named(rate pimento.RateLimit) pimento.LimitNotice {
	return pimento.LimitNotice{Named: true, Rate: rate}
}

// step is one answer of an upstream, or a report of another process.
type step struct {
	at     time.Duration
	sentAt time.Duration // of the request that is answered
	notice pimento.LimitNotice
	merged []Report // instead of an answer
}

// TestLimitInForce guards against a limit that ends by an answer that was overtaken,
// by a faulty value or by a report that is older, or that does not end.
func TestLimitInForce(t *testing.T) {
	const ms = time.Millisecond
	none := pimento.LimitNotice{}
	for _, c := range []struct {
		name    string
		steps   []step
		at      time.Duration
		want    pimento.RateLimit
		limited bool
	}{
		{name: "none named", steps: []step{{notice: none}}, at: time.Second},
		{name: "named", steps: []step{{notice: named(3)}}, at: time.Hour, want: 3, limited: true},
		{
			name: "an answer that was overtaken ends nothing", at: 9 * time.Second, want: 3, limited: true,
			steps: []step{{at: 500 * ms, notice: named(3)}, {at: 600 * ms, sentAt: 400 * ms, notice: none}},
		},
		{
			name: "it holds for a second", at: 1499 * ms, want: 3, limited: true,
			steps: []step{{at: 500 * ms, notice: named(3)}, {at: 600 * ms, sentAt: 510 * ms, notice: none}},
		},
		{
			name: "and ends then", at: 1500 * ms,
			steps: []step{{at: 500 * ms, notice: named(3)}, {at: 600 * ms, sentAt: 510 * ms, notice: none}},
		},
		{
			name: "named again", at: 9 * time.Second, want: 4, limited: true,
			steps: []step{{notice: named(3)}, {at: 60 * ms, sentAt: 10 * ms, notice: none}, {at: 70 * ms, notice: named(4)}},
		},
		{
			name: "the lowest of a second", at: 700 * ms, want: 2.5, limited: true,
			steps: []step{{notice: named(4)}, {at: 300 * ms, notice: named(2.5)}, {at: 600 * ms, notice: named(3)}},
		},
		{
			name: "a higher one after a second", at: 1300 * ms, want: 3, limited: true,
			steps: []step{{notice: named(4)}, {at: 300 * ms, notice: named(2.5)}, {at: 600 * ms, notice: named(3)}},
		},
		{
			name: "a faulty value changes nothing", at: 9 * time.Second, want: 3, limited: true,
			steps: []step{{notice: named(3)}, {at: 600 * ms, sentAt: 510 * ms, notice: pimento.LimitNotice{Invalid: "-1"}}},
		},
		{
			name: "another process heard of it", at: 9 * time.Second, want: 3, limited: true,
			steps: []step{{at: 500 * ms, merged: []Report{{Upstream: u, Rate: 3, Age: 200 * ms}}}},
		},
		{
			name: "another process heard later that it ended", at: 9 * time.Second,
			steps: []step{{notice: named(3)}, {at: 500 * ms, merged: []Report{{Upstream: u, Ended: true, Age: 200 * ms}}}},
		},
		{
			name: "another process heard earlier that it ended", at: 9 * time.Second, want: 3, limited: true,
			steps: []step{{at: 400 * ms, notice: named(3)}, {at: 500 * ms, merged: []Report{{Upstream: u, Ended: true, Age: 200 * ms}}}},
		},
		{
			name: "another process heard earlier that it was named", at: 9 * time.Second,
			steps: []step{
				{notice: named(3)}, {at: 400 * ms, sentAt: 300 * ms, notice: none},
				{at: 500 * ms, merged: []Report{{Upstream: u, Rate: 3, Age: 200 * ms}}},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b Book
			for _, s := range c.steps {
				if s.merged != nil {
					b.Merge(at(s.at), s.merged)
					continue
				}
				b.Observe(at(s.at), at(s.sentAt), u, s.notice)
			}
			rate, limited := b.Rate(at(c.at), u)
			is.Equal(limited, c.limited)
			is.Equal(rate, c.want)
		})
	}
}

// TestLimitIsToldOnce guards against a limit that every answer tells again, and one
// whose end or removal is not told.
func TestLimitIsToldOnce(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Observe(at(0), at(0), u, named(3))
	is.Equal(b.Changes(at(0)), []Change{{Upstream: u, Rate: 3}})
	is.Equal(len(b.FreshReports(at(0))), 1)
	is.Equal(len(b.FreshReports(at(0))), 0)
	b.Observe(at(time.Second), at(0), u, named(3.1))
	is.Equal(len(b.Changes(at(2*time.Second))), 0) // within the tolerance
	is.Equal(len(b.FreshReports(at(2*time.Second))), 1)
	for range 3 {
		b.Observe(at(3*time.Second), at(0), u, pimento.LimitNotice{Invalid: "x"})
	}
	is.Equal(b.Changes(at(3*time.Second)), []Change{{Upstream: u, Invalid: "x"}})
	b.Observe(at(4*time.Second), at(3*time.Second), u, pimento.LimitNotice{})
	is.Equal(b.Changes(at(4*time.Second)), []Change{{Upstream: u, Ended: true}})
	is.Equal(b.Reports(at(5*time.Second)), []Report{{Upstream: u, Ended: true, Age: time.Second}})
	is.Equal(len(b.Reports(at(20*time.Second))), 0)
	b.Observe(at(21*time.Second), at(21*time.Second), u, named(3))
	b.Changes(at(21 * time.Second))
	b.Retain(at(22*time.Second), func(pimento.UpstreamName) bool { return false })
	is.Equal(b.Changes(at(22*time.Second)), []Change{{Upstream: u, Ended: true}})
	is.Equal(len(b.InForce(at(22*time.Second))), 0)
}
