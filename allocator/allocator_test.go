package allocator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// creditWait is how long a request waits for a credit in these simulations.
	creditWait = 600 * time.Millisecond
	tick       = 10 * time.Millisecond
)

var tolerance = Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// process is one dispatcher of a simulation.
type process struct {
	id      pimento.ProcessID
	account Account
	cut     bool // no message reaches it or leaves it
	share   float64
	waiting []time.Time // since when requests wait
	nextAt  time.Time   // of the next heartbeat
}

// deployment simulates dispatchers, a leader and the callers of one customer.
type deployment struct {
	random    *rand.Rand
	now       time.Time
	customer  pimento.Customer
	epoch     uint64
	leader    *Allocator // nil: there is none
	processes []*process
	first     int           // so many of the processes are dispatchers, zero: all
	idle      bool          // no upstream is reached, so that credits are returned to the account
	loss      float64       // of messages
	latency   time.Duration // of a heartbeat and its reply, half each
	back      time.Duration // after which refused callers come back once, zero: never
	later     []delayed
	admitted  []time.Time
	asked     int
	refused   int
}

// delayed is what happens at a later time.
type delayed struct {
	at time.Time
	do func()
}

// after lets something happen after a time, at once if that is zero.
func (d *deployment) after(wait time.Duration, do func()) {
	if wait == 0 {
		do()
		return
	}
	d.later = append(d.later, delayed{d.now.Add(wait), do})
}

// runDelayed lets happen what is due.
func (d *deployment) runDelayed() {
	var due []delayed
	d.later = slices.DeleteFunc(d.later, func(x delayed) bool {
		if x.at.After(d.now) {
			return false
		}
		due = append(due, x)
		return true
	})
	for _, x := range due {
		x.do()
	}
}

func newDeployment(seed uint64, n int, c pimento.Customer) *deployment {
	d := &deployment{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), customer: c}
	for i := range n {
		p := &process{id: pimento.ProcessID(fmt.Sprint("p", i)), share: 1 / float64(n), account: Account{Tolerance: tolerance}}
		p.nextAt = d.now.Add(time.Duration(d.random.Int64N(int64(heartbeatInterval))))
		d.processes = append(d.processes, p)
	}
	d.elect()
	return d
}

// elect replaces the leader.
func (d *deployment) elect() {
	d.epoch++
	d.leader = New(d.now)
	d.configure()
}

func (d *deployment) configure() {
	d.leader.SetQuotas(d.now, []pimento.Customer{d.customer}, tolerance)
	var ids []pimento.ProcessID
	for i, p := range d.processes {
		if d.first == 0 || i < d.first {
			ids = append(ids, p.id)
		}
	}
	d.leader.SetDispatchers(ids)
}

// restart replaces a process.
func (d *deployment) restart(i int) {
	old := d.processes[i]
	d.processes[i] = &process{id: old.id + "'", share: old.share, nextAt: d.now, account: Account{Tolerance: tolerance}}
	if d.leader != nil {
		d.leader.Forget(old.id)
		d.configure()
	}
}

// run simulates a time in which callers ask at a rate.
func (d *deployment) run(length time.Duration, rate float64) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tick) {
		d.runDelayed()
		for _, p := range d.processes {
			if d.leader != nil && !d.now.Before(p.nextAt) {
				p.nextAt = d.now.Add(heartbeatInterval)
				d.exchange(p)
			}
			for range poisson(d.random, rate*p.share*tick.Seconds()) {
				d.ask(p)
			}
			d.retry(p)
		}
	}
}

// exchange carries a heartbeat and its reply, each of which may be lost.
func (d *deployment) exchange(p *process) {
	if p.cut || d.random.Float64() < d.loss {
		return
	}
	l, epoch, grants := d.leader, d.epoch, d.leader.Grants(d.now, p.id)
	p.nextAt = d.now.Add(max(heartbeatInterval, d.latency))
	sentAt := d.now
	d.after(d.latency/2, func() {
		p.account.Apply(d.now, epoch, l.Dispatchers(), grants)
		uses := p.account.Uses(d.now)
		if d.random.Float64() < d.loss {
			return
		}
		d.after(d.latency/2, func() {
			l.Report(d.now, p.id, uses)
			if l.IsShort(p.id) {
				p.nextAt = sentAt.Add(max(heartbeatInterval/2, d.latency))
			}
		})
	})
}

func (d *deployment) ask(p *process) {
	d.asked++
	switch p.account.Ask(d.now, &d.customer) {
	case Admitted:
		if d.idle {
			p.account.Refund(&d.customer)
			return
		}
		d.admitted = append(d.admitted, d.now)
	case Waiting:
		p.waiting = append(p.waiting, d.now)
	default:
		d.refuse()
	}
}

