// Package registrar keeps the records of requests with an ID from the caller, so
// that each runs at most once, whichever process receives a duplicate of it.
//
// The first process in the preference list of a service's first pool (the
// primary) keeps the records and copies them to the second (the backup), which
// is in another failure domain where there is one and takes over when the
// primary is lost. A request is recorded in both before it runs. A process that
// takes over rejects copies from the previous primary, so that two primaries
// cannot both let a request run. A process that becomes the primary without
// having been the backup, after both were lost, does not know which requests
// have run: new requests then end as Unknown for as long as records are kept.
//
// # Usage
//
//	g := &registrar.Registrar{Self: process, Peers: messenger, Events: events}
//	go g.Run(ctx)
//	g.Update(pools, processes)
//	record, fresh, err := g.Begin(ctx, request)
//	if fresh { ... run ...; g.Finish(ctx, record) }
package registrar

import (
	"context"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/recorder"
)

const (
	// copyTimeout bounds a call that sends records or the end of a request.
	copyTimeout = 400 * time.Millisecond
	// beginRetryInterval is the time between two attempts to reach the primary.
	beginRetryInterval = 60 * time.Millisecond
	// beginTimeout is how long Begin retries to reach the primary.
	beginTimeout = 3 * time.Second
	// registerTimeout bounds the handling of another process's record, which may
	// wait for an earlier request with the same ID.
	registerTimeout = 10 * time.Minute
	// copyBatchSize is the largest number of records in one message.
	copyBatchSize = 256
	// syncRetryInterval is the time between two attempts to copy all records to a
	// new backup.
	syncRetryInterval = 100 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error)
}

// Registrar holds the records of one process. Set the exported fields before use.
type Registrar struct {
	Self   pimento.Process
	Peers  Peers
	Events *recorder.Recorder

	records   deduper.Records
	mu        sync.Mutex
	services  map[pimento.ServiceName]*service
	processes map[pimento.ProcessID]pimento.Process
}

// service is the replication state of one service's records.
type service struct {
	pool               pimento.Pool
	syncedBackup       pimento.ProcessID // backup that has copies of all records
	completeGeneration uint64            // last generation in which this process had all records; zero: none
	lostUntil          time.Time         // until then a request may have run without a record
}

// isPrimary reports whether a process keeps the records of the service.
func (s *service) isPrimary(id pimento.ProcessID) bool {
	return len(s.pool.PreferenceList) > 0 && s.pool.PreferenceList[0] == id
}

// Update adopts the preference lists of the services' first pools, and the current
// processes.
func (g *Registrar) Update(pools []pimento.Pool, processes map[pimento.ProcessID]pimento.Process) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.processes {
		if _, present := processes[id]; !present {
			g.records.Abandon(id)
		}
	}
	g.processes = processes
	if g.services == nil {
		g.services = make(map[pimento.ServiceName]*service)
	}
	for _, p := range pools {
		if p.Index != 0 {
			continue
		}
		s, known := g.services[p.Service]
		if !known {
			s = &service{}
			g.services[p.Service] = s
		}
		if s.pool.Generation < p.Generation {
			g.updatePool(now, s, p)
		}
	}
}

// updatePool adopts a new preference list of a service. The caller holds mu.
func (g *Registrar) updatePool(now time.Time, s *service, p pimento.Pool) {
	wasPrimary := s.isPrimary(g.Self.ID)
	s.pool, s.syncedBackup = p, ""
	if !s.isPrimary(g.Self.ID) {
		return
	}
	// If this process has been one of the first two ever since it had all
	// records, no other primary could record a request without it.
	hasAllRecords := s.completeGeneration > 0 && p.NearSince[0] <= s.completeGeneration
	if !wasPrimary && !hasAllRecords && p.Generation > 1 {
		s.lostUntil = now.Add(deduper.RecordTTL)
		g.Events.Emit(pimento.EventRecordsLost, "Service", p.Service, "Until", s.lostUntil)
	}
	s.completeGeneration = p.Generation
}

// primary returns the process that keeps the records of a service.
func (g *Registrar) primary(name pimento.ServiceName) (pimento.Process, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.services[name]
	if !ok || len(s.pool.PreferenceList) == 0 {
		return pimento.Process{}, false
	}
	p, ok := g.processes[s.pool.PreferenceList[0]]
	return p, ok
}

// Begin records a request and reports that it is new, or returns the record of an
// earlier request with the same ID. The error is a *pimento.OutcomeError.
func (g *Registrar) Begin(ctx context.Context, r *pimento.Request) (pimento.Record, bool, error) {
	record := pimento.Record{ID: r.RecordID(), Service: r.Service, Runner: g.Self.ID, State: pimento.RecordRunning}
	deadline := time.Now().Add(beginTimeout)
	for {
		reply, err := g.registerAtPrimary(ctx, record)
		if err == nil && !reply.Refused {
			return reply.Record, reply.Fresh, nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			refusal := pimento.NotRun(pimento.ReasonPeerLost, "the process that keeps the records of the service cannot be reached")
			refusal.RetryAfter = beginRetryInterval
			return record, false, refusal
		}
		sleep(ctx, beginRetryInterval)
	}
}

