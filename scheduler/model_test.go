package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// The model: requests arrive, wait, and are processed by upstreams with slots and
// a queue of their own, on virtual time. Callers that get no answer retry once or
// twice. Policies are compared by what callers get: an answer has a utility of 1
// within its goal and lateUtility after it; a request without an answer has 0.

const (
	modelUpstreams  = 8
	modelSlots      = 4
	modelQueueLimit = 16
	modelDuration   = 20 * time.Second
	modelRoute      = "guides"
	// servedWeight is the weight of being served at all beside utility.
	servedWeight = 0.3
	// For noiseShare of the time, in periods of noisePeriod, work takes
	// noiseFactor times as long at an upstream.
	noiseShare  = 0.2
	noiseFactor = 3
	noisePeriod = 400 * time.Millisecond
	// tinyDivisor divides the work of requests on the tinyRoutes very short
	// routes.
	tinyDivisor = 60
	tinyRoutes  = 8
)

// profile describes the callers and upstreams of a deployment.
type profile struct {
	name          string
	work          time.Duration
	spread        float64 // standard deviation of the logarithm of the work
	goal          time.Duration
	timeout       time.Duration // of one attempt
	patience      time.Duration // of a caller, over all its attempts
	lateUtility   float64       // utility of a late answer
	callerRetries int           // of a caller without an answer
}

var profiles = []profile{
	{"patient", 220 * time.Millisecond, 0.3, 600 * time.Millisecond, 2 * time.Second, 4 * time.Second, 0.1, 2},
	{"hasty", 60 * time.Millisecond, 0.7, 200 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 0.3, 1},
}

// pattern is a load with its faults. Those of the slow, failing and shedding
// upstreams last from 5 s to 12 s.
type pattern struct {
	name        string
	rate        func(at time.Duration) float64 // as a share of the capacity
	noisy       bool
	reportsLoad bool    // answers carry a load report
	tiny        float64 // share of requests of very short routes
	keyed       bool
	hotShare    float64 // share of the requests for one upstream's keys
	slow        float64 // slowness of the first two upstreams
	fails       float64 // share of the requests that the first two upstreams fail
	sheds       float64 // share of the requests that all upstreams refuse as not run
	abuse       float64 // share of callers that retry at once and often
	cold        bool    // the first three upstreams start cold at 5 s
}

// capacity is what the upstreams can handle together without noise, in requests
// a second.
func (p profile) capacity() float64 { return modelUpstreams * modelSlots / p.work.Seconds() }

func steady(use float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return use }
}

func burst(use, peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 6*time.Second && at < 9*time.Second {
			return peak
		}
		return use
	}
}

var patterns = []pattern{
	{name: "calm", rate: steady(0.4)},
	{name: "busy", rate: steady(0.8)},
	{name: "burst", rate: burst(0.7, 1.7)},
	{name: "overload", rate: steady(1.4)},
	{name: "slow upstreams", rate: steady(0.6), slow: 8},
	{name: "grey upstreams", rate: steady(0.5), fails: 0.5},
	{name: "all shed", rate: steady(0.5), sheds: 0.5},
	{name: "immediate retries", rate: burst(0.7, 1.5), abuse: 0.3},
	{name: "cold upstreams", rate: steady(0.6), cold: true},
	{name: "hot keys", rate: steady(0.5), keyed: true, hotShare: 0.3},
	{name: "noisy with reports", rate: steady(0.45), noisy: true, reportsLoad: true},
	{name: "noisy burst with reports", rate: burst(0.4, 1.0), noisy: true, reportsLoad: true},
	{name: "noisy keys with reports", rate: steady(0.3), noisy: true, reportsLoad: true, keyed: true},
	{name: "tiny requests among others", rate: steady(0.7), tiny: 0.1},
	{name: "tiny requests in noise", rate: burst(0.4, 0.8), tiny: 0.1, noisy: true, reportsLoad: true},
	{name: "noisy", rate: steady(0.45), noisy: true},
	{name: "noisy burst", rate: burst(0.4, 1.0), noisy: true},
	{name: "noisy keys", rate: steady(0.25), noisy: true, keyed: true},
	{name: "noisy busy keys", rate: steady(0.4), noisy: true, keyed: true, hotShare: 0.1},
	{name: "noisy key burst", rate: burst(0.25, 0.6), noisy: true, keyed: true},
}

