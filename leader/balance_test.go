package leader

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/partitioner"
	"pimentorelay.example/pimento/scheduler"
)

// The model closes the loop that keys run through: requests for skewed keys go
// to their holders through a scheduler's pool; what the pool reports of keys
// and speeds is counted as by a leader; a plan moves keys, which are not served
// until what runs on them has ended. It tells how much of the load is answered
// within its goal.

const (
	flowUpstreams = 16
	flowSlots     = 4
	flowWork      = 220 * time.Millisecond
	flowGoal      = 600 * time.Millisecond
	flowPatience  = 2 * time.Second
	flowSkew      = 0.65 // exponent of the popularity of keys
	flowThings    = 60000
	flowNoise     = 3 // factor of work in spells, a fifth of the time
	flowSpell     = 400 * time.Millisecond
	flowReport    = 200 * time.Millisecond
	flowHandover  = 15 * time.Millisecond // of a grant, beside what runs
)

// flowStart is the time of day at which the model begins.
var flowStart = time.Unix(1_800_000_000, 0)

// flowPattern is how the popularity of keys changes.
type flowPattern struct {
	name   string
	use    float64 // of the capacity, without noise
	length time.Duration
	// key draws the key of a request.
	key func(f *flow, at time.Duration) pimento.Key
}

type flowEvent struct {
	at time.Duration
	n  int
	do func()
}

type flowEvents []flowEvent

func (e flowEvents) Len() int { return len(e) }
func (e flowEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e flowEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *flowEvents) Push(x any)   { *e = append(*e, x.(flowEvent)) }
func (e *flowEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type flowCall struct {
	key     pimento.Key
	arrived time.Duration
	running bool
	holder  int
}

// flow is one run of the model.
type flow struct {
	still   bool
	pattern flowPattern
	rng     *rand.Rand
	now     time.Duration
	events  flowEvents
	n       int
	pool    *scheduler.Pool
	term    term
	table   []partitioner.Holding
	ready   map[pimento.Key]bool // of the ranges that begin with a key
	calls   map[uint64]*flowCall
	counts  map[pimento.Key]int
	noisy   [flowUpstreams]bool
	planned time.Duration

	asked, timely, served, moves int
}

func flowName(i int) pimento.UpstreamName { return pimento.UpstreamName(fmt.Sprintf("u%02d", i)) }

func flowFactor(i int) float64 { return []float64{0.7, 0.7, 1.6}[i%3] }

func (f *flow) at(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.events, flowEvent{at: d, n: f.n, do: do})
}

func (f *flow) time() time.Time { return flowStart.Add(f.now) }

// play runs a pattern. Keys stay where they are if still.
func play(p flowPattern, seed uint64, still bool) *flow {
	f := &flow{
		still: still, pattern: p, rng: rand.New(rand.NewPCG(seed, 3)), ready: make(map[pimento.Key]bool),
		calls: make(map[uint64]*flowCall), counts: make(map[pimento.Key]int),
		pool: scheduler.New(scheduler.Config{Keyed: true, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdRate: 5}),
	}
	f.term.loads.init()
	f.term.capacities = make(map[pimento.UpstreamName]float64)
	var list []scheduler.Upstream
	for i := range flowUpstreams {
		list = append(list, scheduler.Upstream{Usable: true, Server: pimento.Server{Name: flowName(i), Slots: flowSlots}})
		part := pimento.AllKeys.Len() / flowUpstreams
		r := pimento.KeyRange{From: pimento.Key(i * part), To: pimento.Key((i+1)*part - 1)}
		f.table = append(f.table, partitioner.Holding{KeyRange: r, Holder: pimento.Run{Upstream: flowName(i)}, Movable: true})
		f.ready[r.From] = true
	}
	f.pool.SetUpstreams(list)
	f.tell()
	f.arrive()
	f.at(0, f.spell)
	f.at(0, f.tick)
	f.at(flowReport, f.report)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(flowEvent)
		f.now = e.at
		e.do()
	}
	return f
}

func (f *flow) over() bool { return f.now > f.pattern.length }

