// Package deduper records non-idempotent requests, so that each runs at most
// once however often its caller sends it.
//
// The process that keeps the records of a service has a [Records]; a second one,
// in another failure domain if possible, has a copy. A duplicate waits for the
// request that runs, or gets the same answer.
//
// # Usage
//
//	records := &deduper.Records{}
//	entry, state := records.Begin(now, record)
//	if state == deduper.Fresh {
//		... run ...
//		records.Finish(entry, pimento.RecordAnswered, head, body)
//	}
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
	// RecordTTL is how long a record is kept.
	RecordTTL = 10 * time.Minute
	// MaxBodyBytes is the largest body of an answer that is kept, in bytes.
	MaxBodyBytes = 64 << 10
	// maxRecords is the number of records at which Begin adds no more. Merge still
	// adds copies.
	maxRecords = 1 << 18
	// maxBytes is the total size of the kept bodies at which Begin adds no more
	// records.
	maxBytes = 64 << 20
	// sweepEvery is the number of new records between two sweeps.
	sweepEvery = 1 << 10
)

// State is what a [Records] knows of a request.
type State string

// The states.
const (
	Fresh    State = "Fresh"    // new: the caller of Begin must run the request
	Joined   State = "Joined"   // already running: wait for Entry.Done
	Finished State = "Finished" // the entry's record is final
	Full     State = "Full"     // a limit is reached: no record was added
)

// Entry is a record in a [Records]. Done is closed once the record is final.
type Entry struct {
	record pimento.Record
	Done   chan struct{}
}

// Records is a set of records. The zero value is ready for use.
type Records struct {
	mu      sync.Mutex
	entries map[string]*Entry
	bytes   int
	added   int
}

// Begin returns the entry of a request, and adds one if the request is new.
func (s *Records) Begin(now time.Time, r pimento.Record) (*Entry, State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[r.ID]; ok && now.Before(e.record.Expires) {
		if isDone(e) {
			return e, Finished
		}
		return e, Joined
	}
	s.sweep(now)
	if len(s.entries) >= maxRecords || s.bytes >= maxBytes {
		return nil, Full
	}
	r.State, r.Expires = pimento.RecordRunning, now.Add(RecordTTL)
	e := &Entry{record: r, Done: make(chan struct{})}
	s.insert(e)
	return e, Fresh
}

// Read returns the record of an entry.
func (s *Records) Read(e *Entry) pimento.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.record
}

// insert adds an entry, or replaces that of the same request. The caller holds
// mu.
func (s *Records) insert(e *Entry) {
	if s.entries == nil {
		s.entries = make(map[string]*Entry)
	}
	if old, ok := s.entries[e.record.ID]; ok {
		s.bytes -= len(old.record.Body)
	}
	s.entries[e.record.ID] = e
	s.bytes += len(e.record.Body)
	s.added++
}

// sweep deletes expired records once every sweepEvery new records, and whenever
// the limits are reached. The caller holds mu.
func (s *Records) sweep(now time.Time) {
	full := len(s.entries) >= maxRecords || s.bytes >= maxBytes
	if s.added%sweepEvery != 0 && !full {
		return
	}
	for id, e := range s.entries {
		if !now.Before(e.record.Expires) {
			s.bytes -= len(e.record.Body)
			delete(s.entries, id)
		}
	}
}

// Finish makes the record of an entry from Begin final.
func (s *Records) Finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(e, state, answer, body)
}

// finish makes a record final, unless it is already. The caller holds mu.
func (s *Records) finish(e *Entry, state pimento.RecordState, answer pimento.AnswerHead, body []byte) {
	if isDone(e) {
		return
	}
	e.record.State, e.record.Answer, e.record.Body = state, answer, body
	s.bytes += len(body)
	close(e.Done)
}

// Abandon makes the records of the running requests of a process that is gone
// final as Unknown: they may have run.
func (s *Records) Abandon(runner pimento.ProcessID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.record.Runner == runner {
			s.finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		}
	}
}

// End makes the record of a request final, whether it was added by Begin or
// only copied. A record without a state deletes it, since the request did not
// run.
func (s *Records) End(now time.Time, r pimento.Record) {
	s.mu.Lock()
	e, ok := s.entries[r.ID]
	running := ok && !isDone(e)
	s.mu.Unlock()
	switch {
	case running && r.State == "":
		s.Delete(e)
	case running:
		s.Finish(e, r.State, r.Answer, r.Body)
	default:
		s.Merge(now, []pimento.Record{r})
	}
}

// Delete deletes the entry of a request that certainly did not run, so that a
// later duplicate may run.
func (s *Records) Delete(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isDone(e) {
		return
	}
	if s.entries[e.record.ID] == e {
		delete(s.entries, e.record.ID)
	}
	e.record.State = ""
	close(e.Done)
}

// Merge stores copies of the records of another process. Records that are not
// final stay, and so do answered ones that have not expired. A copy without a
// state deletes a final record.
func (s *Records) Merge(now time.Time, records []pimento.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		old, ok := s.entries[r.ID]
		if ok && !isDone(old) {
			continue
		}
		if r.State == "" {
			if ok {
				s.bytes -= len(old.record.Body)
				delete(s.entries, r.ID)
			}
			continue
		}
		if ok && now.Before(old.record.Expires) && old.record.State == pimento.RecordAnswered {
			continue
		}
		r.Expires = now.Add(RecordTTL)
		e := &Entry{record: r, Done: make(chan struct{})}
		close(e.Done)
		s.insert(e)
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

// Select returns the unexpired records for which match holds, including those of
// running requests.
func (s *Records) Select(now time.Time, match func(*pimento.Record) bool) []pimento.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []pimento.Record
	for _, e := range s.entries {
		if now.Before(e.record.Expires) && match(&e.record) {
			records = append(records, e.record)
		}
	}
	return records
}

// Len returns the number of records.
func (s *Records) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
