// Package dispatcher speaks to the upstreams that this process has taken up.
//
// Each upstream has a lane: its concurrency limit and queue, its grant and
// probes, the slices that it owns, and the requests that run there. Only
// package claimer opens and closes lanes and slices; the dispatcher reports
// when what was closed is drained. A request is admitted only while its slice
// is open and this process has authority, and the two are looked at together
// with the count of running requests, so that no drain can miss one.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Self: id, Authority: ..., Connect: ...}
//	go d.Run(ctx)
//	d.TakeUpstream(server, fence)
//	d.TakeSlice(id, span, name)
//	answer, err := d.Serve(ctx, from, head, witness, body)
//
// An error of Serve is an *pimento.OutcomeError.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/recorder"
)

// Connect returns the client of an upstream. The client calls verify with what
// the upstream says of itself on each new connection for requests.
type Connect func(server pimento.Server, verify func(pimento.GrantAnswer) error) pimento.Upstream

// Dispatcher is the lanes of one process. Set the exported fields before Run.
type Dispatcher struct {
	Self   pimento.ProcessID
	Events *recorder.Recorder
	Book   *deduper.Book

	// Authority returns the end of this process's authority.
	Authority func() time.Time
	// Plan returns the plan in force here.
	Plan    func() *pimento.Plan
	Connect Connect
	// Witness lets a process in another failure domain keep a record, where
	// there is one, and returns which. A record without a state is to be
	// forgotten.
	Witness func(ctx context.Context, r pimento.Record) (pimento.ProcessID, error)
	// Reached returns the limit that another dispatcher reported for a run of
	// an upstream.
	Reached func(name pimento.UpstreamName, boot string) (int, bool)
	// OnSliceDrained and OnUpstreamDrained report what is given back whole.
	OnSliceDrained    func(pimento.SliceID)
	OnUpstreamDrained func(pimento.UpstreamName)

	mu       sync.Mutex
	ctx      context.Context
	lanes    map[pimento.UpstreamName]*lane
	running  sync.WaitGroup
	noRecord time.Time // until then a request's record may be lost
}

// Run keeps the lanes until ctx ends and all have stopped.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	for _, l := range d.lanes {
		d.start(l)
	}
	d.mu.Unlock()
	<-ctx.Done()
	d.running.Wait()
	return ctx.Err()
}

// start runs a lane. The caller holds mu.
func (d *Dispatcher) start(l *lane) {
	ctx, cancel := context.WithCancel(d.ctx)
	l.cancel = cancel
	d.running.Go(func() { l.run(ctx) })
}

// Epoch returns the epoch of the plan in force here.
func (d *Dispatcher) Epoch() uint64 { return d.Plan().Epoch }

func (d *Dispatcher) service(name pimento.ServiceName) pimento.Service {
	s, _ := d.Plan().Config.Service(name)
	return s
}

func (d *Dispatcher) unkeyed(name pimento.ServiceName) bool {
	return d.service(name).Sharing == pimento.SharingUnkeyed
}

func (d *Dispatcher) checked(name pimento.ServiceName) bool {
	return d.service(name).Fencing == pimento.FencingChecked
}

// lane returns the lane of an upstream, or nil.
func (d *Dispatcher) lane(name pimento.UpstreamName) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lanes[name]
}

// Watch makes lanes for the named upstreams, so that they are probed, and ends
// the lanes of all others that are not held.
func (d *Dispatcher) Watch(servers []pimento.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[pimento.UpstreamName]bool, len(servers))
	for _, s := range servers {
		keep[s.Name] = true
		d.ensure(s)
	}
	for name, l := range d.lanes {
		l.mu.Lock()
		l.watched = keep[name]
		l.mu.Unlock()
	}
	for name, l := range d.lanes {
		if !keep[name] && l.idle() {
			if l.cancel != nil {
				l.cancel()
			}
			delete(d.lanes, name)
		}
	}
}

// ensure returns the lane of a server. The caller holds mu.
func (d *Dispatcher) ensure(s pimento.Server) *lane {
	if l, ok := d.lanes[s.Name]; ok {
		return l
	}
	if d.lanes == nil {
		d.lanes = make(map[pimento.UpstreamName]*lane)
	}
	l := newLane(d, s)
	d.lanes[s.Name] = l
	if d.ctx != nil {
		d.start(l)
	}
	return l
}

// idle reports whether a lane has neither the right to its upstream nor
// requests.
func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.held && len(l.holds) == 0 && l.limit.Running() == 0
}

// TakeUpstream gives this process the right to speak to an upstream.
func (d *Dispatcher) TakeUpstream(s pimento.Server, fence uint64) {
	d.mu.Lock()
	l := d.ensure(s)
	d.mu.Unlock()
	l.take(fence)
	d.Events.Emit(pimento.EventUpstreamTaken, "Upstream", s.Name, "Fence", fence)
}

// StopUpstream ends that right; OnUpstreamDrained follows.
func (d *Dispatcher) StopUpstream(name pimento.UpstreamName) {
	d.Events.Emit(pimento.EventUpstreamStopped, "Upstream", name)
	if l := d.lane(name); l != nil {
		l.stop()
		return
	}
	d.OnUpstreamDrained(name)
}

// TakeSlice lets requests of a slice go to an upstream.
func (d *Dispatcher) TakeSlice(id pimento.SliceID, span pimento.Range, name pimento.UpstreamName) {
	if l := d.lane(name); l != nil {
		l.open(id, span)
		d.Events.Emit(pimento.EventSliceTaken, "Slice", id, "Upstream", name)
	}
}

// StopSlice ends that; OnSliceDrained follows.
func (d *Dispatcher) StopSlice(id pimento.SliceID, name pimento.UpstreamName) {
	d.Events.Emit(pimento.EventSliceStopped, "Slice", id, "Upstream", name)
	if l := d.lane(name); l == nil || !l.closeSlice(id) {
		d.OnSliceDrained(id)
	}
}

// RecordsLost says that until the given time a request may have run though no
// record of it is left.
func (d *Dispatcher) RecordsLost(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.noRecord) {
		d.noRecord = until
	}
}

func (d *Dispatcher) mayLackRecord(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.noRecord)
}

func (d *Dispatcher) all() []*lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		out = append(out, l)
	}
	return out
}

// Reports describes all upstreams that this process watches.
func (d *Dispatcher) Reports(now time.Time) ([]pimento.UpstreamReport, []pimento.SliceLoad) {
	var reports []pimento.UpstreamReport
	var loads []pimento.SliceLoad
	for _, l := range d.all() {
		reports = append(reports, l.report(now))
		loads = append(loads, l.loads(now)...)
	}
	return reports, loads
}

// Lost returns the upstreams that this process watches or holds and has lost.
func (d *Dispatcher) Lost() []pimento.UpstreamName {
	var out []pimento.UpstreamName
	for _, l := range d.all() {
		l.mu.Lock()
		if l.lost && (l.held || l.watched) {
			out = append(out, l.server.Name)
		}
		l.mu.Unlock()
	}
	return out
}
