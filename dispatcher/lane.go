package dispatcher

import (
	"context"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
)

const (
	// renewInterval is the time between two grants to an upstream.
	renewInterval = 80 * time.Millisecond
	// retryInterval is the time between two tries when an upstream is silent
	// or a drain is to be finished.
	retryInterval = 20 * time.Millisecond
	// lostInterval is the time between two probes of a lost upstream.
	lostInterval = 150 * time.Millisecond
	// lostAfter is how long an upstream may be silent before it is lost.
	lostAfter = 200 * time.Millisecond
	// lostRefusals is how many tries in a row may fail before an upstream is
	// lost.
	lostRefusals = 3
)

// hold is a slice that this process dispatches, or still drains.
type hold struct {
	id        pimento.SliceID
	span      pimento.Range
	open      bool
	ready     chan struct{} // closed when a grant covers the slice
	isReady   bool
	stopped   chan struct{} // closed when no more requests are admitted
	ctx       context.Context
	cancel    context.CancelFunc
	inFlight  int
	granted   bool      // the latest accepted grant covers the slice
	grantEnds time.Time // when the last grant that covers it has ended
	rate      meter
}

// lane is everything about one upstream.
type lane struct {
	d      *Dispatcher
	server pimento.Server
	client pimento.Upstream
	wake   chan struct{}
	cancel context.CancelFunc

	mu        sync.Mutex
	held      bool // this process has the right to speak to the upstream
	watched   bool // this process is to get the right, or would get it
	stopping  bool
	fence     uint64
	sequence  uint64
	covered   []pimento.SliceID // by the grant sent last
	grantEnds time.Time
	empty     bool // the latest accepted grant covers nothing
	holds     map[pimento.SliceID]*hold
	limit     *limiter.Machine
	waiters   map[uint64]chan struct{}
	jobs      map[*job]bool // that were admitted
	nextID    uint64
	boot      string
	clock     time.Duration // the upstream's clock at clockAt, or earlier
	clockAt   time.Time
	heardAt   time.Time
	failures  int
	lost      bool
	lostEpoch uint64
	doubts    []doubt
	rate      meter
}

func newLane(d *Dispatcher, server pimento.Server) *lane {
	l := &lane{
		d: d, server: server,
		wake:    make(chan struct{}, 1),
		holds:   make(map[pimento.SliceID]*hold),
		waiters: make(map[uint64]chan struct{}),
		jobs:    make(map[*job]bool),
		limit:   limiter.New(server.Slots),
		heardAt: time.Now(),
	}
	l.client = d.Connect(server, l.verify)
	return l
}

func (l *lane) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run renews the grant, probes, and finishes drains, until ctx ends.
func (l *lane) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		l.contact(ctx)
		l.finishDrains(ctx)
		timer.Reset(l.pause())
	}
}

func (l *lane) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.draining() || l.failures > 0 && !l.lost:
		return retryInterval
	case l.lost:
		return lostInterval
	default:
		return renewInterval
	}
}

// take gives this process the right to speak to the upstream.
func (l *lane) take(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.stopping = true, false
	l.fence, l.sequence = fence, 0
	l.nudge()
}

// stop ends the right; the lane reports when it is used no more.
func (l *lane) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.nudge()
}

// open lets requests of a slice in.
func (l *lane) open(id pimento.SliceID, span pimento.Range) {
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds[id] = &hold{
		id: id, span: span, open: true,
		ready: make(chan struct{}), stopped: make(chan struct{}), ctx: ctx, cancel: cancel,
	}
	l.nudge()
}

// closeSlice lets no more requests of a slice in, and reports whether the lane
// had it.
func (l *lane) closeSlice(id pimento.SliceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holds[id]
	if ok && h.open {
		h.open = false
		close(h.stopped)
	}
	l.nudge()
	return ok
}

// report describes the upstream to the other processes.
func (l *lane) report(now time.Time) pimento.UpstreamReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := pimento.UpstreamReport{
		Upstream: l.server.Name, Condition: pimento.ConditionReady, Rate: l.rate.value(now),
		Limit: l.limit.Limit(), InFlight: l.limit.Running(), Queued: l.limit.Queued(), Boot: l.boot,
	}
	if l.limit.IsCold() {
		r.Condition = pimento.ConditionCold
	}
	if l.lost || l.boot == "" {
		r.Condition = pimento.ConditionLost
	}
	return r
}

// loads returns the request rates of the open slices.
func (l *lane) loads(now time.Time) []pimento.SliceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pimento.SliceLoad
	for id, h := range l.holds {
		if rate := h.rate.value(now); h.open && rate > minRate {
			out = append(out, pimento.SliceLoad{Slice: id, Rate: rate})
		}
	}
	return out
}
