package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// slowReaders is how many consumers read from the machine that is stopped.
	slowReaders = 6
	// slowBytes is the length of an answer, slowRate how many bytes a second of it the
	// line of a consumer takes.
	slowBytes = 1 << 20
	slowRate  = 256 << 10
	// stopAfter is when the machine is stopped after the first requests were sent, and
	// aheadAfter when the consumers send the next ones, while they read the first answers.
	stopAfter  = 300 * time.Millisecond
	aheadAfter = 2800 * time.Millisecond
)

// playSlowLine sends SIGTERM to a machine while consumers read answers on slow lines. They
// send one more request before they have got the whole answer. The rule is LOST: the answer
// to the first request must arrive whole.
func playSlowLine(s *setup) (int, error) {
	f, servers, err := startGuide(s, slowBytes)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	m := f.machines[0]
	list := make([]*reader, slowReaders)
	var all sync.WaitGroup
	for i := range list {
		list[i] = &reader{name: fmt.Sprintf("c%d", i+1), rate: slowRate}
		all.Go(func() { list[i].readTwo(s.record, m) })
	}
	time.Sleep(stopAfter)
	if s.trouble {
		s.record.printf("machine %s: SIGTERM", m.name)
		if err := m.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	all.Wait()
	return checkLost(s.record, servers, list)
}

// readTwo sends a request, and another one while it reads the answer to the first. Only
// the first one counts if the second was not passed on.
func (r *reader) readTwo(rec *record, m *machine) {
	if err := r.dial(m); err != nil {
		rec.printf("consumer %s: %v", r.name, err)
		return
	}
	defer r.conn.Close()
	r.send(rec)
	next := time.AfterFunc(aheadAfter, func() { r.send(rec) })
	defer next.Stop()
	for i := range 2 {
		q := r.request(i)
		if r.isEnd {
			r.awaitEnd(rec)
			return
		}
		if q == nil {
			return
		}
		if err := r.receive(q); err != nil {
			rec.printf("consumer %s: attempt %s: no whole answer: %v", r.name, q.attempt, err)
			r.end(err)
			return
		}
		rec.printf("consumer %s: attempt %s: answered in full with %d, last %v", r.name, q.attempt, q.status, r.isEnd)
	}
}
