package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// lastKey is the last of the keys.
const lastKey = 65535

// keyBody is the body of a grant or a release.
type keyBody struct {
	From  int     `json:"from"`
	To    int     `json:"target"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// keyTable is what an instance knows of its keys since its start.
type keyTable struct {
	mu      sync.Mutex
	fences  [lastKey + 1]uint64    // highest seen
	expires [lastKey + 1]time.Time // of the hold
	running [lastKey + 1]int       // requests at work
}

// grant gives or renews keys, and reports false if a higher fence was seen on one.
func (t *keyTable) grant(b keyBody, arrived time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := b.From; k <= b.To; k++ {
		if t.fences[k] > b.Fence {
			return false
		}
	}
	for k := b.From; k <= b.To; k++ {
		t.fences[k] = b.Fence
		t.expires[k] = arrived.Add(time.Duration(b.HoldS * float64(time.Second)))
	}
	return true
}

// release takes keys back. It is answered when no request on them is at work.
func (t *keyTable) release(b keyBody) {
	t.mu.Lock()
	for k := b.From; k <= b.To; k++ {
		t.fences[k] = max(t.fences[k], b.Fence)
		t.expires[k] = time.Time{}
	}
	t.mu.Unlock()
	for t.isBusy(b) {
		time.Sleep(2 * time.Millisecond)
	}
}

func (t *keyTable) isBusy(b keyBody) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := b.From; k <= b.To; k++ {
		if t.running[k] > 0 {
			return true
		}
	}
	return false
}

// begin begins work on a key, and reports false if it is not held.
func (t *keyTable) begin(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !time.Now().Before(t.expires[key]) {
		return false
	}
	t.running[key]++
	return true
}

func (t *keyTable) end(key int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[key]--
}

// serveKeys answers a grant or a release, and reports false for any other call.
func (x *instance) serveKeys(w http.ResponseWriter, r *http.Request) bool {
	arrived := time.Now()
	if r.URL.Path != "/pimentorelay/grant" && r.URL.Path != "/pimentorelay/release" {
		return false
	}
	if target := r.Header.Get(headerTarget); target != "" && target != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	var b keyBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.From < 0 || b.To > lastKey || b.To < b.From {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	x.play.log.add("%s gets %s of %d to %d, fence %d, %g s", x.id, r.URL.Path, b.From, b.To, b.Fence, b.HoldS)
	if r.URL.Path == "/pimentorelay/release" {
		x.keys.release(b)
		w.Header().Set("Pimentorelay-Handover", strconv.FormatUint(b.Fence, 16))
		return true
	}
	if !x.keys.grant(b, arrived) {
		w.WriteHeader(http.StatusConflict)
	}
	return true
}
