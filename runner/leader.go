package runner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/planner"
)

const (
	// leadPause is the time between two looks at whether a plan is due.
	leadPause = 50 * time.Millisecond
	// listPause is the time between two readings of the registered processes.
	listPause = 500 * time.Millisecond
	// standbyFactor is how many times as rarely the others read them.
	standbyFactor = 8
	// hostsPause is the time between two readings of the host list.
	hostsPause = 5 * time.Second
	// balancePause is the least time from one plan to one that only balances.
	balancePause = 2 * time.Second
	// standbyDelay is how much longer each further candidate waits before it
	// writes a plan in place of those before it.
	standbyDelay = 2 * time.Second
	// uncertainPause is the time after a write without an answer.
	uncertainPause = 500 * time.Millisecond
	// writeTimeout bounds the write of a plan.
	writeTimeout = 3 * time.Second
)

// leader writes the next plan. Who leads is a matter of order only: the
// conditional write decides between two who both believe it is their turn.
type leader struct {
	node       *Node
	registered []pimento.Process
	hosts      []pimento.HostName
	listedThen *pimento.Plan // in force when the registered were read
	listAt     time.Time
	hostsAt    time.Time
	listed     bool
	neededAt   time.Time // when a plan was first seen to be due
	writtenAt  time.Time
}

// situation is what the core knows about the next plan.
type situation struct {
	plan      *pimento.Plan
	inForce   bool
	rank      int // place in line to write, less those suspected
	suspected map[pimento.ProcessID]bool
	hellos    map[pimento.ProcessID]bool
	leaving   map[pimento.ProcessID]bool
	loads     map[pimento.SliceID]float64
	waiting   int
}

func (l *leader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
		pause(ctx, leadPause)
	}
	return ctx.Err()
}

func (l *leader) step(ctx context.Context) {
	s, err := query(ctx, l.node.core, func(c *core) situation { return c.situation(l.ended) })
	if err != nil {
		return
	}
	if !l.read(ctx, s) {
		return
	}
	plan, config := l.node.follower.stored()
	if plan.plan.Epoch != s.plan.Epoch || config.version == 0 || !s.inForce {
		return
	}
	next, changed := planner.Next(l.input(s, plan.plan, config))
	if !changed {
		l.neededAt = time.Time{}
		return
	}
	now := time.Now()
	if l.neededAt.IsZero() {
		l.neededAt = now
		if s.rank > 0 {
			l.listAt = time.Time{} // what is read rarely may be old
		}
	}
	if now.Sub(l.neededAt) >= time.Duration(s.rank)*standbyDelay {
		l.write(ctx, next, plan.version)
	}
}

// situation gathers what the machines know. It runs in the core.
func (c *core) situation(ended func(pimento.ProcessID) bool) situation {
	now := time.Now()
	s := situation{
		plan: c.plans, inForce: c.confirm.InForce(ended), waiting: c.claim.Waiting(),
		suspected: make(map[pimento.ProcessID]bool), hellos: make(map[pimento.ProcessID]bool),
		leaving: make(map[pimento.ProcessID]bool), loads: make(map[pimento.SliceID]float64),
	}
	for _, id := range c.confirm.Withdrawn().Processes {
		s.suspected[id] = true
	}
	mine := c.confirm.Suspects()
	for _, id := range c.plans.Confirmers {
		if id == c.node.self.ID {
			break
		}
		if !slices.Contains(mine, id) && !ended(id) {
			s.rank++
		}
	}
	for id, at := range c.hellos {
		s.hellos[id] = now.Sub(at) < helloAge
		s.leaving[id] = c.leavings[id]
	}
	for id, r := range c.loads {
		if now.Sub(r.at) < reportAge {
			s.loads[id] = r.rate
		}
	}
	return s
}

// read refreshes the registered processes and the host list, and reports
// whether they are known.
func (l *leader) read(ctx context.Context, s situation) bool {
	now := time.Now()
	wait := listPause
	if s.rank > 0 {
		wait *= standbyFactor
	}
	if now.Sub(l.listAt) >= wait {
		l.listAt = now
		objects, err := l.node.Platform.List(ctx, pimento.ObjectProcessPrefix)
		if err != nil {
			return l.listed
		}
		l.registered, l.listed, l.listedThen = decodeProcesses(objects), true, s.plan
		l.node.remember(l.registered)
	}
	if now.Sub(l.hostsAt) >= hostsPause {
		l.hostsAt = now
		if hosts, err := l.node.Platform.Hosts(ctx); err == nil {
			l.hosts = hosts
		}
	}
	return l.listed
}

