package upstreamfaker

import "time"

// limits are the limits that a server names, and the requests that it gets since.
type limits struct {
	answers      int // that could name a limit
	firstNamedAt time.Time
	arrivals     []time.Time // since then
}

// next returns the limit that the next answer names; empty: none.
func (l *limits) next(now time.Time, texts []string) string {
	if len(texts) == 0 {
		return ""
	}
	text := texts[l.answers%len(texts)]
	l.answers++
	if text != "" && l.firstNamedAt.IsZero() {
		l.firstNamedAt = now
	}
	return text
}

// recordArrival records a request, whether it is run or refused.
func (l *limits) recordArrival(now time.Time) {
	if !l.firstNamedAt.IsZero() {
		l.arrivals = append(l.arrivals, now)
	}
}

// MostArrivals returns the most requests that have come in any period of the given
// length that began at least after once a limit was first named. Requests that were
// refused count.
func (s *Server) MostArrivals(after, period time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.limits.arrivals {
		for first <= i && (s.limits.arrivals[first].Sub(s.limits.firstNamedAt) < after || at.Sub(s.limits.arrivals[first]) >= period) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// NamesLimit reports whether the server has named a limit yet.
func (s *Server) NamesLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.limits.firstNamedAt.IsZero()
}
