// Package deduper remembers non-idempotent requests, so that each runs at most
// once however often its caller sends it.
//
// The process that keeps the records of a service has a [Book]; another one, in
// another failure domain where there is one, has a copy. A duplicate waits for
// the request that runs, or gets the same answer.
//
// # Usage
//
//	book := &deduper.Book{}
//	entry, state := book.Begin(now, record)
//	if state == deduper.Fresh { ... run ...; book.Finish(record) }
//
// A record that says Running without being run by this process means that the
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
	// MaxBody is the largest body of an answer in bytes that is kept.
	MaxBody = 64 << 10
	// maxRecords bounds the records of a book.
	maxRecords = 1 << 18
	// maxBytes bounds the kept answers of a book.
	maxBytes = 64 << 20
	// sweepEvery is the number of new records between two sweeps.
	sweepEvery = 1 << 10
)

// State says what a book knows of a request.
type State string

// The states.
const (
	Fresh    State = "Fresh"    // never seen: the caller of Begin has to run it
	Joined   State = "Joined"   // runs here now: wait for Entry.Done
	Finished State = "Finished" // the entry's record is final
	Full     State = "Full"     // no room for another record
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

// Begin looks a request up, and enters it if it is new.
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
	b.put(e)
	return e, Fresh
}

// Read returns the record of an entry.
func (b *Book) Read(e *Entry) pimento.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return e.record
}

// put stores an entry. The caller holds mu.
func (b *Book) put(e *Entry) {
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

// sweep drops expired records now and then. The caller holds mu.
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

// Finish makes the record of a request that ran here final.
func (b *Book) Finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(e, state, answer, body)
}

// finish makes a record final once. The caller holds mu.
func (b *Book) finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	if isDone(e) {
		return
	}
	e.record.State, e.record.Answer, e.record.Body = state, answer, body
	b.bytes += len(body)
	close(e.Done)
}

// Abandon ends the requests of a process that is gone: they may have run.
func (b *Book) Abandon(runner pimento.ProcessID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.record.Runner == runner {
			b.finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		}
	}
}

// End makes the record of a request final that another process ran, whether it
// was entered here or only copied. A record without a state is dropped.
func (b *Book) End(now time.Time, r pimento.Record) {
	b.mu.Lock()
	e, ok := b.entries[r.ID]
	runs := ok && !isDone(e)
	b.mu.Unlock()
	switch {
	case runs && r.State == "":
		b.Drop(e)
	case runs:
		b.Finish(e, r.State, r.Answer, r.Body)
	default:
		b.Merge(now, []pimento.Record{r})
	}
}

// Drop forgets a request that certainly did not run, so that it may run later.
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

// Merge takes in copies of records of another process. What runs here stays,
// and an answer goes before a record without one. A copy without a state takes
// the record away.
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
		b.put(e)
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

// Select returns the records for which match holds. Those that run here are
// returned as Running.
func (b *Book) Select(now time.Time, match func(*pimento.Record) bool) []pimento.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []pimento.Record
	for _, e := range b.entries {
		if now.Before(e.record.Expires) && match(&e.record) {
			out = append(out, e.record)
		}
	}
	return out
}

// Len returns the number of records.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}
