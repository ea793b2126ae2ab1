// Package upstreamfaker is a small stand-in for one upstream: a server with a
// few slots that holds keys by fenced grants. It speaks the project's own
// protocol (docs/WIRES.md) or, with another [Dialect], that of the users' platform.
//
// Requests occupy a slot for [Server.Work]; a few more are queued, and the rest
// are refused or never answered. After a start the server is cold: it handles a
// few requests a second, and crashes and restarts if it gets more. Faults are
// injected over HTTP or by [Server.Inject].
//
// # Usage
//
//	server := &upstreamfaker.Server{Name: "guidebook-1", Slots: 4, Keyed: true}
//	server.Start()
//	go server.HTTP().Serve(listener)
//	server.Inject(upstreamfaker.Faults{Freeze: true})
//
// The journal lists every run, so that a test can count them and see whether
// two servers ran one key at the same time.
package upstreamfaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// coldFor is how long a server is cold after its start.
	coldFor = time.Second
	// coldRequestsPerSecond is how many requests a cold server handles in any
	// second; with more it crashes.
	coldRequestsPerSecond = 8
	// queuePerSlot is the length of the queue for each slot.
	queuePerSlot = 4
	// maxJournalRuns limits the number of runs in the journal.
	maxJournalRuns = 1 << 20
	// headerTimeout limits the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// freezePollInterval is how often a frozen handler checks whether the freeze
	// has ended.
	freezePollInterval = 5 * time.Millisecond
)

// Faults are the failures that the stand-in simulates.
type Faults struct {
	Down      bool         // connections are closed without an answer
	Freeze    bool         // handlers block until it is cleared
	SlowBy    float64      // factor by which requests take longer
	Late      pimento.Span // delay between a run and its answer
	CrossNext int          // number of answers that carry another request's ID
	CutNext   int          // number of answers that are cut short
	ExtraNext int          // number of answers that are sent twice
	CrashOn   string       // a request whose path or body contains this text crashes the server
	RestartIn pimento.Span // how long the server stays down after a crash
	// SilentDown means that a server that is down answers nothing, in place of closing
	// connections at once.
	SilentDown bool
	LateGrant  pimento.Span // grants get no answer and take effect after this delay
	// Limit holds the limits that answers name, one after the other; an empty text: none.
	Limit   []string
	Leaving bool // all answers say that the server leaves
	// TurnAway is how many of the next requests are refused with RetryAfter.
	TurnAway   int
	RetryAfter string // seconds
	Hang       bool   // requests that do not fit into the queue are never answered
	// ResetWhenFull: the connections of such requests are reset.
	ResetWhenFull bool
}

// Run is one request that took effect.
type Run struct {
	ID         string
	Key        pimento.Key
	Idempotent bool
	Started    time.Time
	Ended      time.Time
	Customer   pimento.CustomerName // of the caller, as the relay said
	HasAPIKey  bool                 // the request had an Authorization header
}

// Report holds the counts of the stand-in.
type Report struct {
	Name      pimento.UpstreamName
	Started   time.Time
	Runs      int
	FellOver  int // crashes under too many requests while cold
	Crashes   int // crashes caused by a request with the text of CrashOn
	Rejected  int // requests refused for their target or key
	Full      int // requests that did not fit into the queue
	PeakSlots int // most requests in flight at once
}

// Server is a stand-in for an upstream. Set the exported fields before Start.
type Server struct {
	Name      pimento.UpstreamName
	Slots     int
	Work      time.Duration // how long one request occupies a slot
	Keyed     bool          // refuses requests whose key it does not hold
	StartWarm bool
	Dialect   Dialect // zero: OwnDialect

	mu        sync.Mutex
	faults    Faults
	started   time.Time
	coldUntil time.Time
	arrivals  []time.Time // in the last second, while cold
	inFlight  int
	running   map[pimento.Key]int
	grants    grants
	cancel    context.CancelFunc
	ctx       context.Context
	downUntil time.Time
	journal   []Run
	report    Report
	limits    limits
	notices   notices
	slots     chan struct{}
	conns     map[net.Conn]bool
}

// Start starts the server. Another call restarts it, which drops its grants and
// aborts its running requests.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Dialect == (Dialect{}) {
		s.Dialect = OwnDialect
	}
	s.restart()
	if s.StartWarm {
		s.coldUntil = time.Time{}
	}
}

