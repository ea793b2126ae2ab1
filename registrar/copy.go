package registrar

import (
	"context"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// Run copies all records to each process that becomes the backup of a service,
// until ctx ends.
func (g *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, name := range g.unsyncedServices() {
			g.replicateAll(ctx, name)
		}
		sleep(ctx, syncRetryInterval)
	}
	return ctx.Err()
}

// unsyncedServices returns the services with this process as primary whose backup
// may not have all records.
func (g *Registrar) unsyncedServices() []pimento.ServiceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []pimento.ServiceName
	for name, s := range g.services {
		if s.isPrimary(g.Self.ID) && len(s.pool.PreferenceList) > 1 && s.syncedBackup != s.pool.PreferenceList[1] {
			out = append(out, name)
		}
	}
	return out
}

// backup returns the backup of a service whose primary is this process, the
// generation of the preference list, and whether the backup has all records. The
// returned process is zero if the list has no second process.
func (g *Registrar) backup(name pimento.ServiceName) (p pimento.Process, generation uint64, synced, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if !s.isPrimary(g.Self.ID) {
		return p, 0, false, false
	}
	if len(s.pool.PreferenceList) < 2 {
		return p, s.pool.Generation, true, true
	}
	p, ok = g.processes[s.pool.PreferenceList[1]]
	return p, s.pool.Generation, s.syncedBackup == p.ID, ok
}

// replicate sends a record to the backup, and reports whether the backup has it
// and all others.
func (g *Registrar) replicate(ctx context.Context, record pimento.Record) bool {
	backup, generation, synced, ok := g.backup(record.Service)
	if !ok || backup.ID == "" {
		return ok
	}
	if !g.sendCopy(ctx, backup, &messenger.Copy{Service: record.Service, Generation: generation, Records: []pimento.Record{record}}) {
		return false
	}
	return synced || g.replicateAll(ctx, record.Service)
}

// replicateAll sends all records of a service to the backup, and reports whether
// the backup accepted them.
func (g *Registrar) replicateAll(ctx context.Context, name pimento.ServiceName) bool {
	backup, generation, _, ok := g.backup(name)
	if !ok || backup.ID == "" {
		return ok
	}
	records := g.records.Select(time.Now(), func(r *pimento.Record) bool { return r.Service == name })
	batches := slices.Collect(slices.Chunk(records, copyBatchSize))
	batches = append(batches, nil)
	for i, batch := range batches {
		c := &messenger.Copy{Service: name, Generation: generation, Records: batch, Whole: i == len(batches)-1}
		if !g.sendCopy(ctx, backup, c) {
			return false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s.pool.Generation == generation {
		s.syncedBackup = backup.ID
	}
	return true
}

// sendCopy sends records to a process, and reports whether it accepted them.
func (g *Registrar) sendCopy(ctx context.Context, to pimento.Process, c *messenger.Copy) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	c.Primary = g.Self.ID
	reply, err := g.Peers.Call(ctx, to, &messenger.Message{Copy: c})
	return err == nil && reply.Copy != nil && reply.Copy.Primary == g.Self.ID
}

// HandleCopy stores copies of records, as the backup. Copies are rejected unless
// the sender is the primary of the same generation.
func (g *Registrar) HandleCopy(c *messenger.Copy, reply func(*messenger.Message)) {
	reply(&messenger.Message{Copy: &messenger.Copy{Primary: g.applyCopy(c)}})
}

// applyCopy stores copies and returns the ID of their sender, or an empty ID if it
// rejected them.
func (g *Registrar) applyCopy(c *messenger.Copy) pimento.ProcessID {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.services[c.Service]
	if !ok || !s.isPrimary(c.Primary) || s.pool.Generation != c.Generation {
		return ""
	}
	g.records.Merge(time.Now(), c.Records)
	if c.Whole {
		s.completeGeneration = c.Generation
	}
	return c.Primary
}
