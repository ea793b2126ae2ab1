// Package storefaker is a stand-in for the platform's store. It keeps
// everything in memory and speaks the wire that package platform speaks:
// objects by kind and name, pages, conditional writes, watches, and a history
// that can be dropped.
//
// # Usage
//
//	s := storefaker.New()
//	go http.Serve(listener, s)
//	s.Put("config", "main", manifest)
//	s.Inject(storefaker.Faults{Outage: storefaker.OutageSilent})
//
// Faults can be switched on over HTTP too, by a PUT of [Faults] as JSON to
// [FaultsPath].
package storefaker

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// prefix begins the path of every call.
	prefix = "/pimentorelay/objects/"
	// FaultsPath takes the faults to show.
	FaultsPath = "/stand-in/faults"
	// defaultPage is the most items of a page.
	defaultPage = 500
	// maxBody is the largest body in bytes.
	maxBody = 1 << 20
)

// Outage says how the store does not answer.
type Outage string

// The outages.
const (
	OutageNone   Outage = ""
	OutageSilent Outage = "Silent" // takes calls and never answers
	OutageBusy   Outage = "Busy"   // 503
	OutageMany   Outage = "Many"   // 429
	OutageReset  Outage = "Reset"  // ends the connection
)

// Faults are the failures that the stand-in shows.
type Faults struct {
	Outage Outage
	// Only limits the outage to callers for whom it returns true, by their
	// address; nil: all.
	Only func(remote string) bool `json:"-"`
	// Delay is added to each call but a watch.
	Delay pimento.Span
	// LoseAnswers is how many writes take effect without an answer.
	LoseAnswers int
	// LateWrites is how many writes get no answer and take effect after
	// LateAfter, if their condition still holds then.
	LateWrites int
	LateAfter  pimento.Span
	// Deaf watches hear nothing.
	Deaf bool
	// Stale is how old reads are that allow it.
	Stale pimento.Span
}

// Meta is what the store says of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object.
type Object struct {
	Meta   Meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	kind     string
	revision uint64
	object   Object
	deleted  bool
	at       time.Time
}

// Server is the stand-in.
type Server struct {
	// Page is the most items of a page.
	Page int

	mu       sync.Mutex
	faults   Faults
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	dropped  uint64 // revisions up to this one are no longer in the history
	changed  chan struct{}
	calls    map[string]int
	last     string // remote address of the last conditional write
}

// New returns an empty store.
func New() *Server {
	return &Server{Page: defaultPage, revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Inject replaces the faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Compact drops the history and cuts off the watches.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Calls returns the number of calls so far, by method and kind.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// Put writes an object without a condition and returns its revision.
func (s *Server) Put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = Object{Meta: Meta{Name: name}}
	}
	o.Spec = text
	return s.save(kind, o)
}

// Remove deletes an object.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.remove(kind, o)
	}
}

// Object returns an object as it stands.
func (s *Server) Object(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// save stores an object under the next revision. The caller holds mu.
func (s *Server) save(kind string, o Object) uint64 {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o, at: time.Now()})
	s.wake()
	return s.revision
}

// remove deletes an object. The caller holds mu.
func (s *Server) remove(kind string, o Object) {
	s.revision++
	delete(s.objects[kind], o.Meta.Name)
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o, deleted: true, at: time.Now()})
	s.wake()
}

// wake lets the watches look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FaultsPath && r.Method == http.MethodPut {
		s.setFaults(w, r)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, prefix)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	watch := r.URL.Query().Has("watch")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody)) // a caller's leaving shows only after it
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	f := s.faults
	label := r.Method + " " + kind
	if watch {
		label = "WATCH " + kind
	}
	s.calls[label]++
	s.mu.Unlock()
	if !s.admit(w, r, f) {
		return
	}
	if f.Delay > 0 && !watch {
		time.Sleep(time.Duration(f.Delay))
	}
	switch {
	case r.Method == http.MethodGet && watch:
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind, f)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, body, f)
	}
}

// admit applies an outage and reports whether the call goes on.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Outage == OutageNone || f.Only != nil && !f.Only(r.RemoteAddr) {
		return true
	}
	switch f.Outage {
	case OutageBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OutageMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case OutageSilent:
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
	return false
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.Object(kind, name)
	if !ok {
		answer(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	answer(w, http.StatusOK, o)
}

// list writes a page of a kind's objects.
func (s *Server) list(w http.ResponseWriter, r *http.Request, kind string, f Faults) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	objects, revision := s.objects[kind], s.revision
	if r.URL.Query().Get("serializable") == "1" && f.Stale > 0 {
		objects, revision = s.past(kind, time.Now().Add(-time.Duration(f.Stale)))
	}
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > s.Page
	names = names[:min(len(names), s.Page)]
	items := make([]Object, 0, len(names))
	for _, name := range names {
		items = append(items, objects[name])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

// past returns a kind's objects as they were at a time, as far as the history
// tells. The caller holds mu.
func (s *Server) past(kind string, at time.Time) (map[string]Object, uint64) {
	out := make(map[string]Object)
	revision := s.dropped
	for _, e := range s.history {
		if e.at.After(at) {
			break
		}
		revision = e.revision
		if e.kind != kind {
			continue
		}
		if e.deleted {
			delete(out, e.object.Meta.Name)
		} else {
			out[e.object.Meta.Name] = e.object
		}
	}
	return out, revision
}

// watch waits for events after a revision.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "watch and wait_ms are whole numbers"})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, revision, changed := s.since(kind, after), s.revision, s.changed
		gone, deaf := after < s.dropped, s.faults.Deaf
		s.mu.Unlock()
		if gone {
			answer(w, http.StatusGone, map[string]string{"error": "this history is gone"})
			return
		}
		if len(list) > 0 && !deaf {
			answer(w, http.StatusOK, map[string]any{"events": list, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": []any{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events of a kind after a revision. The caller holds mu.
func (s *Server) since(kind string, after uint64) []map[string]any {
	var out []map[string]any
	for _, e := range s.history {
		if e.kind == kind && e.revision > after {
			out = append(out, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	return out
}

// write carries out a call that changes an object.
func (s *Server) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte, f Faults) {
	var in Object
	var err error
	if len(body) > 0 {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		if in.Meta.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
	}
	if f.LateWrites > 0 {
		s.mu.Lock()
		s.faults.LateWrites--
		s.mu.Unlock()
		time.AfterFunc(time.Duration(f.LateAfter), func() { s.apply(r.Method, kind, name, in) })
		<-r.Context().Done()
		return
	}
	status, o := s.apply(r.Method, kind, name, in)
	s.mu.Lock()
	lose := s.faults.LoseAnswers > 0 && status/100 == 2
	if lose {
		s.faults.LoseAnswers--
	}
	s.last = r.RemoteAddr
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	answer(w, status, o)
}

// apply changes an object if the condition holds, and returns the status and
// the object as it stands.
func (s *Server) apply(method, kind, name string, in Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = in.Meta.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPost:
		s.save(kind, Object{Meta: Meta{Name: name, Finalizers: in.Meta.Finalizers}, Spec: in.Spec})
	case !exists:
		return http.StatusNotFound, Object{}
	case in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, old)
		return http.StatusOK, old
	case string(old.Spec) != string(in.Spec):
		old.Spec = in.Spec
		s.save(kind, old)
	}
	return http.StatusOK, s.objects[kind][name]
}

// setFaults takes faults over HTTP.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}
