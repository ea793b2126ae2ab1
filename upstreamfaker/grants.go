package upstreamfaker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// releasePollInterval is how often a release checks whether requests on its keys
// are still running.
const releasePollInterval = 2 * time.Millisecond

// fencedRange is a range of keys with its fence and, if it is held, the end of
// its grant.
type fencedRange struct {
	pimento.KeyRange
	fence   uint64
	expires time.Time
}

// grants is what the server knows of its keys since its last start.
type grants struct {
	held     []fencedRange
	fences   []fencedRange      // of grants and releases so far
	released []pimento.KeyRange // running requests on these may still commit
}

// hasHigherFence reports whether a higher fence was seen on one of the keys.
func (g *grants) hasHigherFence(r pimento.KeyRange, fence uint64) bool {
	return slices.ContainsFunc(g.fences, func(h fencedRange) bool { return h.Overlaps(r) && h.fence > fence })
}

// recordFence adds the fence of a range and drops those that it supersedes.
func (g *grants) recordFence(r pimento.KeyRange, fence uint64) {
	g.fences = slices.DeleteFunc(g.fences, func(h fencedRange) bool { return r.From <= h.From && h.To <= r.To && h.fence <= fence })
	g.fences = append(g.fences, fencedRange{KeyRange: r, fence: fence})
}

// removeHeld removes a range from the held ranges and splits those that it
// overlaps in part.
func (g *grants) removeHeld(r pimento.KeyRange) {
	var out []fencedRange
	for _, h := range g.held {
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
	g.held = out
}

// holds reports whether a key is held at a time.
func (g *grants) holds(key pimento.Key, now time.Time) bool {
	return slices.ContainsFunc(g.held, func(h fencedRange) bool { return h.Contains(key) && now.Before(h.expires) })
}

// mayCommit reports whether a running request on a key may take effect: the key
// is still held, or was released while the request ran.
func (g *grants) mayCommit(key pimento.Key, now time.Time) bool {
	return g.holds(key, now) || slices.ContainsFunc(g.released, func(r pimento.KeyRange) bool { return r.Contains(key) })
}

// Holds reports whether the server holds a key now.
func (s *Server) Holds(key pimento.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants.holds(key, time.Now())
}

// checkTarget reports whether a call names this server or none as its target;
// otherwise it answers 421.
func (s *Server) checkTarget(w http.ResponseWriter, r *http.Request) bool {
	target := r.Header.Get(s.Dialect.TargetHeader)
	if target == "" || target == string(s.Name) {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !s.checkTarget(w, r) {
		return
	}
	req, err := s.Dialect.readKeysRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	delay, serverCtx := time.Duration(s.faults.LateGrant), s.ctx
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			if serverCtx.Err() == nil {
				s.grant(req, arrived)
			}
		})
		<-r.Context().Done()
		return
	}
	if !s.grant(req, arrived) {
		w.WriteHeader(http.StatusConflict)
	}
}

// grant applies a grant, whose hold counts from its arrival. It reports false if
// a higher fence was seen.
func (s *Server) grant(req keysRequest, arrived time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants.hasHigherFence(req.KeyRange, req.fence) {
		return false
	}
	s.grants.recordFence(req.KeyRange, req.fence)
	s.grants.removeHeld(req.KeyRange)
	s.grants.released = slices.DeleteFunc(s.grants.released, req.Overlaps)
	s.grants.held = append(s.grants.held, fencedRange{KeyRange: req.KeyRange, fence: req.fence, expires: arrived.Add(req.hold)})
	return true
}

// handleRelease refuses new requests on the keys at once, and answers when those
// that are running on them have ended.
func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	if !s.checkTarget(w, r) {
		return
	}
	req, err := s.Dialect.readKeysRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.grants.recordFence(req.KeyRange, req.fence)
	s.grants.removeHeld(req.KeyRange)
	s.grants.released = append(s.grants.released, req.KeyRange)
	s.mu.Unlock()
	for s.isRunningOn(req.KeyRange) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(releasePollInterval):
		}
	}
	w.Header().Set(s.Dialect.HandoverHeader, strconv.FormatUint(req.fence, 16))
}

func (s *Server) isRunningOn(r pimento.KeyRange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.running {
		if r.Contains(key) {
			return true
		}
	}
	return false
}
