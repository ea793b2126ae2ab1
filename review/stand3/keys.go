package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	allKeys = 1 << 16
	// clockSlowness is by how much the clock of an instance may run slow.
	clockSlowness = 1.02
	// mayOverlap is how long two instances may hold the same keys.
	mayOverlap = 500 * time.Millisecond
	// workPoll is the time between two checks whether work on released keys has ended.
	workPoll = 3 * time.Millisecond
)

// grantBody is the body of a grant or a release.
type grantBody struct {
	From  int     `json:"from"`
	To    int     `json:"target"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// keys are those that an instance holds, and the fence numbers that it has seen.
type keys struct {
	mu    sync.Mutex
	until [allKeys]time.Time
	fence [allKeys]uint64
	work  map[int]int // requests that run, by key
}

// holds reports whether a key is held at a moment.
func (k *keys) holds(key int, at time.Time) bool { return at.Before(k.until[key]) }

// grant takes keys or renews them, as PROTOCOL.md says.
func (i *instance) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var b grantBody
	if !i.isTarget(w, r) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.From < 0 || b.To < b.From || b.To >= allKeys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.keys.mu.Lock()
	defer i.keys.mu.Unlock()
	for key := b.From; key <= b.To; key++ {
		if i.keys.fence[key] > b.Fence {
			if i.refused++; i.refused == 1 {
				i.fleet.note("instance %s refuses keys %d-%d with fence %d: it has seen %d (409)", i.id, b.From, b.To, b.Fence, i.keys.fence[key])
			}
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	taken := 0
	for key := b.From; key <= b.To; key++ {
		if !i.keys.holds(key, arrived) {
			taken++
		}
		i.keys.fence[key] = b.Fence
		i.keys.until[key] = arrived.Add(time.Duration(b.HoldS * clockSlowness * float64(time.Second)))
	}
	if taken > 0 {
		i.fleet.note("instance %s takes keys %d-%d with fence %d for %g s", i.id, b.From, b.To, b.Fence, b.HoldS)
	}
}

// release gives keys back and answers when the work on them has ended.
func (i *instance) release(w http.ResponseWriter, r *http.Request) {
	var b grantBody
	if !i.isTarget(w, r) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.From < 0 || b.To < b.From || b.To >= allKeys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.keys.mu.Lock()
	for key := b.From; key <= b.To; key++ {
		i.keys.fence[key] = max(i.keys.fence[key], b.Fence)
		i.keys.until[key] = time.Time{}
	}
	i.keys.mu.Unlock()
	i.fleet.note("instance %s releases keys %d-%d, fence %d", i.id, b.From, b.To, b.Fence)
	for i.worksOn(b) {
		time.Sleep(workPoll)
	}
	w.Header().Set("Pimentorelay-Handover", fmt.Sprintf("%s-%x", i.id, b.Fence))
}

func (i *instance) worksOn(b grantBody) bool {
	i.keys.mu.Lock()
	defer i.keys.mu.Unlock()
	for key, n := range i.keys.work {
		if n > 0 && key >= b.From && key <= b.To {
			return true
		}
	}
	return false
}

// begin begins work on a key, and reports whether the instance holds it.
func (i *instance) begin(key int) bool {
	i.keys.mu.Lock()
	defer i.keys.mu.Unlock()
	if !i.keys.holds(key, time.Now()) {
		return false
	}
	if i.keys.work == nil {
		i.keys.work = make(map[int]int)
	}
	i.keys.work[key]++
	return true
}

func (i *instance) end(key int) {
	i.keys.mu.Lock()
	defer i.keys.mu.Unlock()
	i.keys.work[key]--
}

// doubles finds the keys that two instances hold at the same time.
type doubles struct {
	since [allKeys]time.Time // since when a key has had two holders
	// longest is the longest time for which a key has had two.
	longest time.Duration
	most    int // keys with two holders for longer than mayOverlap, at one moment

	mu    sync.Mutex
	begun map[int]map[string]bool // instances that have begun requests, by key with two holders
	both  int                     // keys on which two holders have begun requests in that time
}

// note notes that an instance begins a request on a key.
func (d *doubles) note(f *fleet, by *instance, key int) {
	now := time.Now()
	shared := false
	for _, i := range f.instances {
		if i == by {
			continue
		}
		i.keys.mu.Lock()
		shared = shared || i.keys.holds(key, now)
		i.keys.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !shared {
		return
	}
	if d.begun == nil {
		d.begun = make(map[int]map[string]bool)
	}
	if d.begun[key] == nil {
		d.begun[key] = make(map[string]bool)
	}
	if !d.begun[key][by.id] {
		d.begun[key][by.id] = true
		if len(d.begun[key]) == 2 {
			d.both++
			f.note("two holders of key %d have begun requests on it, the second is %s", key, by.id)
		}
	}
}

// check notes the keys that have two holders now.
func (d *doubles) check(f *fleet) {
	now := time.Now()
	holders := make([]int, allKeys)
	for _, i := range f.instances {
		i.keys.mu.Lock()
		for key := range allKeys {
			if i.keys.holds(key, now) {
				holders[key]++
			}
		}
		i.keys.mu.Unlock()
	}
	long := 0
	for key, n := range holders {
		switch {
		case n < 2:
			d.since[key] = time.Time{}
		case d.since[key].IsZero():
			d.since[key] = now
		default:
			held := now.Sub(d.since[key])
			d.longest = max(d.longest, held)
			if held > mayOverlap {
				long++
			}
		}
	}
	if long > 0 && d.most == 0 {
		f.note("%d keys have had two holders for over %v", long, mayOverlap)
	}
	d.most = max(d.most, long)
}