// refuse refuses a request, whose caller may come back to any process.
func (d *deployment) refuse() {
	d.refused++
	if d.back == 0 {
		return
	}
	d.after(d.back, func() {
		p := d.processes[d.random.IntN(len(d.processes))]
		if p.account.Ask(d.now, &d.customer) == Admitted {
			d.admitted = append(d.admitted, d.now)
			return
		}
		p.waiting = append(p.waiting, d.now)
	})
}

func (d *deployment) retry(p *process) {
	for len(p.waiting) > 0 && p.account.Retry(d.now, &d.customer) == Admitted {
		if d.idle {
			p.account.Refund(&d.customer)
			p.waiting = p.waiting[1:]
			continue
		}
		d.admitted = append(d.admitted, d.now)
		p.waiting = p.waiting[1:]
	}
	for len(p.waiting) > 0 && d.now.Sub(p.waiting[0]) > creditWait {
		p.account.Leave(&d.customer)
		d.refuse()
		p.waiting = p.waiting[1:]
	}
}

// worst returns the most requests admitted in any window, and how many are allowed.
func (d *deployment) worst() (most int, allowed float64) {
	first := 0
	for i, at := range d.admitted {
		for at.Sub(d.admitted[first]) >= tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	c := d.customer
	return most, (c.Rate*tolerance.Window.Seconds()+c.Burst)*(1+tolerance.Overshoot) + tolerance.Slack
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// TestQuotaHoldsUnderFailures replays a customer that sends many times its quota while one
// thing fails, for customers of several sizes and several numbers of dispatchers.
func TestQuotaHoldsUnderFailures(t *testing.T) {
	const excess = 5 // times the quota
	for name, fail := range map[string]func(d *deployment, load float64){
		"nothing": func(d *deployment, load float64) { d.run(10*time.Second, load) },
		"lost messages": func(d *deployment, load float64) {
			d.loss = 0.3
			d.run(10*time.Second, load)
		},
		"leader lost for two seconds, twice": func(d *deployment, load float64) {
			for range 2 {
				d.leader = nil
				d.run(2*time.Second, load)
				d.elect()
				d.run(4*time.Second, load)
			}
		},
		"no leader any more": func(d *deployment, load float64) {
			d.leader = nil
			d.run(10*time.Second, load)
		},
		"half of the processes cut off": func(d *deployment, load float64) {
			for _, p := range d.processes[:len(d.processes)/2] {
				p.cut = true
			}
			d.run(6*time.Second, load)
			for _, p := range d.processes {
				p.cut = false
			}
			d.run(4*time.Second, load)
		},
		"half cut off from a new leader": func(d *deployment, load float64) {
			for _, p := range d.processes[:len(d.processes)/2] {
				p.cut = true
			}
			d.run(300*time.Millisecond, load)
			d.elect()
			d.run(6*time.Second, load)
		},
		"all processes restart": func(d *deployment, load float64) {
			d.leader = nil
			d.run(time.Second, 0)
			for i := range d.processes {
				d.restart(i)
			}
			d.elect()
			d.run(8*time.Second, load)
		},
		"processes restart one after the other": func(d *deployment, load float64) {
			for i := range d.processes {
				d.restart(i)
				d.run(500*time.Millisecond, load)
			}
		},
	} {
		for _, rate := range []float64{2, 46, 300} {
			for _, n := range []int{1, 15, 60} {
				t.Run(fmt.Sprintf("%s/rate %g/%d dispatchers", name, rate, n), func(t *testing.T) {
					is := is.New(t)
					d := newDeployment(uint64(n), n, pimento.Customer{Name: "c", Rate: rate, Burst: rate})
					d.run(5*time.Second, rate/2)
					fail(d, excess*rate)
					d.run(6*time.Second, excess*rate)
					most, allowed := d.worst()
					t.Logf("at most %d in a window, %.0f are allowed", most, allowed)
					is.True(float64(most) <= allowed)
				})
			}
		}
	}
}

// TestNobodyBelowTheQuotaIsRefused replays customers that stay below their quota, and
// guards against credits that lie where nobody asks for them.
func TestNobodyBelowTheQuotaIsRefused(t *testing.T) {
	for _, c := range []struct {
		rate    float64 // of the quota
		load    float64 // as a part of it
		n       int
		refused float64 // most, as a part of the requests
	}{
		{46, 0.62, 15, 0.002}, {300, 0.62, 15, 0.002}, {10, 0.62, 15, 0.005}, {2, 0.62, 15, 0.02}, {46, 0.62, 60, 0.01}, {46, 0.9, 15, 0.02}, {46, 0.62, 1, 0.002},
	} {
		t.Run(fmt.Sprintf("%g of %g at %d", c.load, c.rate, c.n), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(1, c.n, pimento.Customer{Name: "c", Rate: c.rate, Burst: c.rate})
			d.run(5*time.Second, 0)
			d.run(60*time.Second, c.load*c.rate)
			t.Logf("%d of %d refused", d.refused, d.asked)
			most, allowed := d.worst()
			is.True(float64(most) <= allowed)
			is.True(float64(d.refused) <= c.refused*float64(d.asked))
		})
	}
}

// TestManyDispatchersFarAway replays customers below their quota that are served by more
// dispatchers than there are credits, with heartbeats that take long, and callers that come back.
// It guards against credits that all lie in stock somewhere, so that requests wait in vain.
func TestManyDispatchersFarAway(t *testing.T) {
	for _, c := range []struct {
		rate, load float64 // of the quota, and as a part of it
	}{
		{46, 0.4}, {46, 0.62}, {128, 0.4}, {128, 0.62}, {10, 0.4},
	} {
		t.Run(fmt.Sprintf("%g of %g", c.load, c.rate), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(1, 125, pimento.Customer{Name: "c", Rate: c.rate, Burst: c.rate})
			d.latency, d.back = 180*time.Millisecond, 400*time.Millisecond
			d.run(5*time.Second, 0)
			d.run(40*time.Second, c.load*c.rate)
			t.Logf("%d of %d refused", d.refused, d.asked)
			most, allowed := d.worst()
			is.True(float64(most) <= allowed)
			is.True(float64(d.refused) <= 0.02*float64(d.asked))
		})
	}
}

