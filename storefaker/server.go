// Package storefaker is an in-memory stand-in for the platform's store. It
// serves the HTTP API that package platform calls: objects by kind and name,
// pages, conditional writes, watches, and a history that can be compacted.
//
// # Usage
//
//	s := storefaker.New()
//	go http.Serve(listener, s)
//	s.Put("config", "main", manifest)
//	s.Inject(storefaker.Faults{Outage: storefaker.OutageSilent})
//
// Faults can also be injected over HTTP, by a PUT of [Faults] as JSON to
// [FaultsPath], and the store be restored by one of a [Copy] to [RestorePath].
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
	// objectsPath begins the path of every call.
	objectsPath = "/pimentorelay/objects/"
	// FaultsPath accepts the faults to inject.
	FaultsPath = "/stand-in/faults"
	// RestorePath restores the store from a copy; the body is a Copy.
	RestorePath = "/stand-in/restore"
	// headerEra is the era of the store, in all answers.
	headerEra = "Store-Era"
	// defaultPageSize is the maximum number of items on a page.
	defaultPageSize = 500
	// maxBodyBytes limits how much of a request's body is read.
	maxBodyBytes = 1 << 20
)

// Outage is the way in which the store fails to answer.
type Outage string

// The outages.
const (
	OutageNone            Outage = ""
	OutageSilent          Outage = "Silent" // accepts calls and never answers
	OutageBusy            Outage = "Busy"   // 503
	OutageTooManyRequests Outage = "Many"   // 429
	OutageReset           Outage = "Reset"  // closes the connection
)

// Faults are the failures that the stand-in simulates.
type Faults struct {
	Outage Outage
	// Only limits the outage to the remote addresses for which it returns
	// true; nil: all.
	Only func(remote string) bool `json:"-"`
	// Delay is added to every call except watches.
	Delay pimento.Span
	// LoseAnswers is the number of writes that take effect without an answer.
	LoseAnswers int
	// LateWrites is the number of writes that get no answer and take effect
	// after LateAfter, if their condition still holds then.
	LateWrites int
	LateAfter  pimento.Span
	// Deaf makes watches return no events.
	Deaf bool
	// Stale is the age of the state returned to reads that allow a stale one.
	Stale pimento.Span
}

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is a stored object in its wire format.
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

// Server is the stand-in store. It implements [http.Handler].
type Server struct {
	// PageSize is the maximum number of items on a page.
	PageSize int

	mu                sync.Mutex
	faults            Faults
	era               uint64 // rises by one with each restore
	revision          uint64
	objects           map[string]map[string]Object
	history           []event
	compactedRevision uint64 // revisions up to this one are no longer in the history
	changed           chan struct{}
	calls             map[string]int
	lastWriter        string // remote address of the last write over HTTP
}

// New returns an empty store.
func New() *Server {
	return &Server{PageSize: defaultPageSize, era: 1, revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Inject replaces the faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Compact drops the history. Watches from an earlier revision get a 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is a copy of the store from which it is restored.
type Copy struct {
	// Age is how old the copy is. What was written since is lost, and revisions are
	// given out again from those of the copy on.
	Age pimento.Span
	// Lapsed are entries of the copy, by kind and name, that have lapsed meanwhile.
	Lapsed map[string][]string
}

// Restore replaces the content by a copy and begins a new era. History before the last
// call of Compact is not part of the copy.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-time.Duration(c.Age))
	kept := s.history[:0:0]
	for _, e := range s.history {
		if !e.at.After(at) {
			kept = append(kept, e)
		}
	}
	s.revision = s.compactedRevision
	s.history = kept
	s.objects = make(map[string]map[string]Object)
	for _, e := range kept {
		s.revision = e.revision
		if s.objects[e.kind] == nil {
			s.objects[e.kind] = make(map[string]Object)
		}
		if e.deleted {
			delete(s.objects[e.kind], e.object.Meta.Name)
		} else {
			s.objects[e.kind][e.object.Meta.Name] = e.object
		}
	}
	s.revision = max(s.revision, 1)
	for kind, names := range c.Lapsed {
		for _, name := range names {
			if o, ok := s.objects[kind][name]; ok {
				s.remove(kind, o)
			}
		}
	}
	s.era++
	s.notifyWatches()
}

// Era returns the era of the store.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
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

// Object returns the current state of an object and whether it exists.
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
	s.notifyWatches()
	return s.revision
}

