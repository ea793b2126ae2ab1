// Package admitter issues and acquires permits. A permit allows one request to
// be sent to one upstream.
//
// Each pool of upstreams has one dispatcher, which counts exactly the requests
// that run and wait there. A process with a request asks the dispatcher in a
// short message and, with a permit, sends the request to the upstream itself,
// so that bodies take no extra hop and the crash of a dispatcher ends no
// running request. If a dispatcher does not answer, the next process in the
// pool's preference list is asked, and if none answers, the process decides
// locally. Processes other than the dispatcher allow fewer retries and fewer
// requests to cold upstreams, since it may still be active.
//
// # Usage
//
//	a := &admitter.Admitter{Self: process, Peers: messenger, Wire: wire}
//	go a.Run(ctx)
//	a.Update(snapshot)
//	permit, err := a.Acquire(ctx, request, attempt) // as a sender
//	a.HandleAcquire(link, call, acquire, reply)     // as a dispatcher
package admitter

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/avoider"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// tickInterval is the time between two ticks while requests wait.
	tickInterval = 10 * time.Millisecond
	// idleInterval is the time between two ticks while none waits.
	idleInterval = 250 * time.Millisecond
	// dispatcherSkipTime is how long a dispatcher that did not answer is skipped.
	dispatcherSkipTime = 400 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error)
	Send(ctx context.Context, to pimento.Process, m *messenger.Message) error
}

// Snapshot is the known state of upstreams, keys and dispatchers. It must not
// change after it was passed to Update.
type Snapshot struct {
	// Sequence orders the snapshots of one process: Update ignores a lower one than
	// that of the state in force.
	Sequence  uint64
	Services  []pimento.Service
	Upstreams []scheduler.Upstream
	Owners    map[pimento.ServiceName][]scheduler.Owner
	// OwnersVersion is the version of Owners; zero if none was received.
	OwnersVersion uint64
	Customers     *pimento.CustomerTable // nil: none
	Pools         []pimento.Pool
	Processes     map[pimento.ProcessID]pimento.Process
}

// Service returns the service with a name.
func (snap *Snapshot) Service(name pimento.ServiceName) (pimento.Service, bool) {
	for _, s := range snap.Services {
		if s.Name == name {
			return s, true
		}
	}
	return pimento.Service{}, false
}

// poolsOf returns the pools of a service in their order.
func (snap *Snapshot) poolsOf(name pimento.ServiceName) []pimento.Pool {
	var pools []pimento.Pool
	for _, p := range snap.Pools {
		if p.Service == name {
			pools = append(pools, p)
		}
	}
	return pools
}

// RetryBudget is the retry budget of each service, as operators set it.
type RetryBudget struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Admitter issues and acquires permits in one process. Set the exported fields
// before Run.
type Admitter struct {
	Self        pimento.Process
	Peers       Peers
	Wire        pimento.UpstreamWire
	RetryBudget RetryBudget // once running, change it with SetRetryBudget
	// OnLimit is called for each change of the limit of an upstream; it may be nil.
	OnLimit func(limiter.Change)
	// OnCrashFinding is called for each finding about a request that may crash
	// upstreams; it may be nil.
	OnCrashFinding func(quarantiner.Finding)
	// OnNotice is called for each change of what answers have said of requests to come;
	// it may be nil.
	OnNotice func(avoider.Change)
	// IsStale reports whether the upstreams known here are so old that nothing may be sent
	// by them; nil: never.
	IsStale func() bool
	// UpstreamsAge returns how old the upstreams known here are, for the log; nil: it is not
	// known.
	UpstreamsAge func() time.Duration
	// LeavingBound is the time within which a leaving upstream must get no new work.
	LeavingBound time.Duration // once running, change it with SetLeavingBound

	mu         sync.Mutex
	quarantine *quarantiner.Machine
	findings   []quarantiner.Finding         // since the last tick
	probes     map[quarantiner.Run]time.Time // when runs were last probed
	state      *Snapshot
	pools      map[poolKey]*pool
	skipUntil  map[pimento.ProcessID]time.Time // dispatchers that did not answer
	clients    map[runKey]*runClient
	wake       chan struct{}
	lastTicket uint64
	limits     limiter.Book
	avoided    avoider.Book
	gone       map[quarantiner.Run]goneRun
	warm       warm
	account    allocator.Account // of the quotas of customers
	parked     []parked
	once       sync.Once
}

// poolKey identifies a pool.
type poolKey struct {
	service pimento.ServiceName
	index   int
}

// pool is a pool for which this process issues permits.
type pool struct {
	key     poolKey
	machine *scheduler.Pool
	waiting map[uint64]*waiter         // by ticket
	links   map[uint64]*messenger.Link // by ticket, of peers' requests with a permit
	issued  map[uint64]issuedPermit    // by ticket
	loads   map[pimento.Key]int        // requests per key since the last report
}

// issuedPermit is a permit that is in use.
type issuedPermit struct {
	run         quarantiner.Run
	fingerprint quarantiner.Fingerprint
	at          time.Time
	deadline    time.Time
}

