package upstreamfaker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// releasePoll is how often a release looks whether the work on its keys has
// ended.
const releasePoll = 2 * time.Millisecond

// hold is a range of keys with the end of its grant.
type hold struct {
	pimento.KeyRange
	fence uint64
	until time.Time
}

// keys are the grants of one life.
type keys struct {
	held     []hold
	seen     []hold             // the fences that were seen
	released []pimento.KeyRange // on which work that runs may still end
}

// fenced reports whether a higher fence was seen on one of the keys.
func (k *keys) fenced(r pimento.KeyRange, fence uint64) bool {
	return slices.ContainsFunc(k.seen, func(h hold) bool { return h.Overlaps(r) && h.fence > fence })
}

// see remembers the fence of a range.
func (k *keys) see(r pimento.KeyRange, fence uint64) {
	k.seen = slices.DeleteFunc(k.seen, func(h hold) bool { return r.From <= h.From && h.To <= r.To && h.fence <= fence })
	k.seen = append(k.seen, hold{KeyRange: r, fence: fence})
}

// drop takes a range out of what is held.
func (k *keys) drop(r pimento.KeyRange) {
	var out []hold
	for _, h := range k.held {
		if !h.Overlaps(r) {
			out = append(out, h)
			continue
		}
		if h.From < r.From {
			left := h
			left.To = r.From - 1
			out = append(out, left)
		}
		if r.To < h.To {
			right := h
			right.From = r.To + 1
			out = append(out, right)
		}
	}
	k.held = out
}

// holds reports whether a key is held at a time.
func (k *keys) holds(key pimento.Key, now time.Time) bool {
	return slices.ContainsFunc(k.held, func(h hold) bool { return h.Contains(key) && now.Before(h.until) })
}

// mayEnd reports whether work on a key may take effect: its key is still held,
// or was given back while it ran.
func (k *keys) mayEnd(key pimento.Key, now time.Time) bool {
	return k.holds(key, now) || slices.ContainsFunc(k.released, func(r pimento.KeyRange) bool { return r.Contains(key) })
}

// Holds reports whether the server holds a key now.
func (s *Server) Holds(key pimento.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.holds(key, time.Now())
}

// isMeant reports whether a call names this server or none, and answers it
// otherwise.
func (s *Server) isMeant(w http.ResponseWriter, r *http.Request) bool {
	target := r.Header.Get(s.Dialect.Target)
	if target == "" || target == string(s.Name) {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !s.isMeant(w, r) {
		return
	}
	o, err := s.Dialect.readOrder(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late, life := time.Duration(s.faults.LateGrant), s.life
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() {
			if life.Err() == nil {
				s.grant(o, arrived)
			}
		})
		<-r.Context().Done()
		return
	}
	if !s.grant(o, arrived) {
		w.WriteHeader(http.StatusConflict)
	}
}

// grant carries out a grant whose time counts from its arrival, and reports
// whether no higher fence was seen.
func (s *Server) grant(o order, arrived time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys.fenced(o.KeyRange, o.fence) {
		return false
	}
	s.keys.see(o.KeyRange, o.fence)
	s.keys.drop(o.KeyRange)
	s.keys.released = slices.DeleteFunc(s.keys.released, o.Overlaps)
	s.keys.held = append(s.keys.held, hold{KeyRange: o.KeyRange, fence: o.fence, until: arrived.Add(o.hold)})
	return true
}

// handleRelease ends new work on keys at once, and answers when the work that
// runs on them has ended.
func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	if !s.isMeant(w, r) {
		return
	}
	o, err := s.Dialect.readOrder(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.keys.see(o.KeyRange, o.fence)
	s.keys.drop(o.KeyRange)
	s.keys.released = append(s.keys.released, o.KeyRange)
	s.mu.Unlock()
	for s.worksOn(o.KeyRange) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(releasePoll):
		}
	}
	w.Header().Set(s.Dialect.Handover, strconv.FormatUint(o.fence, 16))
}

func (s *Server) worksOn(r pimento.KeyRange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.running {
		if r.Contains(key) {
			return true
		}
	}
	return false
}
