package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is a sound instance of a service, as the pages describe it: it runs a request
// that names it or nobody, refuses others with 421, and proves its answers.
type instance struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	work    time.Duration
	address string
	server  *http.Server
	born    time.Time
	slots   chan struct{}
	// fail returns the status of the failure with which a run ends, zero if it succeeds;
	// nil: all succeed.
	fail    func() int
	keys    keys // if the service is divided by key
	refused int  // grants, for a higher fence; guarded by keys.mu

	mu   sync.Mutex
	runs map[string]int // by attempt ID
	seq  int
	// drainedAt is when the store accepted that the instance drains; zero: it does not.
	drainedAt time.Time
	// lateRuns are the requests that it began to run later than drain_s after that.
	lateRuns []string
	ended    bool
}

// start starts an instance. If registered, it writes its entry to the store at each
// heartbeat.
func (f *fleet) startInstance(id, service, zone string, registered bool) (*instance, error) {
	i := &instance{fleet: f, id: id, service: service, zone: zone, work: f.work, born: time.Now(), slots: make(chan struct{}, 4), runs: make(map[string]int)}
	l, err := net.Listen("tcp", f.network+".200:0")
	if err != nil {
		return nil, err
	}
	i.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", i.health)
	mux.HandleFunc("POST /pimentorelay/grant", i.grant)
	mux.HandleFunc("POST /pimentorelay/release", i.release)
	mux.HandleFunc("/", i.handle)
	i.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go i.server.Serve(l)
	f.instances = append(f.instances, i)
	if registered {
		i.register()
		go i.beat(f.ctx)
	}
	f.note("instance %s of service %s started, registered: %t", id, service, registered)
	return i, nil
}

// register writes the entry of the instance.
func (i *instance) register() {
	i.mu.Lock()
	i.seq++
	seq, state, ended := i.seq, "ready", i.ended
	if !i.drainedAt.IsZero() {
		state = "draining"
	}
	i.mu.Unlock()
	if ended {
		return
	}
	i.fleet.store.Put("servers", i.id, map[string]any{
		"service": i.service, "address": i.address, "zone": i.zone, "version": "v1", "max_concurrency": cap(i.slots),
		"state": state, "warmup_left_s": 0, "seq": seq, "born": i.born.UnixMilli(),
	})
}

func (i *instance) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			i.register()
		}
	}
}

func (i *instance) health(w http.ResponseWriter, r *http.Request) {
	if !i.isTarget(w, r) {
		return
	}
	w.Header().Set("Pimentorelay-Instance-Id", i.id)
	w.Header().Set("Pimentorelay-Server-Load", i.load())
	if i.sayLeaving(w) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sayLeaving says in an answer that the instance leaves, if it does, and reports whether.
func (i *instance) sayLeaving(w http.ResponseWriter) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.drainedAt.IsZero() {
		return false
	}
	w.Header().Set("Server-Leaving", "1")
	w.Header().Set("Connection", "close")
	return true
}

// startDraining writes to the store that the instance drains. It serves on until leave.
func (i *instance) startDraining() {
	i.mu.Lock()
	i.drainedAt = time.Now()
	i.mu.Unlock()
	i.register()
	i.mu.Lock()
	i.drainedAt = time.Now() // the store has accepted it
	i.mu.Unlock()
	i.fleet.note("the store has accepted that instance %s drains", i.id)
}

// leave ends the instance with all that it works on.
func (i *instance) leave() {
	i.mu.Lock()
	i.ended = true
	i.mu.Unlock()
	i.fleet.store.Remove("servers", i.id)
	i.server.Close()
	i.fleet.note("instance %s has left", i.id)
}

func (i *instance) load() string { return fmt.Sprintf("%d,0,%d", len(i.slots), cap(i.slots)) }

// isTarget reports whether a call names this instance or none. If not, it is refused.
func (i *instance) isTarget(w http.ResponseWriter, r *http.Request) bool {
	if target := r.Header.Get("Pimentorelay-Target-Instance"); target == "" || target == i.id {
		return true
	}
	w.Header().Set("Pimentorelay-Instance-Id", i.id)
	w.Header().Set("Pimentorelay-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (i *instance) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Pimentorelay-Attempt-Id")
	if id != "" {
		w.Header().Set("Pimentorelay-Attempt-Id", id)
	}
	if !i.isTarget(w, r) {
		return
	}
	i.sayLeaving(w)
	if id == "" {
		w.Header().Set("Pimentorelay-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i.fleet.keyed {
		key, err := strconv.Atoi(r.Header.Get("Pimentorelay-Shard-Key"))
		if err != nil || key < 0 || key >= allKeys || !i.begin(key) {
			w.Header().Set("Pimentorelay-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer i.end(key)
		i.fleet.doubles.note(i.fleet, i, key)
	}
	i.slots <- struct{}{}
	defer func() { <-i.slots }()
	io.Copy(io.Discard, r.Body)
	i.mu.Lock()
	i.runs[id]++
	if late := time.Since(i.drainedAt); !i.drainedAt.IsZero() && late > i.fleet.drain {
		i.lateRuns = append(i.lateRuns, id)
		i.fleet.note("request %s reaches instance %s %.3f s after the store accepted that it drains", id, i.id, late.Seconds())
	}
	i.mu.Unlock()
	i.fleet.note("request %s is run by instance %s of service %s", id, i.id, i.service)
	time.Sleep(i.work)
	w.Header().Set("Pimentorelay-Server-Load", i.load())
	w.Header().Set("Pimentorelay-Response-Signature", fmt.Sprintf("%s.%08x", i.id, rand.Uint32()))
	if i.fail != nil {
		if status := i.fail(); status != 0 {
			i.fleet.note("instance %s ends request %s with its own %d", i.id, id, status)
			w.WriteHeader(status)
			io.WriteString(w, "the order was written, its confirmation failed\n")
			return
		}
	}
	fmt.Fprintf(w, "done by %s of %s: %s\n", i.id, i.service, id)
}

// ran returns how often an instance has run a request.
func (i *instance) ran(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runs[id]
}

// timesRun returns how often a request was run by all instances.
func (f *fleet) timesRun(id string) int {
	n := 0
	for _, i := range f.instances {
		n += i.ran(id)
	}
	return n
}

// newID returns an ID of an attempt.
func newID() string {
	var b [8]byte
	for n := range b {
		b[n] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}
