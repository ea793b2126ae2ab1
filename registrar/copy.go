package registrar

import (
	"context"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// Run copies all records to processes that come to be second in line, until
// ctx ends.
func (g *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, name := range g.unsynced() {
			g.copyAll(ctx, name)
		}
		sleep(ctx, syncRetry)
	}
	return ctx.Err()
}

// unsynced returns the services kept here whose second in line lacks records.
func (g *Registrar) unsynced() []pimento.ServiceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []pimento.ServiceName
	for name, s := range g.services {
		if s.first(g.Self.ID) && len(s.pool.Line) > 1 && s.synced != s.pool.Line[1] {
			out = append(out, name)
		}
	}
	return out
}

// second returns the process that has the copies of a service kept here, the
// round of the line, and whether it has all of them. The process is zero where
// this one is alone.
func (g *Registrar) second(name pimento.ServiceName) (p pimento.Process, round uint64, synced, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if !s.first(g.Self.ID) {
		return p, 0, false, false
	}
	if len(s.pool.Line) < 2 {
		return p, s.pool.Round, true, true
	}
	p, ok = g.processes[s.pool.Line[1]]
	return p, s.pool.Round, s.synced == p.ID, ok
}

// copyOut sends a record to the second in line, and reports whether it has it
// and all others.
func (g *Registrar) copyOut(ctx context.Context, record pimento.Record) bool {
	second, round, synced, ok := g.second(record.Service)
	if !ok || second.ID == "" {
		return ok
	}
	if !g.send(ctx, second, &messenger.Copy{Service: record.Service, Round: round, Records: []pimento.Record{record}}) {
		return false
	}
	return synced || g.copyAll(ctx, record.Service)
}

// copyAll sends all records of a service to the second in line.
func (g *Registrar) copyAll(ctx context.Context, name pimento.ServiceName) bool {
	second, round, _, ok := g.second(name)
	if !ok || second.ID == "" {
		return ok
	}
	records := g.book.Select(time.Now(), func(r *pimento.Record) bool { return r.Service == name })
	batches := slices.Collect(slices.Chunk(records, batchSize))
	batches = append(batches, nil)
	for i, batch := range batches {
		c := &messenger.Copy{Service: name, Round: round, Records: batch, Whole: i == len(batches)-1}
		if !g.send(ctx, second, c) {
			return false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s.pool.Round == round {
		s.synced = second.ID
	}
	return true
}

// send copies records to a process, and reports whether it took them.
func (g *Registrar) send(ctx context.Context, to pimento.Process, c *messenger.Copy) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	c.Keeper = g.Self.ID
	reply, err := g.Peers.Call(ctx, to, &messenger.Message{Copy: c})
	return err == nil && reply.Copy != nil && reply.Copy.Keeper == g.Self.ID
}

// HandleCopy takes copies of records, as the second in line. The copies of a
// process that knows another line are refused.
func (g *Registrar) HandleCopy(c *messenger.Copy, reply func(*messenger.Message)) {
	reply(&messenger.Message{Copy: &messenger.Copy{Keeper: g.takeCopy(c)}})
}

// takeCopy takes copies and returns the process that they are from, or nothing
// if they were refused.
func (g *Registrar) takeCopy(c *messenger.Copy) pimento.ProcessID {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.services[c.Service]
	if !ok || !s.first(c.Keeper) || s.pool.Round != c.Round {
		return ""
	}
	g.book.Merge(time.Now(), c.Records)
	if c.Whole {
		s.whole = c.Round
	}
	return c.Keeper
}