// waiter is a request that waits for a decision.
type waiter struct {
	fingerprint quarantiner.Fingerprint
	deadline    time.Time
	charged     bool              // an earlier permit counts for the quota of its customer
	customer    *pimento.Customer // of whose quota it has a credit; nil: none
	link        *messenger.Link   // nil: a request of this process
	call        uint64
	answer      func(scheduler.Decision)
}

func (a *Admitter) init() {
	a.once.Do(func() {
		a.pools = make(map[poolKey]*pool)
		a.skipUntil = make(map[pimento.ProcessID]time.Time)
		a.clients = make(map[runKey]*runClient)
		a.wake = make(chan struct{}, 1)
		a.state = &Snapshot{}
		a.gone = make(map[quarantiner.Run]goneRun)
		a.warm = make(warm)
		a.quarantine = quarantiner.New()
		a.probes = make(map[quarantiner.Run]time.Time)
		a.avoided.LeavingDelay = leavingDelay(a.LeavingBound)
	})
}

// Update replaces the known state.
func (a *Admitter) Update(next *Snapshot) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	if next.Sequence < a.state.Sequence {
		a.mu.Unlock()
		return
	}
	before := a.state.Upstreams
	a.state = next
	a.observeRuns(now)
	a.observeGone(now, before)
	notices := a.avoided.Retain(timekeeper.Now(), next.runs())
	var callbacks []func()
	for key, p := range a.pools {
		callbacks = append(callbacks, a.applyDecisions(now, p, a.updatePool(key, p))...)
		callbacks = append(callbacks, a.applyDecisions(now, p, p.machine.Tick(now))...)
	}
	a.closeIdleClients(now)
	a.limits.Retain(now, a.isKnown)
	a.mu.Unlock()
	runAll(callbacks)
	a.reportNotices(notices)
}

// isKnown reports whether an upstream is registered. The caller holds mu.
func (a *Admitter) isKnown(name pimento.UpstreamName) bool {
	return slices.ContainsFunc(a.state.Upstreams, func(u scheduler.Upstream) bool { return u.Name == name })
}

// SetRetryBudget replaces the retry budget of a running Admitter.
func (a *Admitter) SetRetryBudget(b RetryBudget) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.RetryBudget = b
	for key, p := range a.pools {
		p.machine.SetConfig(a.poolConfig(key))
	}
}

// updatePool passes the known state to the scheduler of a pool and returns the
// decisions that follow. The caller holds mu.
func (a *Admitter) updatePool(key poolKey, p *pool) []scheduler.Decision {
	count := len(a.state.poolsOf(key.service))
	var list []scheduler.Upstream
	for _, u := range a.state.Upstreams {
		if u.Service == key.service && pimento.PoolOf(u.Name, count) == key.index {
			u.Usable = u.Usable && !a.isLeftBy(u)
			list = append(list, u)
		}
	}
	p.machine.SetConfig(a.poolConfig(key))
	p.machine.SetUpstreams(list)
	p.machine.SetOwners(a.state.Owners[key.service])
	now := time.Now()
	return p.machine.SetLimits(now, a.limits.InForce(now))
}

// poolConfig returns the scheduler configuration of a pool. The caller holds mu.
func (a *Admitter) poolConfig(key poolKey) scheduler.Config {
	s, _ := a.state.Service(key.service)
	count := max(1, len(a.state.poolsOf(key.service)))
	return scheduler.Config{
		Keyed:      s.Sharing == pimento.SharingKeyed,
		RetryRatio: a.RetryBudget.RetryRatio, RetrySlack: a.RetryBudget.RetrySlack / float64(count), RetryWindow: a.RetryBudget.RetryWindow,
		ColdRate: s.ColdRate, Share: a.share(key), Phase: a.phase(),
	}
}

// share returns the part of what all processes together may send to a pool that this
// process may use. The caller holds mu.
func (a *Admitter) share(key poolKey) float64 {
	var list []pimento.ProcessID
	for _, p := range a.state.Pools {
		if p.Service == key.service && p.Index == key.index {
			list = p.PreferenceList
		}
	}
	rank := slices.Index(list, a.Self.ID)
	if rank < 0 {
		rank = len(list)
	}
	return scheduler.Share(rank, len(list), len(a.state.Processes))
}

// phase returns a number from 0 to 1 that differs between processes.
func (a *Admitter) phase() float64 {
	return float64(xxhash.Sum64String(string(a.Self.ID))) / math.MaxUint64
}

// pool returns a pool, which it creates if necessary. The caller holds mu.
func (a *Admitter) pool(key poolKey) *pool {
	p, ok := a.pools[key]
	if !ok {
		p = &pool{
			key: key, machine: scheduler.New(a.poolConfig(key)), waiting: make(map[uint64]*waiter),
			links: make(map[uint64]*messenger.Link), loads: make(map[pimento.Key]int), issued: make(map[uint64]issuedPermit),
		}
		a.pools[key] = p
		a.updatePool(key, p) // nothing waits in it
	}
	return p
}

