// Package deduper records non-idempotent requests, so that each runs at most
// once however often its caller sends it.
//
// The process that keeps the records of a service has a [Book]; a second one, in
// another failure domain if possible, has a copy. A duplicate waits for the
// request that runs, or gets the same answer.
//
// # Usage
//
//	book := &deduper.Book{}
//	entry, state := book.Begin(now, record)
//	if state == deduper.Fresh { ... run ...; book.Finish(record) }
//
// A record in state Running that was copied from another process means that the
// request may have run: its duplicates end as Unknown.
package deduper

import (
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// KeepFor is how long a record is kept.
	KeepFor = 10 * time.Minute
	// MaxBody is the largest body of an answer that is kept, in bytes.
	MaxBody = 64 << 10
	// maxRecords bounds the records of a book.
	maxRecords = 1 << 18
	// maxBytes bounds the kept bodies of a book.
	maxBytes = 64 << 20
	// sweepEvery is the number of new records between two sweeps.
	sweepEvery = 1 << 10
)

// State is what a book knows of a request.
type State string

// The states.
const (
	Fresh    State = "Fresh"    // new: the caller of Begin must run the request
	Joined   State = "Joined"   // already running: wait for Entry.Done
	Finished State = "Finished" // the entry's record is final
	Full     State = "Full"     // the book is full: the request was not entered
)

// Entry is a record in a book. Done is closed once the record is final.
type Entry struct {
	record pimento.Record
	Done   chan struct{}
}

// Book is a set of records. The zero value is ready for use.
type Book struct {
	mu      sync.Mutex
	entries map[string]*Entry
	bytes   int
	added   int
}

// Begin returns the entry of a request, and adds one if the request is new.
func (b *Book) Begin(now time.Time, r pimento.Record) (*Entry, State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[r.ID]; ok && now.Before(e.record.Expires) {
		if isDone(e) {
			return e, Finished
		}
		return e, Joined
	}
	b.sweep(now)
	if len(b.entries) >= maxRecords || b.bytes >= maxBytes {
		return nil, Full
	}
	r.State, r.Expires = pimento.RecordRunning, now.Add(KeepFor)
	e := &Entry{record: r, Done: make(chan struct{})}
	b.insert(e)
	return e, Fresh
}

// Read returns the record of an entry.
func (b *Book) Read(e *Entry) pimento.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return e.record
}

// insert adds an entry, or replaces that of the same request. The caller holds
// mu.
func (b *Book) insert(e *Entry) {
	if b.entries == nil {
		b.entries = make(map[string]*Entry)
	}
	if old, ok := b.entries[e.record.ID]; ok {
		b.bytes -= len(old.record.Body)
	}
	b.entries[e.record.ID] = e
	b.bytes += len(e.record.Body)
	b.added++
}

// sweep deletes expired records once every sweepEvery new records, and whenever
// the book is full. The caller holds mu.
func (b *Book) sweep(now time.Time) {
	full := len(b.entries) >= maxRecords || b.bytes >= maxBytes
	if b.added%sweepEvery != 0 && !full {
		return
	}
	for id, e := range b.entries {
		if !now.Before(e.record.Expires) {
			b.bytes -= len(e.record.Body)
			delete(b.entries, id)
		}
	}
}

// Finish makes the record of an entry from Begin final.
func (b *Book) Finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(e, state, answer, body)
}

// finish makes a record final, unless it is already. The caller holds mu.
func (b *Book) finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	if isDone(e) {
		return
	}
	e.record.State, e.record.Answer, e.record.Body = state, answer, body
	b.bytes += len(body)
	close(e.Done)
}

// Abandon makes the records of the running requests of a process that is gone
// final as Unknown: they may have run.
func (b *Book) Abandon(runner pimento.ProcessID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.record.Runner == runner {
			b.finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		}
	}
}

// End makes the record of a request final, whether it was entered by Begin or
// only copied. A record without a state deletes it, since the request did not
// run.
func (b *Book) End(now time.Time, r pimento.Record) {
	b.mu.Lock()
	e, ok := b.entries[r.ID]
	running := ok && !isDone(e)
	b.mu.Unlock()
	switch {
	case running && r.State == "":
		b.Drop(e)
	case running:
		b.Finish(e, r.State, r.Answer, r.Body)
	default:
		b.Merge(now, []pimento.Record{r})
	}
}

// Drop deletes the entry of a request that certainly did not run, so that a
// later copy may run.
func (b *Book) Drop(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isDone(e) {
		return
	}
	if b.entries[e.record.ID] == e {
		delete(b.entries, e.record.ID)
	}
	e.record.State = ""
	close(e.Done)
}

// Merge stores copies of the records of another process. Records that are not
// final stay, and so do answered ones that have not expired. A copy without a
// state deletes a final record.
func (b *Book) Merge(now time.Time, records []pimento.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		old, ok := b.entries[r.ID]
		if ok && !isDone(old) {
			continue
		}
		if r.State == "" {
			if ok {
				b.bytes -= len(old.record.Body)
				delete(b.entries, r.ID)
			}
			continue
		}
		if ok && now.Before(old.record.Expires) && old.record.State == pimento.RecordAnswered {
			continue
		}
		r.Expires = now.Add(KeepFor)
		e := &Entry{record: r, Done: make(chan struct{})}
		close(e.Done)
		b.insert(e)
	}
}

func isDone(e *Entry) bool {
	select {
	case <-e.Done:
		return true
	default:
		return false
	}
}

// Select returns the records for which match holds, those of running requests
// too.
func (b *Book) Select(now time.Time, match func(*pimento.Record) bool) []pimento.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var records []pimento.Record
	for _, e := range b.entries {
		if now.Before(e.record.Expires) && match(&e.record) {
			records = append(records, e.record)
		}
	}
	return records
}

// Len returns the number of records.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}
