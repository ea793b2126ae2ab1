package upstreamfaker

import (
	"net/http"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// notices are the requests that a server got since it first said that it leaves, or
// turned one away.
type notices struct {
	begun    bool
	arrivals []Arrival
	turned   []Arrival
}

// Arrival is a request that reached a server.
type Arrival struct {
	At time.Time
	ID string
}

// recordArrival records a request, whether it is run or refused.
func (n *notices) recordArrival(now time.Time, id string) {
	if n.begun {
		n.arrivals = append(n.arrivals, Arrival{At: now, ID: id})
	}
}

// Arrivals returns the requests since the server first said that it leaves or turned
// one away.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notices.arrivals)
}

// TurnedAway returns the requests that were refused with a time after which to retry.
func (s *Server) TurnedAway() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notices.turned)
}

// writeLeaving says in an answer that the server leaves, if it does.
func (s *Server) writeLeaving(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		s.notices.begun = true
		w.Header().Set(s.Dialect.LeavingHeader, "1")
	}
}

// turnAway refuses a request that has just arrived and says when to retry. The caller
// holds mu.
func (s *Server) turnAway(w http.ResponseWriter, id string) {
	s.notices.begun = true
	s.notices.turned = append(s.notices.turned, Arrival{At: time.Now(), ID: id})
	w.Header().Set(pimento.HeaderRetryAfter, s.faults.RetryAfter)
	s.refuseNotRun(w, http.StatusServiceUnavailable)
}
