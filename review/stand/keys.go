package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// headerKey is the key of a request for a service that is divided by key.
const headerKey = "Pimentorelay-Shard-Key"

// keyCount is the number of keys.
const keyCount = 1 << 16

// holding is what an instance knows of one key.
type holding struct {
	fence   uint64    // highest seen
	arrived time.Time // when the grant came
	until   time.Time // end of the hold, zero once released
}

// holdings are the keys of an instance.
type holdings [keyCount]holding

// order is the body of a grant or a release.
type order struct {
	From  int     `json:"from"`
	To    int     `json:"target"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// isControl reports whether a call is a grant or a release.
func isControl(req *http.Request) bool {
	return req.URL.Path == "/pimentorelay/grant" || req.URL.Path == "/pimentorelay/release"
}

// begin waits for a slot and begins a request if the instance holds its key. done ends it.
func (s *instance) begin(req *http.Request) (done func(), held bool) {
	s.busy <- struct{}{}
	if !s.sharded {
		return func() { <-s.busy }, true
	}
	key, err := strconv.Atoi(req.Header.Get(headerKey))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || key < 0 || key >= keyCount || !time.Now().Before(s.keys[key].until) {
		<-s.busy
		return nil, false
	}
	s.atWork[key]++
	return func() { s.end(key) }, true
}

// end ends a request.
func (s *instance) end(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.atWork[key]--; s.atWork[key] == 0 {
		delete(s.atWork, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	<-s.busy
}

// control carries out a grant or a release. A hold counts from the arrival of its call.
func (s *instance) control(c io.Writer, req *http.Request) error {
	arrived := time.Now()
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.From < 0 || o.To >= keyCount || o.From > o.To {
		return s.answer(c, "", http.StatusBadRequest, "", "")
	}
	if req.URL.Path == "/pimentorelay/release" {
		s.release(o)
		return s.answer(c, "", http.StatusOK, "", "Pimentorelay-Handover: h"+strconv.FormatUint(o.Fence, 10)+"\r\n")
	}
	return s.answer(c, "", s.grant(arrived, o), "", "")
}

func (s *instance) grant(arrived time.Time, o order) int {
	s.mu.Lock()
	for k := o.From; k <= o.To; k++ {
		if s.keys[k].fence > o.Fence {
			s.mu.Unlock()
			return http.StatusConflict
		}
	}
	until := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
	for k := o.From; k <= o.To; k++ {
		s.keys[k] = holding{fence: o.Fence, arrived: arrived, until: until}
	}
	s.mu.Unlock()
	if s.onGrant != nil {
		s.onGrant(o)
	}
	return http.StatusOK
}

// release stops new work on keys at once, and returns when that which runs has ended.
func (s *instance) release(o order) {
	s.mu.Lock()
	for k := o.From; k <= o.To; k++ {
		s.keys[k] = holding{fence: max(s.keys[k].fence, o.Fence)}
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		working, changed := false, s.changed
		for k := range s.atWork {
			working = working || k >= o.From && k <= o.To
		}
		s.mu.Unlock()
		if !working {
			return
		}
		<-changed
	}
}

// holdsSome returns the first key of an order that the instance holds, with its fence.
// Holds by grants that came before a time do not count.
func (s *instance) holdsSome(o order, since time.Time) (key int, fence uint64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for k := o.From; k <= o.To; k++ {
		if now.Before(s.keys[k].until) && s.keys[k].arrived.After(since) {
			return k, s.keys[k].fence, true
		}
	}
	return 0, 0, false
}

// holds reports whether the instance holds a key by the grant with a fence.
func (s *instance) holds(key int, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.keys[key]
	return h.fence == fence && time.Now().Before(h.until)
}