// registerAtPrimary adds a record at the primary.
func (g *Registrar) registerAtPrimary(ctx context.Context, record pimento.Record) (*messenger.BeginRecordReply, error) {
	primary, ok := g.primary(record.Service)
	if !ok {
		return &messenger.BeginRecordReply{Refused: true}, nil
	}
	if primary.ID == g.Self.ID {
		return g.register(ctx, record), nil
	}
	reply, err := g.Peers.Call(ctx, primary, &messenger.Message{BeginRecord: &messenger.BeginRecord{Record: record}})
	if err != nil {
		return nil, err
	}
	if reply.BeginRecordReply == nil {
		return &messenger.BeginRecordReply{Refused: true}, nil
	}
	return reply.BeginRecordReply, nil
}

// register adds a record in this process, as the primary. It waits for an earlier
// request with the same ID that is running.
func (g *Registrar) register(ctx context.Context, record pimento.Record) *messenger.BeginRecordReply {
	for {
		g.mu.Lock()
		s, ok := g.services[record.Service]
		isPrimary := ok && s.isPrimary(g.Self.ID)
		recordsLost := ok && time.Now().Before(s.lostUntil)
		g.mu.Unlock()
		if !isPrimary {
			return &messenger.BeginRecordReply{Refused: true}
		}
		entry, state := g.records.Begin(time.Now(), record)
		switch state {
		case deduper.Full:
			return &messenger.BeginRecordReply{Refused: true}
		case deduper.Finished:
			return &messenger.BeginRecordReply{Record: g.records.Read(entry)}
		case deduper.Fresh:
			return g.registerNew(ctx, entry, record, recordsLost)
		}
		select {
		case <-entry.Done:
			if r := g.records.Read(entry); r.State != "" {
				return &messenger.BeginRecordReply{Record: r}
			}
		case <-ctx.Done():
			record.State = pimento.RecordUnknown
			return &messenger.BeginRecordReply{Record: record}
		}
	}
}

// registerNew copies a new record before its request may run.
func (g *Registrar) registerNew(ctx context.Context, entry *deduper.Entry, record pimento.Record, recordsLost bool) *messenger.BeginRecordReply {
	if recordsLost {
		g.records.Finish(entry, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		return &messenger.BeginRecordReply{Record: g.records.Read(entry)}
	}
	if !g.replicate(ctx, record) {
		g.records.Delete(entry)
		return &messenger.BeginRecordReply{Refused: true}
	}
	return &messenger.BeginRecordReply{Record: record, Fresh: true}
}

// Finish records the end of a request that was fresh. A record without a state
// says that it was not run.
func (g *Registrar) Finish(ctx context.Context, record pimento.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	primary, ok := g.primary(record.Service)
	if ok && primary.ID == g.Self.ID {
		g.finalize(ctx, record)
		return
	}
	var err error
	if ok {
		_, err = g.Peers.Call(ctx, primary, &messenger.Message{Finish: &messenger.Finish{Record: record}})
	}
	if !ok || err != nil {
		// A duplicate then ends as Unknown, which is correct.
		g.Events.Emit(pimento.EventRecordNotKept, "Request", record.ID, "Service", record.Service, "Cause", err)
	}
}

// finalize makes a record final, as the primary, and copies it to the backup.
func (g *Registrar) finalize(ctx context.Context, record pimento.Record) {
	g.records.End(time.Now(), record)
	g.mu.Lock()
	_, ok := g.services[record.Service]
	g.mu.Unlock()
	if ok && !g.replicate(ctx, record) {
		g.Events.Emit(pimento.EventRecordNotKept, "Request", record.ID, "Service", record.Service)
	}
}

// HandleClosed handles the end of a process's connection. The process's running
// requests end as Unknown, unless it reports their outcome later.
func (g *Registrar) HandleClosed(id pimento.ProcessID) { g.records.Abandon(id) }

// Len returns the number of records.
func (g *Registrar) Len() int { return g.records.Len() }

// HandleBeginRecord registers a record of another process, as the primary.
func (g *Registrar) HandleBeginRecord(b *messenger.BeginRecord, reply func(*messenger.Message)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		reply(&messenger.Message{BeginRecordReply: g.register(ctx, b.Record)})
	}()
}

// HandleFinish finalizes a record of another process, as the primary.
func (g *Registrar) HandleFinish(f *messenger.Finish, reply func(*messenger.Message)) {
	go func() {
		g.finalize(context.Background(), f.Record)
		reply(&messenger.Message{Finish: &messenger.Finish{}})
	}()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
