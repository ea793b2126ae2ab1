package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/claimer"
	"pimentorelay.example/pimento/confirmer"
)

const (
	// coreTick is the time between two steps of the decision machines.
	coreTick = 10 * time.Millisecond
	// inboxSize bounds the messages that wait for the core.
	inboxSize = 1024
	// reportAge is how long a report about an upstream is believed.
	reportAge = 3 * time.Second
	// helloAge is how long an unlisted process counts as alive after a sign.
	helloAge = time.Second
)

// view is what the path of a request reads of the decisions.
type view struct {
	plan      *pimento.Plan
	withdrawn pimento.Withdrawn
	until     time.Time
}

// sighting is a report with the time it came.
type sighting struct {
	report pimento.UpstreamReport
	at     time.Time
}

// core owns the decision machines. Only its own goroutine touches them.
type core struct {
	node     *Node
	inbox    chan func(*core)
	confirm  *confirmer.Machine
	claim    *claimer.Machine
	plans    *pimento.Plan
	hellos   map[pimento.ProcessID]time.Time
	leavings map[pimento.ProcessID]bool
	loads    map[pimento.SliceID]sliceRate
	listed   bool
	hadRight bool
	excluded chan struct{}
	exclude  func() // closes excluded
	gone     []departure
	watched  []pimento.UpstreamName
	dropped  map[pimento.ProcessID]bool // in this epoch

	current atomic.Pointer[view]
	reports atomic.Pointer[map[pimento.UpstreamName]sighting]
}

// sliceRate is a request rate with the time it was reported.
type sliceRate struct {
	rate float64 // requests a second
	at   time.Time
}

// departure is a process that ended without a handover.
type departure struct {
	domain pimento.DomainName
	at     time.Time
}

func newCore(n *Node) *core {
	c := &core{
		node:     n,
		inbox:    make(chan func(*core), inboxSize),
		confirm:  confirmer.New(n.self.ID, n.Timing),
		claim:    claimer.New(n.self.ID),
		plans:    &pimento.Plan{},
		hellos:   make(map[pimento.ProcessID]time.Time),
		leavings: make(map[pimento.ProcessID]bool),
		loads:    make(map[pimento.SliceID]sliceRate),
		excluded: make(chan struct{}),
		dropped:  make(map[pimento.ProcessID]bool),
	}
	c.exclude = sync.OnceFunc(func() { close(c.excluded) })
	c.current.Store(&view{plan: c.plans})
	c.reports.Store(&map[pimento.UpstreamName]sighting{})
	return c
}

// send lets the core run a function.
func (c *core) send(do func(*core)) { c.inbox <- do }