// submit submits a request to the scheduler of a pool. It returns the ticket
// and the callbacks that deliver decisions, to be run without mu.
func (a *Admitter) submit(key poolKey, t scheduler.Ticket, w *waiter) (uint64, []func()) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(key)
	a.lastTicket++
	t.ID = a.lastTicket
	w.deadline = t.Deadline
	if c := a.customer(t.Customer); c != nil {
		t.Quota = c.Rate
	}
	if wait := a.refusedFor(now, key, w.fingerprint); wait > 0 {
		return t.ID, []func(){func() { w.answer(scheduler.Decision{Ticket: t.ID, Refusal: quarantineRefusal(wait)}) }}
	}
	p.waiting[t.ID] = w
	p.loads[t.Key]++
	if offer, callbacks := a.charge(now, key, t, w); !offer {
		a.wakeRun()
		return t.ID, callbacks
	}
	callbacks := a.applyDecisions(now, p, p.machine.Offer(now, t))
	if p.machine.Waiting() > 0 {
		a.wakeRun()
	}
	return t.ID, callbacks
}

// applyDecisions ends the wait of the tickets decided on and returns the
// callbacks that deliver the decisions. A request that has come to be refused while it
// waited gets no permit. The caller holds mu, and runs the callbacks without it.
func (a *Admitter) applyDecisions(now time.Time, p *pool, decisions []scheduler.Decision) []func() {
	var callbacks []func()
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		w, ok := p.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(p.waiting, d.Ticket)
		if wait := a.refusedFor(now, p.key, w.fingerprint); wait > 0 && d.Refusal == nil {
			decisions = append(decisions, p.machine.Cancel(now, d.Ticket)...)
			d = scheduler.Decision{Ticket: d.Ticket, Refusal: quarantineRefusal(wait)}
		}
		if d.Refusal != nil {
			a.refund(w)
		}
		if d.Refusal == nil {
			p.issued[d.Ticket] = issuedPermit{run: a.runOf(d.Upstream), fingerprint: w.fingerprint, at: now, deadline: w.deadline}
		}
		if d.Refusal == nil && w.link != nil {
			p.links[d.Ticket] = w.link
		}
		callbacks = append(callbacks, func() { w.answer(d) })
	}
	return callbacks
}

func runAll(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}

// releasePermit ends a permit with the result of its request.
func (a *Admitter) releasePermit(key poolKey, ticket uint64, r scheduler.Result) {
	a.init()
	a.mu.Lock()
	var callbacks []func()
	if p, ok := a.pools[key]; ok {
		now := time.Now()
		if issued, ok := p.issued[ticket]; ok {
			a.recordResult(now, issued, r)
		}
		delete(p.issued, ticket)
		delete(p.links, ticket)
		callbacks = a.applyDecisions(now, p, p.machine.Done(now, ticket, r))
	}
	a.mu.Unlock()
	runAll(callbacks)
}

// cancel removes a request that waits, or ends its permit without a result.
func (a *Admitter) cancel(key poolKey, ticket uint64) {
	now := time.Now()
	a.mu.Lock()
	var callbacks []func()
	if p, ok := a.pools[key]; ok {
		if w, waits := p.waiting[ticket]; waits {
			a.refund(w)
		}
		delete(p.waiting, ticket)
		delete(p.issued, ticket)
		callbacks = a.applyDecisions(now, p, p.machine.Cancel(now, ticket))
	}
	a.mu.Unlock()
	runAll(callbacks)
}

func (a *Admitter) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run ticks the pools until ctx ends, so that waiting requests are admitted or
// refused in time.
func (a *Admitter) Run(ctx context.Context) error {
	a.init()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		case <-timer.C:
		}
		waiting := a.tick()
		if waiting {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

// tick ticks the scheduler of every pool and reports whether a request waits.
func (a *Admitter) tick() bool {
	now := time.Now()
	a.mu.Lock()
	changes, callbacks := a.applyLimits(now)
	callbacks = append(callbacks, a.admitParked(now)...)
	notices := a.avoided.Tick(timekeeper.Now())
	for _, p := range a.pools {
		a.endLostPermits(now, p)
		callbacks = append(callbacks, a.applyDecisions(now, p, p.machine.Tick(now))...)
	}
	a.observeRuns(now)
	suspected := a.runsToProbe(now)
	waiting := len(a.parked) > 0
	for _, p := range a.pools {
		waiting = waiting || p.machine.Waiting() > 0
	}
	findings := a.findings
	a.findings = nil
	a.mu.Unlock()
	runAll(callbacks)
	a.reportLimits(changes)
	a.reportFindings(findings)
	a.probeRuns(suspected)
	a.reportNotices(notices)
	return waiting
}

// Waiting returns how many requests wait here for a permit.
func (a *Admitter) Waiting() int {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.parked)
	for _, p := range a.pools {
		n += p.machine.Waiting()
	}
	return n
}