// remove deletes an object. The caller holds mu.
func (s *Server) remove(kind string, o Object) {
	s.revision++
	delete(s.objects[kind], o.Meta.Name)
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o, deleted: true, at: time.Now()})
	s.notifyWatches()
}

// notifyWatches wakes the watches, which then check for events again. The
// caller holds mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FaultsPath && r.Method == http.MethodPut {
		s.handleFaults(w, r)
		return
	}
	if r.URL.Path == RestorePath && r.Method == http.MethodPut {
		s.handleRestore(w, r)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	watch := r.URL.Query().Has("watch")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes)) // net/http detects a closed connection only once the body is read
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
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
	w = &eraWriter{ResponseWriter: w, server: s}
	if !s.applyOutage(w, r, f) {
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

// applyOutage fails the call if there is an outage, and reports whether to serve
// it.
func (s *Server) applyOutage(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Outage == OutageNone || f.Only != nil && !f.Only(r.RemoteAddr) {
		return true
	}
	switch f.Outage {
	case OutageBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OutageTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case OutageSilent:
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
	return false
}

// eraWriter adds the era of the store to an answer.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.Header().Set(headerEra, strconv.FormatUint(w.server.Era(), 10))
	w.ResponseWriter.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.Object(kind, name)
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// list writes a page of a kind's objects.
func (s *Server) list(w http.ResponseWriter, r *http.Request, kind string, f Faults) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	objects, revision := s.objects[kind], s.revision
	if r.URL.Query().Get("serializable") == "1" && f.Stale > 0 {
		objects, revision = s.objectsAt(kind, time.Now().Add(-time.Duration(f.Stale)))
	}
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > s.PageSize
	names = names[:min(len(names), s.PageSize)]
	items := make([]Object, 0, len(names))
	for _, name := range names {
		items = append(items, objects[name])
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

// objectsAt returns a kind's objects and the revision as of a time, rebuilt from
// the history since the last compaction. The caller holds mu.
func (s *Server) objectsAt(kind string, at time.Time) (map[string]Object, uint64) {
	out := make(map[string]Object)
	revision := s.compactedRevision
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

// watch answers with the events after a revision, and waits for them for at most
// wait_ms.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "watch and wait_ms are whole numbers"})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := s.eventsSince(kind, after), s.revision, s.changed
		expired, deaf := after < s.compactedRevision || after > s.revision, s.faults.Deaf
		s.mu.Unlock()
		if expired {
			writeJSON(w, http.StatusGone, map[string]string{"error": "this history is gone"})
			return
		}
		if len(events) > 0 && !deaf {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []any{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events of a kind after a revision. The caller holds mu.
func (s *Server) eventsSince(kind string, after uint64) []map[string]any {
	var out []map[string]any
	for _, e := range s.history {
		if e.kind == kind && e.revision > after {
			out = append(out, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	return out
}

// write handles a call that creates, replaces or deletes an object.
func (s *Server) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte, f Faults) {
	var in Object
	var err error
	if len(body) > 0 {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		if in.Meta.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
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
	loseAnswer := s.faults.LoseAnswers > 0 && status/100 == 2
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.lastWriter = r.RemoteAddr
	s.mu.Unlock()
	if loseAnswer {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, o)
}

// apply changes an object if the condition holds, and returns the HTTP status
// and the object; on a conflict, the stored one.
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

// handleFaults injects the faults in the request's body.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
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

// handleRestore restores the store from the copy in the request's body.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	var c Copy
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Restore(c)
	w.WriteHeader(http.StatusNoContent)
}