// query lets the core run a function and returns its result.
func query[T any](ctx context.Context, c *core, do func(*core) T) (T, error) {
	result := make(chan T, 1)
	var zero T
	select {
	case c.inbox <- func(c *core) { result <- do(c) }:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (c *core) run(ctx context.Context) error {
	ticker := time.NewTicker(coreTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-c.inbox:
			do(c)
		case <-ticker.C:
		}
		c.step(ctx)
	}
}

// step brings the machines up to now and carries out what they ask for.
func (c *core) step(ctx context.Context) {
	now := time.Now()
	c.confirm.Tick(now)
	c.confirm.Withdraw(c.node.dispatcher.Lost())
	c.publish()
	c.noteAuthority(now)
	c.dropWithdrawn()
	effects := c.claim.Step(now, c.confirm)
	c.mergeOwnRecords(now, effects)
	for _, e := range effects {
		c.carryOut(ctx, e)
	}
	c.watchUpstreams()
}

// publish shows the decisions to the path of requests.
func (c *core) publish() {
	c.current.Store(&view{plan: c.plans, withdrawn: c.confirm.Withdrawn(), until: c.confirm.AuthorityUntil()})
}

// dropWithdrawn closes the connections to processes that were withdrawn in
// this epoch, so that requests on their way there end at once.
func (c *core) dropWithdrawn() {
	for _, id := range c.confirm.Withdrawn().Processes {
		if !c.dropped[id] {
			c.dropped[id] = true
			c.node.events.Emit(pimento.EventProcessSuspected, "Process", id, "Epoch", c.plans.Epoch)
			go c.node.carrier.Forget(id)
		}
	}
}

// noteAuthority records when authority is gained or lost.
func (c *core) noteAuthority(now time.Time) {
	has := now.Before(c.confirm.AuthorityUntil())
	if has == c.hadRight {
		return
	}
	c.hadRight = has
	number := pimento.EventAuthorityLost
	if has {
		number = pimento.EventAuthorityGained
	}
	c.node.events.Emit(number, "Epoch", c.confirm.Epoch())
}

// mergeOwnRecords takes over the records of slices that were so far dispatched
// elsewhere and witnessed here. They get another witness.
func (c *core) mergeOwnRecords(now time.Time, effects []claimer.Effect) {
	var taken []pimento.SliceID
	for _, e := range effects {
		if e.Kind == claimer.EffectTakeSlice {
			taken = append(taken, e.Slice)
		}
	}
	if len(taken) == 0 {
		return
	}
	n := c.node
	n.book.Merge(now, n.witnessed.Select(now, inSlices(c.plans, taken)))
	go n.replaceWitness(n.self.ID)
}

func (c *core) carryOut(ctx context.Context, e claimer.Effect) {
	d := c.node.dispatcher
	switch e.Kind {
	case claimer.EffectTakeUpstream:
		if s, ok := c.plans.Config.Server(e.Upstream); ok {
			d.TakeUpstream(s, e.Fence)
		}
	case claimer.EffectStopUpstream:
		d.StopUpstream(e.Upstream)
	case claimer.EffectTakeSlice:
		if span, ok := spanOf(c.plans, e.Slice); ok {
			d.TakeSlice(e.Slice, span, e.Upstream)
		}
	case claimer.EffectStopSlice:
		d.StopSlice(e.Slice, e.Upstream)
	case claimer.EffectAsk:
		if peer, ok := c.plans.Process(e.To); ok {
			go c.node.askHandover(ctx, peer, e.Ask)
		}
	}
}

func spanOf(p *pimento.Plan, id pimento.SliceID) (pimento.Range, bool) {
	t, ok := p.Table(id.Service)
	if !ok || len(t.Slices) == 0 {
		return pimento.Range{}, false
	}
	i := t.Index(id.Start)
	return pimento.Range{Start: id.Start, End: t.End(i)}, t.Slices[i].Start == id.Start
}

// learn takes over a newer plan.
func (c *core) learn(plan pimento.Plan) {
	now := time.Now()
	old := c.plans
	if !c.confirm.Learn(now, plan) {
		return
	}
	c.plans = &plan
	c.claim.Learn(plan)
	c.publish()
	c.node.remember(plan.Processes)
	c.node.events.Emit(pimento.EventPlanLearned, "Epoch", plan.Epoch, "Writer", plan.Writer, "ConfigVersion", plan.ConfigVersion)
	clear(c.dropped)
	c.forgetHellos(&plan)
	c.noteDepartures(now, old, &plan)
	_, listed := plan.Process(c.node.self.ID)
	if c.listed && !listed {
		c.exclude()
	}
	c.listed = listed
}

// forgetHellos drops the signs of life of unlisted processes, so that one that
// was just excluded has to speak again before it is listed anew.
func (c *core) forgetHellos(plan *pimento.Plan) {
	for id := range c.hellos {
		if _, listed := plan.Process(id); !listed {
			delete(c.hellos, id)
			delete(c.leavings, id)
		}
	}
}

// watchUpstreams lets the dispatcher probe what this process is to dispatch,
// also while it still waits for the right: a takeover then finds out early
// that an upstream was lost with its dispatcher.
func (c *core) watchUpstreams() {
	names := c.claim.Wanted()
	for _, d := range c.plans.Upstreams {
		mine := len(d.Dispatchers) > 0 && d.Dispatchers[0] == c.node.self.ID
		if mine && !slices.Contains(names, d.Upstream) {
			names = append(names, d.Upstream) // lost, so no right to it is wanted
		}
	}
	if slices.Equal(names, c.watched) {
		return
	}
	c.watched = names
	var servers []pimento.Server
	for _, name := range names {
		if s, ok := c.plans.Config.Server(name); ok {
			servers = append(servers, s)
		}
	}
	c.node.dispatcher.Watch(servers)
}

// noteDepartures looks for processes that left without a handover. Where two
// failure domains lose processes at almost the same time, both copies of a
// record may be lost.
func (c *core) noteDepartures(now time.Time, old, plan *pimento.Plan) {
	for _, p := range old.Processes {
		if _, listed := plan.Process(p.ID); listed {
			continue
		}
		go c.node.carrier.Forget(p.ID)
		go c.node.replaceWitness(p.ID)
		if p.Leaving || c.leavings[p.ID] {
			continue
		}
		c.gone = append(c.gone, departure{domain: p.Domain, at: now})
	}
	c.gone = slices.DeleteFunc(c.gone, func(d departure) bool { return now.Sub(d.at) > repairTime })
	for _, d := range c.gone {
		if d.domain != c.gone[0].domain {
			c.node.loseRecords(now)
			return
		}
	}
}

// hear takes in a heartbeat.
func (c *core) hear(now time.Time, ask pimento.ConfirmAsk) {
	c.hellos[ask.From] = now
	c.leavings[ask.From] = ask.Leaving
	if len(ask.Reports) > 0 {
		c.believe(now, ask.Reports)
	}
	for _, l := range ask.Loads {
		c.loads[l.Slice] = sliceRate{rate: l.Rate, at: now}
	}
}

// believe replaces what is known of upstreams by newer reports.
func (c *core) believe(now time.Time, reports []pimento.UpstreamReport) {
	next := make(map[pimento.UpstreamName]sighting)
	for name, s := range *c.reports.Load() {
		if now.Sub(s.at) < reportAge {
			next[name] = s
		}
	}
	for _, r := range reports {
		next[r.Upstream] = sighting{report: r, at: now}
	}
	c.reports.Store(&next)
}

// authority returns the end of this process's authority.
func (c *core) authority() time.Time { return c.current.Load().until }

// plan returns the plan in force here.
func (c *core) plan() *pimento.Plan { return c.current.Load().plan }

// reached returns the limit that a run of an upstream was last reported with.
func (c *core) reached(name pimento.UpstreamName, boot string) (int, bool) {
	s, ok := (*c.reports.Load())[name]
	return s.report.Limit, ok && s.report.Boot == boot
}

// handedOver reports whether no right is left here, or nobody could take one.
func (c *core) handedOver() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	done, err := query(ctx, c, func(c *core) bool {
		p, listed := c.plans.Process(c.node.self.ID)
		alone := len(c.plans.Processes) <= 1
		return alone || !listed || p.Leaving && c.claim.Idle()
	})
	return err == nil && done
}