func (f *flow) arrive() {
	if f.over() {
		return
	}
	capacity := 0.0
	for i := range flowUpstreams {
		capacity += flowSlots / flowWork.Seconds() / flowFactor(i)
	}
	gap := f.rng.ExpFloat64() / (capacity * f.pattern.use)
	f.at(f.now+time.Duration(gap*float64(time.Second)), f.arrive)
	f.asked++
	c := &flowCall{key: f.pattern.key(f, f.now), arrived: f.now}
	id := uint64(f.asked)
	f.calls[id] = c
	f.counts[c.key]++
	f.carry(f.pool.Offer(f.time(), scheduler.Ticket{
		ID: id, Route: "r", Key: c.key, Arrived: f.time(), GoalAt: f.time().Add(flowGoal), Deadline: f.time().Add(flowPatience),
	}))
}

func (f *flow) carry(list []scheduler.Decision) {
	for _, d := range list {
		c := f.calls[d.Ticket]
		if d.Refusal != nil {
			delete(f.calls, d.Ticket)
			continue
		}
		fmt.Sscanf(string(d.Upstream), "u%d", &c.holder)
		c.running = true
		began := f.now
		work := float64(flowWork) * math.Exp(f.rng.NormFloat64()*0.3-0.045) * flowFactor(c.holder)
		if f.rng.IntN(100) == 0 {
			work *= 5
		}
		if f.noisy[c.holder] {
			work *= flowNoise
		}
		f.at(f.now+time.Duration(work), func() { f.end(d.Ticket, c, f.now-began) })
	}
}

func (f *flow) end(id uint64, c *flowCall, took time.Duration) {
	delete(f.calls, id)
	waited := f.now - c.arrived
	kind := scheduler.ResultAnswered
	if waited > flowPatience {
		kind = scheduler.ResultTimeout
	} else {
		f.served++
	}
	if waited <= flowGoal {
		f.timely++
	}
	slow := 1.0
	if f.noisy[c.holder] {
		slow = flowNoise
	}
	f.carry(f.pool.Done(f.time(), id, scheduler.Result{
		Kind: kind, Took: took, HasLoad: true, Load: pimento.LoadReport{Slots: flowSlots, Slowness: slow},
	}))
}

func (f *flow) spell() {
	for i := range f.noisy {
		f.noisy[i] = f.rng.IntN(5) == 0
	}
	if !f.over() {
		f.at(f.now+flowSpell, f.spell)
	}
}

func (f *flow) tick() {
	f.carry(f.pool.Tick(f.time()))
	if !f.over() {
		f.at(f.now+10*time.Millisecond, f.tick)
	}
}

// report counts what a dispatcher reports, and plans.
func (f *flow) report() {
	var list []messenger.KeyLoad
	for k, n := range f.counts {
		list = append(list, messenger.KeyLoad{Service: "s", Key: k, Count: n})
	}
	clear(f.counts)
	var capacities []messenger.Speed
	for name, c := range f.pool.Capacities(f.time()) {
		capacities = append(capacities, messenger.Speed{Upstream: name, Capacity: c})
	}
	f.term.applyReport(f.time(), messenger.Report{Loads: list, Speeds: capacities})
	if !f.still && f.now-f.planned >= balanceInterval {
		f.plan()
	}
	if !f.over() {
		f.at(f.now+flowReport, f.report)
	}
}

func (f *flow) plan() {
	in := partitioner.Input{Loads: f.term.loads.requestRates(f.time(), "s"), Balance: true}
	for _, h := range f.table {
		h.Movable = f.ready[h.From]
		in.Holdings = append(in.Holdings, h)
	}
	for i := range flowUpstreams {
		in.Upstreams = append(in.Upstreams, partitioner.Upstream{Run: pimento.Run{Upstream: flowName(i)}, Capacity: f.term.capacities[flowName(i)]})
	}
	moves := partitioner.Plan(in)
	f.planned = f.now
	for _, m := range moves {
		f.moves++
		f.move(m)
	}
	f.tell()
}

