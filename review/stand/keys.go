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
	fence uint64    // highest seen
	until time.Time // end of the hold
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

// holds reports whether the instance holds the key of a request.
func (s *instance) holds(req *http.Request) bool {
	key, err := strconv.Atoi(req.Header.Get(headerKey))
	if err != nil || key < 0 || key >= keyCount {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.keys[key].until)
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
	defer s.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if s.keys[k].fence > o.Fence {
			return http.StatusConflict
		}
	}
	for k := o.From; k <= o.To; k++ {
		s.keys[k] = holding{fence: o.Fence, until: arrived.Add(time.Duration(o.HoldS * float64(time.Second)))}
	}
	return http.StatusOK
}

func (s *instance) release(o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		s.keys[k] = holding{fence: max(s.keys[k].fence, o.Fence)}
	}
}