func decodeProcesses(objects []pimento.Object) []pimento.Process {
	var out []pimento.Process
	for _, o := range objects {
		var p pimento.Process
		if err := json.Unmarshal(o.Value, &p); err == nil && pimento.ObjectProcessPrefix+string(p.ID) == o.Key {
			out = append(out, p)
		}
	}
	return out
}

// ended reports whether a process certainly runs no more: its object is gone,
// a later process listens on its address, or its host has left the list.
func (l *leader) ended(id pimento.ProcessID) bool {
	if !l.listed || id == l.node.self.ID {
		return false
	}
	i := slices.IndexFunc(l.registered, func(p pimento.Process) bool { return p.ID == id })
	if i < 0 {
		_, was := l.listedThen.Process(id) // every process registers before it is listed
		return was
	}
	old := l.registered[i]
	if slices.ContainsFunc(l.registered, func(p pimento.Process) bool { return p.Supersedes(old) }) {
		return true
	}
	return len(l.hosts) > 0 && !slices.Contains(l.hosts, old.Host)
}

// input puts together what the planner needs.
func (l *leader) input(s situation, prior pimento.Plan, config storedConfig) planner.Input {
	in := planner.Input{
		Self: l.node.self.ID, Prior: prior, Config: config.config, ConfigVersion: config.version,
		Ended: make(map[pimento.ProcessID]bool), Suspected: s.suspected,
		Reports: make(map[pimento.UpstreamName]pimento.UpstreamReport), Loads: s.loads,
	}
	in.Registered = slices.Clone(prior.Processes)
	for _, p := range l.registered {
		_, listed := prior.Process(p.ID)
		if !listed && (s.hellos[p.ID] || p.ID == l.node.self.ID) {
			in.Registered = append(in.Registered, p)
		}
	}
	for i := range in.Registered {
		p := &in.Registered[i]
		p.Leaving = s.leaving[p.ID]
		in.Ended[p.ID] = l.ended(p.ID)
	}
	for name, r := range *l.node.core.reports.Load() {
		if time.Since(r.at) < reportAge {
			in.Reports[name] = r.report
		}
	}
	in.Balance = s.rank == 0 && s.waiting == 0 && time.Since(l.writtenAt) > balancePause
	return in
}

// write replaces the plan by one conditional write. A write without an answer
// is read back; the watch of the plan does so too.
func (l *leader) write(ctx context.Context, next pimento.Plan, based uint64) {
	value, err := json.Marshal(next)
	if err != nil {
		l.node.events.Emit(pimento.EventDutyFailed, "Cause", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := l.node.Platform.Put(ctx, pimento.ObjectPlan, based, value)
	var conflict *pimento.ConflictError
	switch {
	case err == nil:
		l.writtenAt = time.Now()
		l.node.events.Emit(pimento.EventPlanWritten, "Epoch", next.Epoch, "Version", version)
		l.node.follower.storePlan(next, version)
	case errors.As(err, &conflict):
		l.node.events.Emit(pimento.EventPlanConflict, "Epoch", next.Epoch, "Version", conflict.Current)
		pause(ctx, leadPause)
	default:
		l.node.events.Emit(pimento.EventPlanUncertain, "Epoch", next.Epoch, "Cause", err)
		l.readBack(ctx)
		pause(ctx, uncertainPause)
	}
}

// readBack learns what stands after a write without an answer.
func (l *leader) readBack(ctx context.Context) {
	o, err := l.node.Platform.Get(ctx, pimento.ObjectPlan)
	if err != nil {
		return // the next write is conditional, so it cannot undo this one
	}
	var p pimento.Plan
	if err := json.Unmarshal(o.Value, &p); err == nil && p.Validate() == nil {
		l.node.follower.storePlan(p, o.Version)
	}
}