// policy decides which upstreams requests are sent to.
type policy interface {
	offer(m *model, c *call)
	done(m *model, c *call, kind ResultKind, took time.Duration)
	tick(m *model)
}

// call is one attempt of a caller.
type call struct {
	id       uint64
	caller   int
	first    time.Duration // of the caller's first attempt
	arrived  time.Duration
	attempts int // of the caller so far, this one included
	retries  int // by the policy so far
	abuser   bool
	key      pimento.Key
	work     time.Duration
	route    pimento.RouteName
	upstream *modelUpstream
	started  time.Duration
	ended    bool
}

func (m *model) goalAt(c *call) time.Duration { return c.first + m.profile.goal }

func (m *model) deadline(c *call) time.Duration {
	return min(c.arrived+m.profile.timeout, c.first+m.profile.patience)
}

type modelUpstream struct {
	index     int
	factor    float64
	noisy     bool
	running   int
	queue     []*call
	coldUntil time.Duration
	recent    []time.Duration // arrivals while cold
	crashes   int             // under overload while cold
	downUntil time.Duration
}

// slowness returns how many times longer than usual work takes now.
func (u *modelUpstream) slowness() float64 {
	if u.noisy {
		return noiseFactor
	}
	return 1
}

// event is a function that runs at a time.
type event struct {
	at       time.Duration
	run      func()
	sequence int // order of events at the same time
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// model is the state of one simulation.
type model struct {
	pattern     pattern
	profile     profile
	policyRand  *rand.Rand // of events that depend on the policy
	arrivalRand *rand.Rand // of arrivals, the same for all policies
	noiseRand   *rand.Rand // of slow periods, the same for all policies
	seed        uint64
	now         time.Duration
	queue       events
	sequence    int
	upstreams   []*modelUpstream
	policy      policy
	callers     int
	utility     float64
	served      int
	attempts    int // of callers
	arrivals    int // at upstreams
	coldCrashes int
	nextID      uint64
}

func (m *model) at(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.queue, event{at: d, run: run, sequence: m.sequence})
}

func (m *model) faultsActive() bool { return m.now > 5*time.Second && m.now < 12*time.Second }

// simulate runs a pattern with a policy.
func simulate(p pattern, f profile, seed uint64, pol policy) *model {
	m := &model{
		pattern: p, profile: f, policy: pol, seed: seed,
		policyRand: rand.New(rand.NewPCG(seed, 7)), arrivalRand: rand.New(rand.NewPCG(seed, 8)), noiseRand: rand.New(rand.NewPCG(seed, 9)),
	}
	for i := range modelUpstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{index: i, factor: []float64{0.7, 1, 1.3}[i%3]})
	}
	if p.cold {
		m.at(5*time.Second, func() {
			for _, u := range m.upstreams[:3] {
				u.coldUntil = m.now + 3*time.Second
			}
		})
	}
	m.arrive()
	m.tick()
	if p.noisy {
		m.drawNoise()
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	return m
}

func (m *model) tick() {
	m.policy.tick(m)
	if m.now < modelDuration+5*time.Second {
		m.at(m.now+10*time.Millisecond, m.tick)
	}
}

// drawNoise decides which upstreams are noisy for the next period.
func (m *model) drawNoise() {
	for _, u := range m.upstreams {
		u.noisy = m.noiseRand.Float64() < noiseShare
	}
	if m.now < modelDuration {
		m.at(m.now+noisePeriod, m.drawNoise)
	}
}

// arrive adds one caller and schedules the next.
func (m *model) arrive() {
	if m.now > modelDuration {
		return
	}
	m.callers++
	c := &call{caller: m.callers, first: m.now, arrived: m.now, attempts: 1, abuser: m.arrivalRand.Float64() < m.pattern.abuse}
	c.key = pimento.Key(m.arrivalRand.IntN(65536))
	if m.arrivalRand.Float64() < m.pattern.hotShare {
		c.key = pimento.Key(m.arrivalRand.IntN(200))
	}
	gap := m.arrivalRand.ExpFloat64() / (m.pattern.rate(m.now) * m.profile.capacity())
	m.at(m.now+time.Duration(gap*float64(time.Second)), m.arrive)
	m.offer(c)
}

