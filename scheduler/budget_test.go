package scheduler

import (
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// The retry budget that operators set.
const (
	retryRatio  = 0.2
	retrySlack  = 58.0
	retryWindow = 10 * time.Second
)

// mostInWindow returns the most of the given times, in their order, that lie in any period
// of retryWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= retryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTwoBurstsOfRetriesFitInOneWindow guards against retries that leave the count before
// a whole window has passed.
func TestTwoBurstsOfRetriesFitInOneWindow(t *testing.T) {
	const (
		interval = 10 * time.Millisecond // between requests
		bound    = int(retryRatio*float64(retryWindow/interval) + retrySlack)
	)
	start := time.Unix(1_800_000_000, 0)
	for phase := time.Duration(0); phase < retryWindow/budgetBuckets; phase += interval {
		b := budget{ratio: retryRatio, slack: retrySlack, window: retryWindow}
		bursts := []time.Duration{retryWindow + phase, 2*retryWindow + phase - interval}
		var retries []time.Time
		for at := time.Duration(0); len(bursts) > 0; at += interval {
			now := start.Add(at)
			b.recordRequest(now)
			if at < bursts[0] {
				continue
			}
			bursts = bursts[1:]
			for b.allowRetry(now) {
				retries = append(retries, now)
			}
		}
		if n := mostInWindow(retries); n > bound {
			t.Fatalf("%d retries within %s, the first %s after the beginning of a bucket; allowed %d", n, retryWindow-interval, phase, bound)
		}
	}
}

// arrivals offers requests to a pool and notes when retries get permits.
type arrivals struct {
	pool    *Pool
	now     time.Time
	lastID  uint64
	retry   map[uint64]bool // by ticket
	running []uint64        // tickets with permits
	retries []time.Time
}

// offer offers a request, and reports whether it may be sent or waits.
func (a *arrivals) offer(retry bool) bool {
	a.lastID++
	a.retry[a.lastID] = retry
	list := a.pool.Offer(a.now, Ticket{
		ID: a.lastID, Route: "r", Arrived: a.now, GoalAt: a.now.Add(retryWindow), Deadline: a.now.Add(retryWindow), Retry: retry,
	})
	a.record(list)
	return len(list) == 0 || list[0].Refusal == nil
}

func (a *arrivals) record(list []Decision) {
	for _, d := range list {
		if d.Refusal != nil {
			continue
		}
		a.running = append(a.running, d.Ticket)
		if a.retry[d.Ticket] {
			a.retries = append(a.retries, a.now)
		}
	}
}

// answer ends all requests that have a permit now.
func (a *arrivals) answer() {
	ended := a.running
	a.running = nil
	for _, id := range ended {
		a.record(a.pool.Done(a.now, id, Result{Kind: ResultAnswered}))
	}
}

// TestRetriesThatWaitArriveInAnotherWindow guards against retries that count when they ask
// for a permit, wait for it, and reach upstreams together with those that ask later.
func TestRetriesThatWaitArriveInAnotherWindow(t *testing.T) {
	const (
		slots = 250
		bound = int(retryRatio*slots + retrySlack) // in each window of the test
	)
	a := &arrivals{
		pool: New(Config{RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow}),
		now:  time.Unix(1_800_000_000, 0), retry: make(map[uint64]bool),
	}
	a.pool.SetUpstreams([]Upstream{{Server: pimento.Server{Name: "u", Slots: slots}, Usable: true}})
	for _, wait := range []time.Duration{4 * time.Second, 0} {
		for range slots {
			a.offer(false)
		}
		if wait == 0 {
			a.answer()
		}
		for a.offer(true) {
			continue
		}
		a.now = a.now.Add(wait)
		a.answer()
		a.answer()
		a.now = a.now.Add(retryWindow + retryWindow/budgetBuckets - wait)
	}
	if n := mostInWindow(a.retries); n > bound {
		t.Errorf("%d retries of %d requests got permits in a window; allowed %d", n, slots, bound)
	}
}

// TestRetryThatCannotBeSentWaits guards against a retry that waits for a permit although
// those that wait before it use up the budget.
func TestRetryThatCannotBeSentWaits(t *testing.T) {
	a := &arrivals{
		pool: New(Config{RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow}),
		now:  time.Unix(1_800_000_000, 0), retry: make(map[uint64]bool),
	}
	a.pool.SetUpstreams([]Upstream{{Server: pimento.Server{Name: "u", Slots: 1}, Usable: true}})
	const requests = 10
	for range requests {
		a.offer(false)
	}
	waiting := 0
	for a.offer(true) {
		waiting++
	}
	for range requests + waiting {
		a.answer()
	}
	if len(a.retries) != waiting {
		t.Errorf("%d retries were let in to wait, %d were sent", waiting, len(a.retries))
	}
}