// connStartKey is the context key of the server's start time when the connection
// was accepted.
type connStartKey struct{}

// HTTP returns an HTTP server for the stand-in. A restart closes its connections,
// as the restart of a process would.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ConnState: s.trackConn,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connStartKey{}, s.Report().Started)
		},
	}
}

// trackConn records the open connections, which a restart closes.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns == nil {
			s.conns = make(map[net.Conn]bool)
		}
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// restart aborts running requests, closes the connections and resets the state to
// that of a cold start. The caller holds mu.
func (s *Server) restart() {
	if s.cancel != nil {
		s.cancel()
	}
	for c := range s.conns {
		c.Close()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.started = time.Now().Round(time.Millisecond)
	s.coldUntil, s.arrivals = time.Now().Add(coldFor), nil
	s.inFlight = 0
	s.grants = grants{}
	s.running = make(map[pimento.Key]int)
	s.slots = make(chan struct{}, s.Slots)
}

// Inject replaces the faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Journal returns every run so far.
func (s *Server) Journal() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

// Report returns the counts so far.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Name, r.Started, r.Runs = s.Name, s.started, len(s.journal)
	return r
}

// Handler returns the HTTP handler of the server, its faults and its reports.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+s.Dialect.GrantPath, s.requireUp(s.handleGrant))
	mux.HandleFunc("POST "+s.Dialect.ReleasePath, s.requireUp(s.handleRelease))
	mux.HandleFunc("GET "+s.Dialect.HealthPath, s.requireUp(s.handleHealth))
	mux.HandleFunc("PUT /stand-in/faults", s.handleFaults)
	mux.HandleFunc("GET /stand-in/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("GET /stand-in/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) })
	mux.HandleFunc("/", s.requireUp(s.handleRequest))
	return mux
}

// requireUp blocks calls during a freeze, and aborts those to a server that is
// down or has restarted since their connection was made.
func (s *Server) requireUp(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.waitWhileFrozen()
		s.waitWhileSilent(r.Context())
		if connStart, ok := r.Context().Value(connStartKey{}).(time.Time); s.isDown() || ok && !connStart.Equal(s.Report().Started) {
			panic(http.ErrAbortHandler)
		}
		s.writeLeaving(w)
		next(w, r)
	}
}

// waitWhileSilent blocks a call to a server that is down and silent until it is up or
// the call ends.
func (s *Server) waitWhileSilent(ctx context.Context) {
	for ctx.Err() == nil && s.isSilent() {
		time.Sleep(freezePollInterval)
	}
}

func (s *Server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.SilentDown && (s.faults.Down || time.Now().Before(s.downUntil))
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || time.Now().Before(s.downUntil)
}

func (s *Server) waitWhileFrozen() {
	for {
		s.mu.Lock()
		frozen := s.faults.Freeze
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(freezePollInterval)
	}
}

// handleHealth reports the start time, the load and the remaining cold time.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	started, cold := s.started, max(0, time.Until(s.coldUntil))
	load := s.load()
	s.mu.Unlock()
	s.Dialect.writeHealth(w, s.Name, load, cold)
	writeJSON(w, struct {
		Upstream pimento.UpstreamName
		Started  time.Time
		ColdFor  pimento.Span
	}{s.Name, started, pimento.Span(cold)})
}

// load counts running and waiting requests. The caller holds mu.
func (s *Server) load() pimento.LoadReport {
	n := min(s.inFlight, s.Slots)
	return pimento.LoadReport{InFlight: n, Waiting: s.inFlight - n, Slots: s.Slots}
}

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

// Answer is the body of an answer to a request without a query "blob".
type Answer struct {
	ID       string
	Upstream pimento.UpstreamName
	Path     string
	Key      pimento.Key
	Length   int64  // bytes of the request's body
	Digest   string // SHA-256 of the request's body, hexadecimal
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Blob returns n pseudo-random bytes derived from seed. They are the answer to a
// request with a query "blob=N", whose key is the seed.
func Blob(seed uint64, n int) []byte {
	src := rand.NewChaCha8(chaChaSeed(seed))
	out := make([]byte, n)
	src.Read(out)
	return out
}

func chaChaSeed(seed uint64) [32]byte {
	var out [32]byte
	copy(out[:], fmt.Sprintf("%032d", seed))
	return out
}
