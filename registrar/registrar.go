// Package registrar keeps the records of requests that callers named, so that
// each runs at most once, whichever process gets a copy of it.
//
// The records of a service are kept by the first process in the line of its
// pool (the keeper of records), and copied to the second, which is in another
// failure domain where there is one and takes over when the first is lost. A
// request is recorded in both before it runs. Whoever takes over refuses copies
// of the one before it, so that two keepers cannot both let a request run. A
// process that becomes the keeper without having been second in line, after
// both before it were lost, cannot tell what has run: new requests then end as
// Unknown for as long as records are kept.
//
// # Usage
//
//	g := &registrar.Registrar{Self: process, Peers: messenger, Events: events}
//	go g.Run(ctx)
//	g.Learn(pools, processes)
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
	// copyTimeout bounds the copying of a record.
	copyTimeout = 400 * time.Millisecond
	// beginRetry is the time between two tries to reach the keeper of records.
	beginRetry = 60 * time.Millisecond
	// beginPatience is how long the keeper of records is waited for.
	beginPatience = 3 * time.Second
	// enterTimeout bounds the wait for an earlier copy of a request.
	enterTimeout = 10 * time.Minute
	// batchSize is the number of records in one message.
	batchSize = 256
	// syncRetry is the time between two tries to copy all records to a process
	// that has come to be the second in line.
	syncRetry = 100 * time.Millisecond
)

// Peers calls other processes.
type Peers interface {
	Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error)
}

// Registrar is the records of one process. Set the exported fields before use.
type Registrar struct {
	Self   pimento.Process
	Peers  Peers
	Events *recorder.Recorder

	book      deduper.Book
	mu        sync.Mutex
	services  map[pimento.ServiceName]*service
	processes map[pimento.ProcessID]pimento.Process
}

// service is the records of one service.
type service struct {
	pool      pimento.Pool
	synced    pimento.ProcessID // second in line, and has copies of all records
	whole     uint64            // the last round in which this process had all records; zero: none
	lostUntil time.Time         // until then a request may have run without a record
}

// first reports whether a process is the first in line.
func (s *service) first(id pimento.ProcessID) bool {
	return len(s.pool.Line) > 0 && s.pool.Line[0] == id
}

// Learn takes over the lines of the services' first pools.
func (g *Registrar) Learn(pools []pimento.Pool, processes map[pimento.ProcessID]pimento.Process) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.processes {
		if _, there := processes[id]; !there {
			g.book.Abandon(id)
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
		if s.pool.Round < p.Round {
			g.change(now, s, p)
		}
	}
}

// change takes over a new line of a service. The caller holds mu.
func (g *Registrar) change(now time.Time, s *service, p pimento.Pool) {
	wasFirst := s.first(g.Self.ID)
	s.pool, s.synced = p, ""
	if !s.first(g.Self.ID) {
		return
	}
	// Whoever kept records since this process had all of them needed its
	// consent, as long as it was one of the first two.
	hasAll := s.whole > 0 && p.Near[0] <= s.whole
	if !wasFirst && !hasAll && p.Round > 1 {
		s.lostUntil = now.Add(deduper.KeepFor)
		g.Events.Emit(pimento.EventRecordsLost, "Service", p.Service, "Until", s.lostUntil)
	}
	s.whole = p.Round
}

// keeper returns the process that keeps the records of a service.
func (g *Registrar) keeper(name pimento.ServiceName) (pimento.Process, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.services[name]
	if !ok || len(s.pool.Line) == 0 {
		return pimento.Process{}, false
	}
	p, ok := g.processes[s.pool.Line[0]]
	return p, ok
}

// Begin enters a request, or returns what is known of an earlier copy of it.
// The error is an *pimento.OutcomeError.
func (g *Registrar) Begin(ctx context.Context, r *pimento.Request) (pimento.Record, bool, error) {
	record := pimento.Record{ID: r.ID, Service: r.Service, Runner: g.Self.ID, State: pimento.RecordRunning}
	patience := time.Now().Add(beginPatience)
	for {
		answer, err := g.askKeeper(ctx, record)
		if err == nil && !answer.Refused {
			return answer.Record, answer.Fresh, nil
		}
		if ctx.Err() != nil || time.Now().After(patience) {
			out := pimento.NotRun(pimento.ReasonPeerLost, "the process that keeps the records of the service cannot be reached")
			out.RetryAfter = beginRetry
			return record, false, out
		}
		sleep(ctx, beginRetry)
	}
}

