package dispatcher

import (
	"context"
	"errors"
	"math"
	"slices"
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

// doubt is a request whose end at the upstream was not seen.
type doubt struct {
	hash  uint64
	until time.Time
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

// errRestarted is the cause where a new connection reached another run of the
// upstream than the one that was known.
var errRestarted = errors.New("the upstream has restarted")

// verify accepts a new connection if it reaches the known run.
func (l *lane) verify(a pimento.GrantAnswer) error {
	l.mu.Lock()
	same := l.boot == "" || l.boot == a.Boot
	l.mu.Unlock()
	if same {
		return nil
	}
	if l.heard(time.Now(), a) {
		l.nudge()
	}
	return errRestarted
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

// draining reports whether anything is being given back. The caller holds mu.
func (l *lane) draining() bool {
	for _, h := range l.holds {
		if !h.open {
			return true
		}
	}
	return l.stopping
}

// contact speaks to the upstream once: a grant if one is due, else a probe.
func (l *lane) contact(ctx context.Context) {
	grant, due := l.nextGrant(time.Now())
	var answer pimento.GrantAnswer
	var err error
	if due {
		answer, err = l.client.Grant(ctx, grant)
	} else {
		answer, err = l.client.Health(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.silent(time.Now())
		return
	}
	if restarted := l.heard(time.Now(), answer); restarted {
		l.nudge()
	} else if due && answer.Accepted {
		l.confirmGrant()
	} else if !due {
		l.nudgeIfWaiting()
	}
}

// nextGrant returns the grant that is due. No grant outlasts this process's
// authority, and none is sent while the upstream is silent, so that the last
// one ends soon.
func (l *lane) nextGrant(now time.Time) (pimento.Grant, bool) {
	until := l.d.Authority()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.failures > 0 || l.lost || l.clockAt.IsZero() || !now.Before(until) {
		return pimento.Grant{}, false
	}
	l.sequence++
	g := pimento.Grant{Fence: l.fence, Sequence: l.sequence, ValidUntil: l.clock + until.Sub(l.clockAt)}
	l.covered = l.covered[:0]
	for id, h := range l.holds {
		if h.open || h.inFlight > 0 {
			g.Ranges = append(g.Ranges, h.span)
			l.covered = append(l.covered, id)
			h.grantEnds = until
		}
	}
	if l.server.Service != "" && l.d.unkeyed(l.server.Service) && !l.stopping {
		g.Ranges = []pimento.Range{{Start: 0, End: math.MaxUint64}}
	}
	if len(g.Ranges) > 0 {
		l.grantEnds = until
	}
	return g, true
}

// heard takes in a sign of life and reports whether the upstream restarted.
func (l *lane) heard(now time.Time, a pimento.GrantAnswer) bool {
	l.mu.Lock()
	restarted := l.boot != "" && l.boot != a.Boot
	if l.boot == "" {
		if limit, ok := l.d.Reached(l.server.Name, a.Boot); ok {
			l.limit.Warm(limit)
		}
	}
	if restarted {
		l.limit.Cold()
		l.doubts = nil
		for j := range l.jobs { // their connections ended with the earlier run
			j.cancel()
		}
	}
	l.boot, l.clock, l.clockAt = a.Boot, a.Clock, now
	l.heardAt, l.failures = now, 0
	back := l.lost && l.lostEpoch < l.d.Epoch()
	if back {
		l.lost = false
	}
	l.mu.Unlock()
	if restarted {
		l.d.Events.Emit(pimento.EventUpstreamRestart, "Upstream", l.server.Name, "Boot", a.Boot)
	}
	if back {
		l.d.Events.Emit(pimento.EventUpstreamBack, "Upstream", l.server.Name)
	}
	return restarted
}

// confirmGrant notes which holds the accepted grant covers.
func (l *lane) confirmGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = len(l.covered) == 0
	missing := false
	for id, h := range l.holds {
		h.granted = slices.Contains(l.covered, id)
		if h.granted && !h.isReady {
			h.isReady = true
			close(h.ready)
		}
		missing = missing || !h.granted && h.open
	}
	if missing {
		l.nudge()
	}
}

// nudgeIfWaiting asks for a grant right after the first probe of an upstream.
func (l *lane) nudgeIfWaiting() {
	now, until := time.Now(), l.d.Authority()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		if h.open && !h.isReady && l.held && !l.lost && now.Before(until) {
			l.nudge()
			return
		}
	}
}

// silent takes in a missing answer.
func (l *lane) silent(now time.Time) {
	l.mu.Lock()
	l.failures++
	gone := now.Sub(l.heardAt) > lostAfter || l.failures >= lostRefusals
	newly := gone && !l.lost
	if newly {
		l.lost = true
		l.lostEpoch = l.d.Epoch()
	}
	if gone {
		l.limit.Cold()
	}
	l.mu.Unlock()
	if newly {
		l.d.Events.Emit(pimento.EventUpstreamLost, "Upstream", l.server.Name)
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

// finishDrains reports what is given back whole.
func (l *lane) finishDrains(ctx context.Context) {
	now := time.Now()
	l.cancelWithoutAuthority(now)
	l.clearDoubts(ctx, now)
	for _, id := range l.drainedSlices(now) {
		l.d.Events.Emit(pimento.EventSliceDrained, "Slice", id, "Upstream", l.server.Name)
		l.d.OnSliceDrained(id)
	}
	l.mu.Lock()
	done := l.stopping && l.held && len(l.holds) == 0 && l.limit.Running() == 0 && (l.empty || !now.Before(l.grantEnds))
	if done {
		l.held, l.stopping = false, false
	}
	l.mu.Unlock()
	if done {
		l.d.Events.Emit(pimento.EventUpstreamDrained, "Upstream", l.server.Name)
		l.d.OnUpstreamDrained(l.server.Name)
	}
}

// cancelWithoutAuthority ends requests that this process may no longer speak
// for. It does so only for slices that are given back.
func (l *lane) cancelWithoutAuthority(now time.Time) {
	if now.Before(l.d.Authority()) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		if !h.open {
			h.cancel()
		}
	}
}

// clearDoubts asks the upstream about requests whose end was not seen.
func (l *lane) clearDoubts(ctx context.Context, now time.Time) {
	l.mu.Lock()
	l.doubts = slices.DeleteFunc(l.doubts, func(x doubt) bool { return !now.Before(x.until) })
	ask := len(l.doubts) > 0 && l.draining() && !l.lost
	known := len(l.doubts)
	l.mu.Unlock()
	if !ask {
		return
	}
	left, err := l.client.Drain(ctx, []pimento.Range{{Start: 0, End: math.MaxUint64}})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if left == 0 && l.limit.Running() == 0 {
		l.doubts = slices.Delete(l.doubts, 0, min(known, len(l.doubts)))
	}
}

// drainedSlices removes and returns the slices that are used no more.
func (l *lane) drainedSlices(now time.Time) []pimento.SliceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pimento.SliceID
	for id, h := range l.holds {
		if !h.open && h.inFlight == 0 && l.given(h, now) {
			h.cancel()
			delete(l.holds, id)
			out = append(out, id)
		}
	}
	return out
}

// given reports whether the upstream can no longer act on a slice by this
// process's orders. The caller holds mu.
func (l *lane) given(h *hold, now time.Time) bool {
	if l.d.checked(l.server.Service) {
		return h.grantEnds.IsZero() || !h.granted || !now.Before(h.grantEnds)
	}
	return !slices.ContainsFunc(l.doubts, func(x doubt) bool { return h.span.Start <= x.hash && x.hash <= h.span.End })
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