// TestLossesCostLittle replays a customer below its quota while the leader is lost, or its
// requests go to other dispatchers, and guards against refusals for want of credits.
func TestLossesCostLittle(t *testing.T) {
	const load = 30
	for name, c := range map[string]struct {
		fail    func(d *deployment)
		refused float64 // most, as a part of the requests within two seconds
	}{
		"leader lost": {func(d *deployment) {
			d.leader = nil
			d.run(1500*time.Millisecond, load)
			d.elect()
			d.run(500*time.Millisecond, load)
		}, 0.05},
		"another dispatcher": {func(d *deployment) {
			d.processes[0].share, d.processes[1].share = 0, 2/15.0
			d.run(2*time.Second, load)
		}, 0.05},
		"dispatcher restarts": {func(d *deployment) {
			d.restart(0)
			d.run(2*time.Second, load)
		}, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asked, refused := 0, 0
			for seed := range uint64(20) {
				d := newDeployment(seed, 15, pimento.Customer{Name: "c", Rate: 46, Burst: 46})
				d.run(10*time.Second, load)
				d.asked, d.refused = 0, 0
				c.fail(d)
				asked, refused = asked+d.asked, refused+d.refused
			}
			t.Logf("%d of %d refused", refused, asked)
			is.True(float64(refused) <= c.refused*float64(asked))
		})
	}
}

// TestCreditsReachTheDispatchers replays the start of all processes at once: for a moment each
// issues its own permits and reaches no upstream, then all requests go to the dispatchers.
// Credits must not lie where nobody asks for them any more.
func TestCreditsReachTheDispatchers(t *testing.T) {
	const processes, dispatchers = 74, 13
	for _, c := range []struct {
		rate float64 // of the quota
		load float64 // as a part of it, after the start
	}{
		{50, 0.5}, {50, 0.8}, {300, 0.5}, {300, 0.8},
	} {
		t.Run(fmt.Sprintf("%g of %g", c.load, c.rate), func(t *testing.T) {
			is := is.New(t)
			asked, refused := 0, 0
			for seed := range uint64(10) {
				d := newDeployment(seed, processes, pimento.Customer{Name: "c", Rate: c.rate, Burst: c.rate})
				d.first = dispatchers
				d.elect()
				d.idle = true
				d.run(time.Second, c.rate) // callers come back
				d.idle = false
				for i, p := range d.processes {
					p.share, p.waiting = 0, nil // only requests after that moment count
					if i < dispatchers {
						p.share = 1.0 / dispatchers
					}
				}
				d.asked, d.refused = 0, 0
				d.run(3*time.Second, c.load*c.rate)
				asked, refused = asked+d.asked, refused+d.refused
				most, allowed := d.worst()
				is.True(float64(most) <= allowed)
			}
			t.Logf("%d of %d refused", refused, asked)
			is.True(float64(refused) <= 0.05*float64(asked)) // as after other losses
		})
	}
}