// askKeeper enters a record at the keeper.
func (g *Registrar) askKeeper(ctx context.Context, record pimento.Record) (*messenger.Entered, error) {
	keeper, ok := g.keeper(record.Service)
	if !ok {
		return &messenger.Entered{Refused: true}, nil
	}
	if keeper.ID == g.Self.ID {
		return g.enter(ctx, record), nil
	}
	reply, err := g.Peers.Call(ctx, keeper, &messenger.Message{Enter: &messenger.Enter{Record: record}})
	if err != nil {
		return nil, err
	}
	if reply.Entered == nil {
		return &messenger.Entered{Refused: true}, nil
	}
	return reply.Entered, nil
}

// enter enters a record here, as the keeper. It waits for an earlier copy that
// runs.
func (g *Registrar) enter(ctx context.Context, record pimento.Record) *messenger.Entered {
	for {
		g.mu.Lock()
		s, ok := g.services[record.Service]
		mine := ok && s.first(g.Self.ID)
		lost := ok && time.Now().Before(s.lostUntil)
		g.mu.Unlock()
		if !mine {
			return &messenger.Entered{Refused: true}
		}
		entry, state := g.book.Begin(time.Now(), record)
		switch state {
		case deduper.Full:
			return &messenger.Entered{Refused: true}
		case deduper.Finished:
			return &messenger.Entered{Record: g.book.Read(entry)}
		case deduper.Fresh:
			return g.enterFresh(ctx, entry, record, lost)
		}
		select {
		case <-entry.Done:
			if r := g.book.Read(entry); r.State != "" {
				return &messenger.Entered{Record: r}
			}
		case <-ctx.Done():
			record.State = pimento.RecordUnknown
			return &messenger.Entered{Record: record}
		}
	}
}

// enterFresh copies a new record before its request may run.
func (g *Registrar) enterFresh(ctx context.Context, entry *deduper.Entry, record pimento.Record, lost bool) *messenger.Entered {
	if lost {
		g.book.Finish(entry, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		return &messenger.Entered{Record: g.book.Read(entry)}
	}
	if !g.copyOut(ctx, record) {
		g.book.Drop(entry)
		return &messenger.Entered{Refused: true}
	}
	return &messenger.Entered{Record: record, Fresh: true}
}

// Finish records the end of a request that was fresh. A record without a state
// says that it was not run.
func (g *Registrar) Finish(ctx context.Context, record pimento.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	keeper, ok := g.keeper(record.Service)
	if ok && keeper.ID == g.Self.ID {
		g.end(ctx, record)
		return
	}
	var err error
	if ok {
		_, err = g.Peers.Call(ctx, keeper, &messenger.Message{Finish: &messenger.Finish{Record: record}})
	}
	if !ok || err != nil {
		// A duplicate is then told Unknown, which is true.
		g.Events.Emit(pimento.EventRecordNotKept, "Request", record.ID, "Service", record.Service, "Cause", err)
	}
}

// end makes a record final, as the keeper, and copies it.
func (g *Registrar) end(ctx context.Context, record pimento.Record) {
	g.book.End(time.Now(), record)
	g.mu.Lock()
	_, ok := g.services[record.Service]
	g.mu.Unlock()
	if ok && !g.copyOut(ctx, record) {
		g.Events.Emit(pimento.EventRecordNotKept, "Request", record.ID, "Service", record.Service)
	}
}

// HandleClosed says that nothing more comes from a process on a connection.
// Whether its requests have run is not known, unless it tells so later.
func (g *Registrar) HandleClosed(id pimento.ProcessID) { g.book.Abandon(id) }

// Len returns the number of records.
func (g *Registrar) Len() int { return g.book.Len() }

// HandleEnter takes a record of another process, as the keeper.
func (g *Registrar) HandleEnter(e *messenger.Enter, reply func(*messenger.Message)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), enterTimeout)
		defer cancel()
		reply(&messenger.Message{Entered: g.enter(ctx, e.Record)})
	}()
}

// HandleFinish takes the end of a request, as the keeper.
func (g *Registrar) HandleFinish(f *messenger.Finish, reply func(*messenger.Message)) {
	go func() {
		g.end(context.Background(), f.Record)
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