// move carries out a move: the range is served again by its next holder when
// what runs on it has ended.
func (f *flow) move(m partitioner.Move) {
	var out []partitioner.Holding
	for _, h := range f.table {
		if !h.Overlaps(m.KeyRange) {
			out = append(out, h)
			continue
		}
		if h.From < m.From {
			left := h
			left.To = m.From - 1
			out = append(out, left)
		}
		out = append(out, partitioner.Holding{KeyRange: m.KeyRange, Holder: m.Holder, Movable: true})
		if h.To > m.To {
			right := h
			right.From = m.To + 1
			out = append(out, right)
			f.ready[right.From] = true
		}
	}
	f.table = out
	f.ready[m.From] = false
	f.await(m.KeyRange)
}

func (f *flow) await(r pimento.KeyRange) {
	for _, c := range f.calls {
		if c.running && r.Contains(c.key) {
			f.at(f.now+10*time.Millisecond, func() { f.await(r) })
			return
		}
	}
	f.at(f.now+flowHandover, func() {
		f.ready[r.From] = true
		f.tell()
		f.carry(f.pool.Tick(f.time()))
	})
}

func (f *flow) tell() {
	var owners []scheduler.Owner
	for _, h := range f.table {
		owners = append(owners, scheduler.Owner{KeyRange: h.KeyRange, Upstream: h.Holder.Upstream, Ready: f.ready[h.From]})
	}
	f.pool.SetOwners(owners)
}

// skewed draws a key by popularity; the busiest keys are neighbours that begin
// at a place.
func (f *flow) skewed(place int) pimento.Key {
	rank := math.Pow(f.rng.Float64(), 1/(1-flowSkew)) * flowThings
	return pimento.Key((place + int(rank)) % pimento.AllKeys.Len())
}

var flowPatterns = []flowPattern{
	{"skewed from the start", 0.45, 10 * time.Second, func(f *flow, _ time.Duration) pimento.Key { return f.skewed(11000) }},
	{"other keys grow popular", 0.45, 16 * time.Second, func(f *flow, at time.Duration) pimento.Key {
		return f.skewed(11000 + int(at/(8*time.Second))*30000)
	}},
	{"many neighbours grow hot", 0.45, 16 * time.Second, func(f *flow, at time.Duration) pimento.Key {
		if at > 8*time.Second && at < 13*time.Second && f.rng.Float64() < 0.4 {
			return pimento.Key(50000 + f.rng.IntN(200))
		}
		return f.skewed(11000)
	}},
	{"a few grow hot", 0.45, 16 * time.Second, func(f *flow, at time.Duration) pimento.Key {
		if at > 8*time.Second && at < 13*time.Second && f.rng.Float64() < 0.35 {
			return pimento.Key(50000 + f.rng.IntN(20))
		}
		return f.skewed(11000)
	}},
	{"one is hopeless", 0.45, 16 * time.Second, func(f *flow, at time.Duration) pimento.Key {
		if at > 8*time.Second && at < 13*time.Second && f.rng.Float64() < 0.25 {
			return 50000
		}
		return f.skewed(11000)
	}},
	{"calm", 0.3, 16 * time.Second, func(f *flow, _ time.Duration) pimento.Key { return f.skewed(11000) }},
}

// TestKeysFollowLoad replays how the popularity of keys changes and holds that
// more is answered in time than where keys stay, and that moving them settles.
func TestKeysFollowLoad(t *testing.T) {
	const (
		seeds = 6
		// settled is the most ranges that may move in a second, on the mean.
		settled = 10
	)
	for _, p := range flowPatterns {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			var moving, still flowSum
			for seed := range uint64(seeds) {
				moving.add(play(p, seed, false))
				still.add(play(p, seed, true))
			}
			t.Logf("moving: %s; still: %s", moving, still)
			is.True(moving.timely > still.timely)
			is.True(moving.served > still.served)
			is.True(float64(moving.moves) < settled*seeds*p.length.Seconds())
		})
	}
}

// flowSum adds up runs.
type flowSum struct{ asked, timely, served, moves int }

func (s *flowSum) add(f *flow) {
	s.asked += f.asked
	s.timely += f.timely
	s.served += f.served
	s.moves += f.moves
}

// String implements fmt.Stringer.
func (s flowSum) String() string {
	part := func(n int) float64 { return float64(n) / float64(s.asked) }
	return fmt.Sprintf("%.3f timely, %.3f served, %d moves", part(s.timely), part(s.served), s.moves)
}