func (m *model) offer(c *call) {
	m.attempts++
	m.nextID++
	c.id = m.nextID
	f := m.profile
	callRand := rand.New(rand.NewPCG(m.seed, uint64(c.caller)<<8|uint64(c.attempts)))
	c.work = time.Duration(float64(f.work) * math.Exp(callRand.NormFloat64()*f.spread-f.spread*f.spread/2))
	c.route = modelRoute
	if callRand.Float64() < m.pattern.tiny {
		c.work /= tinyDivisor
		c.route = pimento.RouteName(fmt.Sprintf("tiny%d", c.caller%tinyRoutes))
	}
	m.policy.offer(m, c)
}

// send sends a call to an upstream.
func (m *model) send(c *call, u *modelUpstream) {
	m.arrivals++
	c.upstream = u
	c.started = m.now
	switch {
	case m.now < u.downUntil:
		m.finish(c, ResultBroken)
	case m.now < u.coldUntil && m.exceedsColdRate(u):
		u.crashes++
		m.coldCrashes++
		u.downUntil = m.now + 2*time.Second
		m.finish(c, ResultBroken)
	case m.faultsActive() && m.policyRand.Float64() < m.pattern.sheds:
		m.at(m.now+2*time.Millisecond, func() { m.finish(c, ResultRefused) })
	case u.running < modelSlots:
		m.process(c, u)
	case len(u.queue) < modelQueueLimit:
		u.queue = append(u.queue, c)
	default: // an upstream never answers what it cannot queue
		m.at(m.deadline(c), func() { m.finish(c, ResultTimeout) })
	}
}

// exceedsColdRate counts an arrival at a cold upstream and reports whether there
// were more in a second than it can handle.
func (m *model) exceedsColdRate(u *modelUpstream) bool {
	u.recent = append(u.recent, m.now)
	for len(u.recent) > 0 && m.now-u.recent[0] > time.Second {
		u.recent = u.recent[1:]
	}
	return len(u.recent) > 12
}

// process runs a call at an upstream.
func (m *model) process(c *call, u *modelUpstream) {
	u.running++
	f := u.factor
	if m.pattern.slow > 0 && u.index < 2 && m.faultsActive() {
		f *= m.pattern.slow
	}
	if m.now < u.coldUntil {
		f *= 2
	}
	f *= u.slowness()
	d := time.Duration(float64(c.work) * f)
	kind := ResultAnswered
	if m.pattern.fails > 0 && u.index < 2 && m.faultsActive() && m.policyRand.Float64() < m.pattern.fails {
		kind, d = ResultFailed, d/4
	}
	if m.now+d > m.deadline(c) {
		d, kind = max(0, m.deadline(c)-m.now), ResultTimeout
	}
	m.at(m.now+d, func() {
		u.running--
		m.finish(c, kind)
		for u.running < modelSlots && len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if m.now >= m.deadline(next) {
				m.finish(next, ResultTimeout)
				continue
			}
			m.process(next, u)
		}
	})
}

// finish ends a call that was sent.
func (m *model) finish(c *call, kind ResultKind) {
	if c.ended {
		return
	}
	c.ended = true
	m.policy.done(m, c, kind, m.now-c.started)
}

// recordAnswer counts an answer and its utility.
func (m *model) recordAnswer(c *call) {
	m.served++
	if m.now <= m.goalAt(c) {
		m.utility++
	} else {
		m.utility += m.profile.lateUtility
	}
}

// retryByCaller schedules the next attempt of a caller if it makes one.
func (m *model) retryByCaller(c *call, after time.Duration) {
	remaining := c.first + m.profile.patience - m.now
	if c.attempts > m.profile.callerRetries || remaining <= 0 {
		return
	}
	wait := min(max(after, 30*time.Millisecond), remaining/3)
	if c.abuser {
		wait = 5 * time.Millisecond
	}
	next := &call{caller: c.caller, first: c.first, attempts: c.attempts + 1, key: c.key, abuser: c.abuser}
	if c.abuser && c.attempts < 8 && m.policyRand.IntN(4) > 0 {
		next.attempts = c.attempts
	}
	m.at(m.now+wait, func() {
		next.arrived = m.now
		m.offer(next)
	})
}

