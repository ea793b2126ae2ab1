// Package admitter gives and gets permits: the leave to send one request to
// one upstream.
//
// Each pool of upstreams has one dispatcher, which counts exactly what runs
// and waits there. A process that has a request asks the dispatcher by a short
// message and, with a permit, sends the request to the upstream by itself, so
// that bodies make no detour and a dispatcher that dies takes no running
// request along. Where a dispatcher does not answer, the next in the pool's
// line is asked, and at last the process decides by itself; those that stand
// in take less, since the first may still act.
//
// # Usage
//
//	a := &admitter.Admitter{Self: process, Peers: messenger, Wire: wire}
//	go a.Run(ctx)
//	a.Learn(board)
//	permit, err := a.Acquire(ctx, request, try)   // as a sender
//	a.HandleAcquire(link, acquire, reply)         // as a dispatcher
package admitter

import (
	"context"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

const (
	// tickPause is the time between two looks at requests that wait.
	tickPause = 10 * time.Millisecond
	// idlePause is the same where none waits.
	idlePause = 250 * time.Millisecond
	// downPause is how long a dispatcher that did not answer is passed over.
	downPause = 400 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error)
	Send(ctx context.Context, to pimento.Process, m *messenger.Message) error
}

// Board is what is known of upstreams, keys and dispatchers. It does not
// change once given to Learn.
type Board struct {
	Services  []pimento.Service
	Upstreams []scheduler.Upstream
	Owners    map[pimento.ServiceName][]scheduler.Owner
	// OwnersVersion is that of Owners; zero where this process is told none.
	OwnersVersion uint64
	Pools         []pimento.Pool
	Processes     map[pimento.ProcessID]pimento.Process
}

// Service returns the service called name.
func (b *Board) Service(name pimento.ServiceName) (pimento.Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return pimento.Service{}, false
}

// poolsOf returns the pools of a service in their order.
func (b *Board) poolsOf(name pimento.ServiceName) []pimento.Pool {
	var out []pimento.Pool
	for _, p := range b.Pools {
		if p.Service == name {
			out = append(out, p)
		}
	}
	return out
}

// Bounds are the rates that operators demand.
type Bounds struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Admitter is the permits of one process. Set the exported fields before Run.
type Admitter struct {
	Self   pimento.Process
	Peers  Peers
	Wire   pimento.UpstreamWire
	Bounds Bounds // see SetBounds

	mu     sync.Mutex
	crash  *quarantiner.Machine
	board  *Board
	pools  map[poolKey]*pool
	down   map[pimento.ProcessID]time.Time // passed over until then
	runs   map[runKey]*run
	wake   chan struct{}
	ticket uint64
	once   sync.Once
}

// poolKey names a pool.
type poolKey struct {
	service pimento.ServiceName
	index   int
}

// pool is a pool that this process dispatches, or stands in for.
type pool struct {
	key     poolKey
	machine *scheduler.Pool
	waiting map[uint64]*waiter
	links   map[uint64]*messenger.Link // of the requests with a permit
	issued  map[uint64]issue
	loads   map[pimento.Key]int // requests for keys since the last report
}

// issue is a permit that was given.
type issue struct {
	upstream pimento.UpstreamName
	print    quarantiner.Print
	at       time.Time
}

// waiter is a request that waits for a decision.
type waiter struct {
	print  quarantiner.Print
	link   *messenger.Link // nil: of this process
	call   uint64
	answer func(scheduler.Decision)
}

func (a *Admitter) init() {
	a.once.Do(func() {
		a.pools = make(map[poolKey]*pool)
		a.down = make(map[pimento.ProcessID]time.Time)
		a.runs = make(map[runKey]*run)
		a.wake = make(chan struct{}, 1)
		a.board = &Board{}
		a.crash = quarantiner.New()
	})
}

// Learn takes over what is known now.
func (a *Admitter) Learn(b *Board) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	a.noteRestarts(now, b)
	a.board = b
	var decided []func()
	for key, p := range a.pools {
		a.inform(key, p)
		decided = append(decided, p.decide(p.machine.Tick(now))...)
	}
	a.forgetRuns(now)
	a.mu.Unlock()
	runAll(decided)
}

// SetBounds replaces the bounds of a running Admitter.
func (a *Admitter) SetBounds(b Bounds) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Bounds = b
	for key, p := range a.pools {
		p.machine.SetConfig(a.config(key))
	}
}

// inform tells a pool what the board says of it. The caller holds mu.
func (a *Admitter) inform(key poolKey, p *pool) {
	count := len(a.board.poolsOf(key.service))
	var list []scheduler.Upstream
	for _, u := range a.board.Upstreams {
		if u.Service == key.service && pimento.PoolOf(u.Name, count) == key.index {
			list = append(list, u)
		}
	}
	p.machine.SetConfig(a.config(key))
	p.machine.SetRank(a.rank(key))
	p.machine.SetUpstreams(list)
	p.machine.SetOwners(a.board.Owners[key.service])
}