// TestLowerQuotaBinds checks that a lowered quota is in force once the leader knows it.
func TestLowerQuotaBinds(t *testing.T) {
	is := is.New(t)
	d := newDeployment(5, 15, pimento.Customer{Name: "c", Rate: 100, Burst: 100})
	d.run(10*time.Second, 300)
	d.customer.Rate, d.customer.Burst = 20, 20
	d.configure()
	d.run(tolerance.Window, 300)
	d.admitted = nil
	d.run(10*time.Second, 300)
	most, allowed := d.worst()
	is.True(float64(most) <= allowed)
}

// TestExhaustion checks that it is reported once when a quota is exhausted and once when it
// no longer is, and that callers are told when they may come back.
func TestExhaustion(t *testing.T) {
	is := is.New(t)
	d := newDeployment(7, 3, pimento.Customer{Name: "c", Rate: 20, Burst: 20})
	d.run(5*time.Second, 10)
	is.Equal(len(d.leader.Changes()), 0)
	d.run(5*time.Second, 100)
	changes := d.leader.Changes()
	is.Equal(len(changes), 1)
	is.True(changes[0].Exhausted)
	p := d.processes[0]
	is.Equal(p.account.Ask(d.now, &d.customer) == Waiting, false)
	first := p.account.RetryAfter(d.now, "c")
	second := p.account.RetryAfter(d.now, "c")
	is.True(second > first)
	is.True(second <= maxRetryAfter)
	d.run(10*time.Second, 5)
	changes = d.leader.Changes()
	is.Equal(len(changes), 1)
	is.True(!changes[0].Exhausted)
}

// TestLateGrants guards against grants of a former leader, and against one that is applied
// twice.
func TestLateGrants(t *testing.T) {
	is := is.New(t)
	var a Account
	now := time.Unix(1000, 0)
	is.Equal(a.Ask(now, &pimento.Customer{Name: "c", Rate: 1}), Waiting)
	a.Apply(now, 2, 3, []Grant{{Customer: "c", Granted: 4}})
	a.Apply(now, 2, 3, []Grant{{Customer: "c", Granted: 4}})
	is.Equal(a.Credits("c"), 4)
	a.Apply(now, 1, 3, []Grant{{Customer: "c", Granted: 9}})
	is.Equal(a.Credits("c"), 4)
	a.Apply(now, 3, 3, []Grant{{Customer: "c", Granted: 1}})
	is.Equal(a.Credits("c"), 5) // what was left counts, as reported to the new leader
	is.Equal(a.Uses(now), []Use{{Customer: "c", Asked: 1, Credits: 5, Granted: 1, Waiting: 1}})
}

// TestNobodyWaitsAnyMore checks that the leader hears that a request has left, so that it gives
// no credits for it.
func TestNobodyWaitsAnyMore(t *testing.T) {
	is := is.New(t)
	var a Account
	now := time.Unix(1000, 0)
	c := &pimento.Customer{Name: "c", Rate: 1}
	is.Equal(a.Ask(now, c), Waiting)
	is.Equal(a.Uses(now), []Use{{Customer: "c", Asked: 1, Waiting: 1}})
	is.Equal(a.Retry(now, c), Waiting)
	is.Equal(a.Uses(now), []Use{{Customer: "c", Waiting: 1}})
	a.Leave(c)
	is.Equal(a.Uses(now), []Use{{Customer: "c"}})
	is.Equal(len(a.Uses(now)), 0)
}

// TestSuspendedWhileRequestsWait guards against a process that was suspended for long, and then
// takes requests that wait off a count that it has dropped meanwhile.
func TestSuspendedWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	var a Account
	now := time.Unix(1000, 0)
	c := &pimento.Customer{Name: "c", Rate: 1}
	is.Equal(a.Ask(now, c), Waiting)
	a.Uses(now)
	now = now.Add(time.Minute)
	a.Uses(now)
	a.Leave(c)
	is.Equal(a.Ask(now, c), Waiting)
	is.Equal(a.Uses(now), []Use{{Customer: "c", Asked: 1, Waiting: 1}})
}

// TestTotalsOutliveCredits guards against a process that forgets how many credits it was granted
// while the leader remembers, so that it gets them again.
func TestTotalsOutliveCredits(t *testing.T) {
	is := is.New(t)
	var a Account
	now := time.Unix(1000, 0)
	is.Equal(a.Ask(now, &pimento.Customer{Name: "c", Rate: 1}), Waiting)
	a.Apply(now, 1, 3, []Grant{{Customer: "c", Granted: 5}})
	now = now.Add(3 * autonomyTime)
	a.Apply(now, 1, 3, []Grant{{Customer: "c", Granted: 5, Exhausted: true}})
	a.Uses(now) // from which the leader knows it again
	now = now.Add(heartbeatInterval)
	a.Uses(now)
	is.Equal(a.Credits("c"), 0)
	a.Apply(now, 1, 3, []Grant{{Customer: "c", Granted: 6}})
	is.Equal(a.Credits("c"), 1)
}