// poolPolicy is the policy of this package.
type poolPolicy struct {
	pool      *Pool
	calls     map[uint64]*call
	knownCold map[int]time.Duration // end of the cold period that was last set for an upstream
}

var startTime = time.Unix(1_800_000_000, 0)

func (m *model) time() time.Time { return startTime.Add(m.now) }

func newPoolPolicy(p pattern) *poolPolicy {
	pl := &poolPolicy{
		pool:  New(Config{Keyed: p.keyed, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, ColdRate: 5}),
		calls: make(map[uint64]*call), knownCold: make(map[int]time.Duration),
	}
	pl.setUpstreams(make([]time.Duration, modelUpstreams))
	if p.keyed {
		var owners []Owner
		const part = 65536 / modelUpstreams
		for i := range modelUpstreams {
			owners = append(owners, Owner{
				KeyRange: pimento.KeyRange{From: pimento.Key(i * part), To: pimento.Key((i+1)*part - 1)}, Upstream: modelUpstreamName(i), Ready: true,
			})
		}
		pl.pool.SetOwners(owners)
	}
	return pl
}

func modelUpstreamName(i int) pimento.UpstreamName {
	return pimento.UpstreamName(fmt.Sprintf("u%d", i))
}

func (p *poolPolicy) setUpstreams(cold []time.Duration) {
	var list []Upstream
	for i := range modelUpstreams {
		list = append(list, Upstream{Usable: true, Server: pimento.Server{Name: modelUpstreamName(i), Slots: modelSlots, WarmAt: startTime.Add(cold[i])}})
	}
	p.pool.SetUpstreams(list)
}

func (p *poolPolicy) offer(m *model, c *call) {
	p.calls[c.id] = c
	p.apply(m, p.pool.Offer(m.time(), Ticket{
		ID: c.id, Route: c.route, Key: c.key, Arrived: m.time(),
		GoalAt: startTime.Add(m.goalAt(c)), Deadline: startTime.Add(m.deadline(c)), Retry: c.retries > 0,
	}))
}

func (p *poolPolicy) apply(m *model, list []Decision) {
	for _, d := range list {
		c := p.calls[d.Ticket]
		if d.Refusal != nil {
			delete(p.calls, d.Ticket)
			m.retryByCaller(c, d.Refusal.RetryAfter)
			continue
		}
		for i := range modelUpstreams {
			if modelUpstreamName(i) == d.Upstream {
				m.send(c, m.upstreams[i])
			}
		}
	}
}

func (p *poolPolicy) done(m *model, c *call, kind ResultKind, took time.Duration) {
	delete(p.calls, c.id)
	result := Result{Kind: kind, Took: took}
	if m.pattern.reportsLoad && kind == ResultAnswered {
		result.HasLoad, result.Load.Slowness = true, c.upstream.slowness()
	}
	list := p.pool.Done(m.time(), c.id, result)
	switch {
	case kind == ResultAnswered:
		m.recordAnswer(c)
	case kind != ResultTimeout && c.retries == 0:
		next := *c
		next.retries, next.ended = 1, false
		m.nextID++
		next.id = m.nextID
		p.offer(m, &next)
	default:
		m.retryByCaller(c, 0)
	}
	p.apply(m, list)
}

func (p *poolPolicy) tick(m *model) {
	cold := make([]time.Duration, modelUpstreams)
	changed := false
	for i, u := range m.upstreams {
		cold[i] = u.coldUntil
		changed = changed || p.knownCold[i] != u.coldUntil
		p.knownCold[i] = u.coldUntil
	}
	if changed {
		p.setUpstreams(cold)
	}
	p.apply(m, p.pool.Tick(m.time()))
}

// fifoPolicy is the baseline that keeps one queue and sends in the order of
// arrival to the least busy upstream with a free slot.
type fifoPolicy struct{ waiting []*call }

func (p *fifoPolicy) offer(m *model, c *call) {
	p.waiting = append(p.waiting, c)
	p.tick(m)
}

