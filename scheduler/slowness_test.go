package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestReportedSlownessDecays checks that a report has its full weight at once and
// none after a while, and that an upstream without reports counts as average.
func TestReportedSlownessDecays(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	var h hostSlowness
	is.Equal(h.value(at), 1.0)
	h.update(at, 3)
	is.Equal(h.value(at), 3.0)
	is.True(h.value(at.Add(reportDecay)) < 2)
	is.True(h.value(at.Add(10*reportDecay)) < 1.01)
}

// TestUpstreamSlownessExcludesHostSlowness checks that an upstream whose host was
// slow for a moment does not count as a slow one, and that requests of very short
// routes hardly change its slowness.
func TestUpstreamSlownessExcludesHostSlowness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := New(Config{})
	p.SetUpstreams([]Upstream{{Usable: true, Server: pimento.Server{Name: "u", Slots: 4}}})
	serve := func(route pimento.RouteName, took time.Duration, reported float64) {
		id := uint64(now.UnixNano())
		p.Offer(now, Ticket{ID: id, Route: route, Arrived: now, GoalAt: now.Add(time.Second), Deadline: now.Add(time.Second)})
		now = now.Add(took)
		p.Done(now, id, Result{Kind: ResultAnswered, Took: took, HasLoad: true, Load: pimento.LoadReport{Slots: 4, Slowness: reported}})
		now = now.Add(time.Second)
	}
	for range 100 {
		serve("reads", 100*time.Millisecond, 1)
	}
	before := p.upstreams["u"].slowness.value()
	serve("reads", 400*time.Millisecond, 7) // half of it while the host was slow
	is.True(p.upstreams["u"].slowness.value() < 1.1*before)
	for i := range 40 {
		serve("tests", time.Duration(1+10*(i%2))*time.Millisecond, 1)
	}
	is.True(p.upstreams["u"].slowness.value() < 1.2*before)
	is.True(p.upstreams["u"].slowness.value() > 0.8*before)
}
