// Package platformfaker is a small stand-in for the platform's object API. It
// keeps everything in memory and speaks the wire of docs/WIRES.md.
//
// Faults are switched on over HTTP or by [Server.Inject]: it can be down, slow,
// let a write stand without its answer, and show an old list of hosts.
//
// # Usage
//
//	server := &platformfaker.Server{}
//	go http.Serve(listener, server.Handler())
//	server.Inject(platformfaker.Faults{Down: true})
package platformfaker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

// maxValueSize is the largest value of an object in bytes.
const maxValueSize = 1 << 20

// watchWait is how long a watch waits before it answers "not modified".
const watchWait = 20 * time.Second

// Faults are the failures that the stand-in shows.
type Faults struct {
	Down        bool         // every call is cut off without an answer
	Delay       pimento.Span // added to each call but a watch
	LoseAnswers int          // so many writes take effect but get no answer
	FreezeHosts bool         // the host list stays as it is
}

// Server is the stand-in. The zero value is ready for use.
type Server struct {
	mu       sync.Mutex
	faults   Faults
	version  uint64
	objects  map[string]pimento.Object
	hosts    []pimento.HostName
	shown    []pimento.HostName
	changed  chan struct{}
	callsFor map[string]int
}

// Handler returns the HTTP handler of the object API and of the faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", s.guard(s.get))
	mux.HandleFunc("PUT /objects/{key...}", s.guard(s.put))
	mux.HandleFunc("DELETE /objects/{key...}", s.guard(s.remove))
	mux.HandleFunc("GET /objects", s.guard(s.list))
	mux.HandleFunc("GET /hosts", s.guard(s.listHosts))
	mux.HandleFunc("PUT /hosts", s.putHosts)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /calls", s.getCalls)
	return mux
}

// Inject replaces the faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// SetHosts replaces the list of live hosts.
func (s *Server) SetHosts(hosts []pimento.HostName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	if !s.faults.FreezeHosts {
		s.shown = hosts
	}
}

// Calls returns the number of calls so far by method and first part of the
// key, watches counted apart.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.callsFor))
	for k, n := range s.callsFor {
		out[k] = n
	}
	return out
}

// wake lets all watches look again. The caller holds mu.
func (s *Server) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// guard applies delay and outage to a call, and counts it.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		watch := r.URL.Query().Has("after")
		s.mu.Lock()
		f := s.faults
		s.count(r, watch)
		s.mu.Unlock()
		if f.Delay > 0 && !watch {
			sleep(r.Context(), time.Duration(f.Delay))
		}
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// count adds a call to the tally. The caller holds mu.
func (s *Server) count(r *http.Request, watch bool) {
	if s.callsFor == nil {
		s.callsFor = make(map[string]int)
	}
	kind := r.Method
	if watch {
		kind = "WATCH"
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "?")
	parts := strings.SplitN(first, "/", 3)
	s.callsFor[kind+" "+strings.Join(parts[:min(2, len(parts))], "/")]++
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	if r.URL.Query().Has("after") {
		s.watch(w, r, key, after)
		return
	}
	s.mu.Lock()
	o, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	writeObject(w, o)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string, after uint64) {
	limit := time.NewTimer(watchWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.wake()
		}
		o, ok := s.objects[key]
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if ok && o.Version > after {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, "value is larger than a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, func(key string) uint64 {
		s.version++
		if s.objects == nil {
			s.objects = make(map[string]pimento.Object)
		}
		s.objects[key] = pimento.Object{Key: key, Version: s.version, Value: value}
		return s.version
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(key string) uint64 {
		delete(s.objects, key)
		return 0
	})
}

// write runs change if the condition of the request holds.
func (s *Server) write(w http.ResponseWriter, r *http.Request, change func(key string) uint64) {
	key := r.PathValue("key")
	s.mu.Lock()
	current := s.objects[key].Version
	if current != basedOn(r) {
		s.mu.Unlock()
		w.Header().Set("ETag", etag(current))
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
		return
	}
	version := change(key)
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	s.wake()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	out := []pimento.Object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	writeJSON(w, out)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	shown := append([]pimento.HostName{}, s.shown...)
	s.mu.Unlock()
	writeJSON(w, shown)
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []pimento.HostName
	if !readJSON(w, r, &hosts) {
		return
	}
	s.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func writeObject(w http.ResponseWriter, o pimento.Object) {
	w.Header().Set("ETag", etag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(o.Value)
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// basedOn reads the version that a conditional write was based on.
func basedOn(r *http.Request) uint64 {
	if r.Header.Get("If-None-Match") == "*" {
		return 0
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return ^uint64(0)
	}
	return version
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueSize))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
