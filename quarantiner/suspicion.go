package quarantiner

import (
	"slices"
	"time"
)

// maxSuspicions bounds the suspicions that are kept.
const maxSuspicions = 4096

// suspicion is that a run may have crashed when a request to it ended.
type suspicion struct {
	fingerprint Fingerprint
	run         Run
	at          time.Time
	// weak: the request ended without a broken connection. It is not counted until it
	// is confirmed.
	weak bool
	// answeredAt is when something that was sent after at was first answered; zero: it
	// was not. The answer may have come from the next run.
	answeredAt time.Time
}

// isOpen reports whether a suspicion counts although it is not confirmed.
func (s *suspicion) isOpen() bool { return !s.weak && s.answeredAt.IsZero() }

// suspectedRun is a run with suspicions.
type suspectedRun struct {
	leaving    bool // it was listed as leaving
	requests   map[Fingerprint]*suspicion
	unanswered int
}

// suspicions holds the suspicions of one process, one of each request and run.
type suspicions struct {
	runs     map[Run]*suspectedRun
	requests map[Fingerprint]map[Run]*suspicion
	size     int
}

func newSuspicions() suspicions {
	return suspicions{runs: make(map[Run]*suspectedRun), requests: make(map[Fingerprint]map[Run]*suspicion)}
}

// open adds a suspicion, or renews the one that there is.
func (l *suspicions) open(next suspicion) {
	if old, ok := l.runs[next.run].suspicion(next.fingerprint); ok {
		next.weak = next.weak && (old.weak || !old.answeredAt.IsZero())
		l.remove(old)
	}
	r, ok := l.runs[next.run]
	if !ok {
		r = &suspectedRun{requests: make(map[Fingerprint]*suspicion)}
		l.runs[next.run] = r
	}
	if l.requests[next.fingerprint] == nil {
		l.requests[next.fingerprint] = make(map[Run]*suspicion)
	}
	r.requests[next.fingerprint] = &next
	l.requests[next.fingerprint][next.run] = &next
	l.size++
	if next.answeredAt.IsZero() {
		r.unanswered++
	}
}

// suspicion returns the suspicion of a request at the run.
func (r *suspectedRun) suspicion(p Fingerprint) (*suspicion, bool) {
	if r == nil {
		return nil, false
	}
	s, ok := r.requests[p]
	return s, ok
}

func (l *suspicions) remove(s *suspicion) {
	r := l.runs[s.run]
	delete(r.requests, s.fingerprint)
	if len(r.requests) == 0 {
		delete(l.runs, s.run)
	}
	if s.answeredAt.IsZero() {
		r.unanswered--
	}
	delete(l.requests[s.fingerprint], s.run)
	if len(l.requests[s.fingerprint]) == 0 {
		delete(l.requests, s.fingerprint)
	}
	l.size--
}

// answer records an answer of a run to something that was sent at sentAt.
func (l *suspicions) answer(now time.Time, run Run, sentAt time.Time) (answered []*suspicion) {
	r, ok := l.runs[run]
	if !ok || r.unanswered == 0 {
		return nil
	}
	for _, s := range r.requests {
		if s.answeredAt.IsZero() && s.at.Before(sentAt) {
			s.answeredAt = now
			r.unanswered--
			answered = append(answered, s)
		}
	}
	return answered
}

// countOpen returns at how many runs a request has open suspicions.
func (l *suspicions) countOpen(p Fingerprint) int {
	n := 0
	for _, s := range l.requests[p] {
		if s.isOpen() {
			n++
		}
	}
	return n
}

// of returns the suspicions of a run, in a fixed order.
func (l *suspicions) of(run Run) []*suspicion {
	r, ok := l.runs[run]
	if !ok {
		return nil
	}
	out := make([]*suspicion, 0, len(r.requests))
	for _, s := range r.requests {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y *suspicion) int { return x.at.Compare(y.at) })
	return out
}

// surplus returns what is to be dropped if there are too many suspicions: those that
// are not open first, then the oldest.
func (l *suspicions) surplus() []*suspicion {
	if l.size <= maxSuspicions {
		return nil
	}
	list := make([]*suspicion, 0, l.size)
	for _, runs := range l.requests {
		for _, s := range runs {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *suspicion) int {
		if x.isOpen() != y.isOpen() {
			if x.isOpen() {
				return 1
			}
			return -1
		}
		return x.at.Compare(y.at)
	})
	return list[:maxSuspicions/8]
}
