package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const (
	fairUpstreams = 4
	fairSlots     = 4
	fairWork      = 100 * time.Millisecond // so that the pool serves 160 requests a second
	fairCustomers = 20
	fairGoal      = 400 * time.Millisecond
)

// fairLoad is a pool with customers of which one sends much more than usual.
type fairLoad struct {
	anonymous bool // the pool does not know the customers
	quota     float64
	usual     float64            // requests a second of each customer
	hot       float64            // of the first one, from the half of the time on
	priority  func(name int) int // of a customer; nil: all the same
}

// fairResult is what a customer got in the second half of the time.
type fairResult struct{ asked, served int }

func (r fairResult) share() float64 { return float64(r.served) / float64(max(1, r.asked)) }

// run replays a load of Poisson arrivals for 20 s and returns what each customer got.
func (l fairLoad) run() [fairCustomers]fairResult {
	const length, tick = 20 * time.Second, 5 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	start := now
	p := New(Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second})
	var list []Upstream
	for i := range fairUpstreams {
		list = append(list, Upstream{Server: pimento.Server{Name: pimento.UpstreamName(fmt.Sprint("u", i)), Slots: fairSlots, Started: now}, Usable: true})
	}
	p.SetUpstreams(list)
	var out [fairCustomers]fairResult
	owner := make(map[uint64]int)
	arrived := make(map[uint64]time.Time)
	ends := make(map[uint64]time.Time)
	lastID := uint64(0)
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Refusal == nil {
				ends[d.Ticket] = now.Add(time.Duration(float64(fairWork) * (0.7 + 0.6*random.Float64())))
			}
		}
	}
	for ; now.Sub(start) < length; now = now.Add(tick) {
		measured := now.Sub(start) >= length/2
		for id, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, id)
			if now.Sub(arrived[id]) <= fairGoal && arrived[id].Sub(start) >= length/2 {
				out[owner[id]].served++
			}
			apply(p.Done(now, id, Result{Kind: ResultAnswered, Took: fairWork}))
		}
		for c := range fairCustomers {
			rate := l.usual
			if c == 0 && measured {
				rate = l.hot
			}
			if random.Float64() >= rate*tick.Seconds() {
				continue
			}
			lastID++
			t := Ticket{ID: lastID, Route: "r", Arrived: now, GoalAt: now.Add(fairGoal), Deadline: now.Add(2 * time.Second)}
			if !l.anonymous {
				t.Customer, t.Quota = pimento.CustomerName(fmt.Sprint("c", c)), l.quota
			}
			if l.priority != nil {
				t.CustomerPriority = l.priority(c)
			}
			owner[lastID], arrived[lastID] = c, now
			if measured {
				out[c].asked++
			}
			apply(p.Offer(now, t))
		}
		apply(p.Tick(now))
	}
	return out
}

// others returns the worst share served of all customers but the first one.
func others(list [fairCustomers]fairResult) float64 {
	worst := 1.0
	for _, r := range list[1:] {
		worst = min(worst, r.share())
	}
	return worst
}

// TestHotCustomerSlowsNoOther replays a customer that sends many times its usual to a pool
// that had room for all before.
func TestHotCustomerSlowsNoOther(t *testing.T) {
	for _, quota := range []float64{0, 10} {
		t.Run(fmt.Sprintf("quota %g", quota), func(t *testing.T) {
			is := is.New(t)
			calm := others(fairLoad{usual: 6, hot: 6, quota: quota}.run())
			load := fairLoad{usual: 6, hot: 180, quota: quota}
			got := load.run()
			t.Logf("others at least %.3f, %.3f in calm, the hot one %.3f", others(got), calm, got[0].share())
			is.True(others(got) >= calm-0.05)
			is.True(got[0].served > 0)
			load.anonymous = true
			without := load.run()
			t.Logf("without shares: others at least %.3f", others(without))
			is.True(others(without) < others(got)) // the load is one in which shares matter
		})
	}
}

// TestNobodyStarvesUnderOverload replays customers of one size that all send more than usual,
// and one of many times that size which does not.
func TestNobodyStarvesUnderOverload(t *testing.T) {
	is := is.New(t)
	got := fairLoad{usual: 10, hot: 10}.run()
	served, asked := 0, 0
	for _, r := range got {
		served, asked = served+r.served, asked+r.asked
	}
	all := float64(served) / float64(asked)
	for _, r := range got {
		is.True(r.share() >= all/4)
	}
}

// TestCustomerPriorityGoesFirst checks that requests of a more urgent customer go before
// those of others, whatever the priority of their routes.
func TestCustomerPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	got := fairLoad{usual: 12, hot: 12, priority: func(c int) int { return c % 2 }}.run()
	for i, r := range got {
		if i%2 == 0 {
			is.True(r.share() > 0.95)
		}
	}
	a, b := &Ticket{CustomerPriority: 0, Priority: 9, ID: 2}, &Ticket{CustomerPriority: 1, Priority: 0, ID: 1}
	is.True(compareTickets(a, b) < 0)
	is.True(compareTickets(&Ticket{Priority: 3, ID: 2}, &Ticket{Priority: 1, ID: 1, excess: true}) < 0)
}