func (p *fifoPolicy) tick(m *model) {
	var rest []*call
	for _, c := range p.waiting {
		if m.now >= m.deadline(c) {
			m.retryByCaller(c, 0)
			continue
		}
		var target *modelUpstream
		for _, u := range m.upstreams {
			eligible := !m.pattern.keyed || int(c.key)/(65536/modelUpstreams) == u.index
			if eligible && u.running+len(u.queue) < modelSlots && (target == nil || u.running < target.running) {
				target = u
			}
		}
		if target == nil {
			rest = append(rest, c)
			continue
		}
		m.send(c, target)
	}
	p.waiting = rest
}

func (p *fifoPolicy) done(m *model, c *call, kind ResultKind, _ time.Duration) {
	if kind == ResultAnswered {
		m.recordAnswer(c)
	} else {
		m.retryByCaller(c, 0)
	}
	p.tick(m)
}

// randomPolicy is the baseline that sends each request at once to a random
// upstream. It retries a failed request at once, up to maxRetries times.
type randomPolicy struct{ maxRetries int }

func (p *randomPolicy) offer(m *model, c *call) {
	u := m.upstreams[m.policyRand.IntN(modelUpstreams)]
	if m.pattern.keyed {
		u = m.upstreams[int(c.key)/(65536/modelUpstreams)]
	}
	m.send(c, u)
}

func (p *randomPolicy) tick(*model) {}

func (p *randomPolicy) done(m *model, c *call, kind ResultKind, _ time.Duration) {
	switch {
	case kind == ResultAnswered:
		m.recordAnswer(c)
	case c.retries < p.maxRetries && m.now < m.deadline(c):
		next := *c
		next.retries, next.ended = c.retries+1, false
		m.at(m.now+time.Millisecond, func() { p.offer(m, &next) })
	default:
		m.retryByCaller(c, 0)
	}
}

// withinRetryBudget reports whether the retries of a simulation stay within what
// operators allow over its whole length.
func (m *model) withinRetryBudget() bool {
	windows := float64(modelDuration / (10 * time.Second))
	return float64(m.arrivals) <= 1.2*float64(m.attempts)+20*windows
}

// TestUtilityUnderLoad simulates load patterns and checks that callers get at
// least as much as with each baseline that keeps the retry budget.
func TestUtilityUnderLoad(t *testing.T) {
	for _, f := range profiles {
		for _, p := range patterns {
			t.Run(f.name+"/"+p.name, func(t *testing.T) {
				t.Parallel()
				comparePolicies(t, p, f)
			})
		}
	}
}

// comparePolicies simulates a pattern with the pool and with the baselines.
func comparePolicies(t *testing.T, p pattern, f profile) {
	const seeds = 5
	names := []string{"pool", "FIFO", "random", "random with retries"}
	score, utility, served := make([]float64, 4), make([]float64, 4), make([]float64, 4)
	withinBudget := []bool{true, true, true, true}
	coldCrashes := 0
	for seed := range uint64(seeds) {
		for i, pol := range []policy{newPoolPolicy(p), &fifoPolicy{}, &randomPolicy{}, &randomPolicy{maxRetries: math.MaxInt}} {
			m := simulate(p, f, seed, pol)
			utility[i] += m.utility / float64(m.callers) / seeds
			served[i] += float64(m.served) / float64(m.callers) / seeds
			score[i] = (1-servedWeight)*utility[i] + servedWeight*served[i]
			withinBudget[i] = withinBudget[i] && m.withinRetryBudget()
			if i == 0 {
				coldCrashes += m.coldCrashes
			}
		}
	}
	for i, name := range names {
		t.Logf("%-20s score %.3f utility %.3f served %.3f", name, score[i], utility[i], served[i])
		if i > 0 && withinBudget[i] && score[0] < score[i]-scoreTolerance {
			t.Errorf("score %.3f of the pool is less than %.3f of policy %q", score[0], score[i], name)
		}
	}
	if !withinBudget[0] {
		t.Errorf("the retries exceed the retry budget")
	}
	if coldCrashes > 0 {
		t.Errorf("cold upstreams crashed %d times from overload, expected none", coldCrashes)
	}
}

// scoreTolerance is a difference that callers do not notice: one request in 500.
const scoreTolerance = 0.002