// config returns what operators say of a pool. The caller holds mu.
func (a *Admitter) config(key poolKey) scheduler.Config {
	s, _ := a.board.Service(key.service)
	count := max(1, len(a.board.poolsOf(key.service)))
	return scheduler.Config{
		Keyed:      s.Sharing == pimento.SharingKeyed,
		RetryRatio: a.Bounds.RetryRatio, RetrySlack: a.Bounds.RetrySlack / float64(count), RetryWindow: a.Bounds.RetryWindow,
		ColdRate: s.ColdRate,
	}
}

// rank returns this process's place in the line of a pool. The caller holds mu.
func (a *Admitter) rank(key poolKey) int {
	for _, p := range a.board.Pools {
		if p.Service != key.service || p.Index != key.index {
			continue
		}
		for i, id := range p.Line {
			if id == a.Self.ID {
				return i
			}
		}
		return len(p.Line)
	}
	return unknownRank
}

// unknownRank is the place of a process that knows no line.
const unknownRank = 3

// pool returns a pool, and makes it if there is none. The caller holds mu.
func (a *Admitter) pool(key poolKey) *pool {
	p, ok := a.pools[key]
	if !ok {
		p = &pool{
			key: key, machine: scheduler.New(a.config(key)), waiting: make(map[uint64]*waiter),
			links: make(map[uint64]*messenger.Link), loads: make(map[pimento.Key]int), issued: make(map[uint64]issue),
		}
		a.pools[key] = p
		a.inform(key, p)
	}
	return p
}

// offer lets a pool decide about a request. The decisions that follow are to
// be run without the lock.
func (a *Admitter) offer(key poolKey, t scheduler.Ticket, w *waiter) (uint64, []func()) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(key)
	a.ticket++
	t.ID = a.ticket
	if wait := a.crash.Wait(now, w.print); wait > 0 {
		return t.ID, []func(){func() { w.answer(scheduler.Decision{Ticket: t.ID, Refusal: quarantined(wait)}) }}
	}
	p.waiting[t.ID] = w
	p.loads[t.Key]++
	out := p.decide(p.machine.Offer(now, t))
	if p.machine.Waiting() > 0 {
		a.nudge()
	}
	return t.ID, out
}

// decide turns decisions into answers to those who wait. The caller holds the
// admitter's mu; the functions are to be run without it.
func (p *pool) decide(list []scheduler.Decision) []func() {
	var out []func()
	for _, d := range list {
		w, ok := p.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(p.waiting, d.Ticket)
		if d.Refusal == nil {
			p.issued[d.Ticket] = issue{upstream: d.Upstream, print: w.print, at: time.Now()}
		}
		if d.Refusal == nil && w.link != nil {
			p.links[d.Ticket] = w.link
		}
		out = append(out, func() { w.answer(d) })
	}
	return out
}

func runAll(list []func()) {
	for _, do := range list {
		do()
	}
}

// done takes the end of a request with a permit.
func (a *Admitter) done(key poolKey, ticket uint64, r scheduler.Result) {
	a.init()
	a.mu.Lock()
	var out []func()
	if p, ok := a.pools[key]; ok {
		now := time.Now()
		a.noteEnd(now, p.issued[ticket], r.Kind)
		delete(p.issued, ticket)
		delete(p.links, ticket)
		out = p.decide(p.machine.Done(now, ticket, r))
	}
	a.mu.Unlock()
	runAll(out)
}

// cancel forgets a request that waits no more.
func (a *Admitter) cancel(key poolKey, ticket uint64) {
	a.mu.Lock()
	var out []func()
	if p, ok := a.pools[key]; ok {
		delete(p.waiting, ticket)
		delete(p.issued, ticket)
		out = p.decide(p.machine.Cancel(time.Now(), ticket))
	}
	a.mu.Unlock()
	runAll(out)
}

func (a *Admitter) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run lets requests that wait go on until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	a.init()
	timer := time.NewTimer(idlePause)
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
			timer.Reset(tickPause)
		} else {
			timer.Reset(idlePause)
		}
	}
}

// tick lets the pools look at what waits, and reports whether any does.
func (a *Admitter) tick() bool {
	now := time.Now()
	a.mu.Lock()
	var out []func()
	for _, p := range a.pools {
		out = append(out, p.decide(p.machine.Tick(now))...)
	}
	waiting := false
	for _, p := range a.pools {
		waiting = waiting || p.machine.Waiting() > 0
	}
	a.mu.Unlock()
	runAll(out)
	return waiting
}

// Waiting returns how many requests wait here for a permit.
func (a *Admitter) Waiting() int {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		n += p.machine.Waiting()
	}
	return n
}
