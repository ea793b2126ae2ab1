// Package upstreamfaker is a small stand-in for one upstream: a server with a
// few slots that holds keys by fenced grants. It speaks the product's own wire
// (docs/WIRES.md) or, with another [Dialect], that of the users' platform.
//
// Requests occupy a slot for [Server.Work]; a few more are queued, and what does
// not fit is refused or never answered. After a start the server is cold: it
// bears a few requests a second, and with more it falls over and starts again.
// Faults are switched on over HTTP or by [Server.Inject].
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
	// coldRate is the requests in any second that a cold server bears.
	coldRate = 8
	// queueFactor is how many requests for each slot are queued.
	queueFactor = 4
	// maxJournal bounds the number of runs that are kept.
	maxJournal = 1 << 20
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// freezePoll is how often a frozen handler looks whether it may go on.
	freezePoll = 5 * time.Millisecond
)

// Faults are the failures that the stand-in shows.
type Faults struct {
	Down      bool         // connections are cut without an answer
	Freeze    bool         // nothing goes on until it ends
	SlowBy    float64      // work takes so many times as long
	Late      pimento.Span // added after a run, before its answer
	CrossNext int          // so many answers carry another request's ID
	CutNext   int          // so many answers are cut short
	ExtraNext int          // so many answers are followed by a second one
	CrashOn   string       // a request whose path or body has this text crashes the server
	RestartIn pimento.Span // how long the server stays down after a crash
	LateGrant pimento.Span // grants get no answer and take effect so much later
	Hang      bool         // what does not fit into the queue is never answered
}

// Run is one request that took effect.
type Run struct {
	ID         string
	Key        pimento.Key
	Idempotent bool
	Started    time.Time
	Ended      time.Time
}

// Report is what the stand-in has counted.
type Report struct {
	Name      pimento.UpstreamName
	Started   time.Time
	Runs      int
	FellOver  int // times it got more than it could bear
	Crashes   int // times a request crashed it
	Rejected  int // requests refused for their key
	Full      int // requests that did not fit into the queue
	PeakSlots int // most requests at once
}

// Server is the stand-in. Set the exported fields before Start.
type Server struct {
	Name      pimento.UpstreamName
	Slots     int
	Work      time.Duration // how long one request occupies a slot
	Keyed     bool          // refuses keys that it does not hold
	StartWarm bool
	Dialect   Dialect // zero: the product's own

	mu       sync.Mutex
	faults   Faults
	started  time.Time
	coldTo   time.Time
	arrivals []time.Time // while cold
	inFlight int
	running  map[pimento.Key]int
	keys     keys
	stop     context.CancelFunc
	life     context.Context
	upAgain  time.Time
	journal  []Run
	report   Report
	slots    chan struct{}
	conns    map[net.Conn]bool
}

// Start boots the server. A later call is a restart, which forgets grants and
// ends all running requests.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Dialect == (Dialect{}) {
		s.Dialect = OwnDialect
	}
	s.restart()
	if s.StartWarm {
		s.coldTo = time.Time{}
	}
}

// bootKey is the key of the start in which a connection was made.
type bootKey struct{}

// HTTP returns a server for the stand-in whose connections end with each
// restart, as those of a process do.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ConnState: s.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bootKey{}, s.Report().Started)
		},
	}
}

// track keeps the open connections.
func (s *Server) track(c net.Conn, state http.ConnState) {
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

// restart begins a new life. The caller holds mu.
func (s *Server) restart() {
	if s.stop != nil {
		s.stop()
	}
	for c := range s.conns {
		c.Close()
	}
	s.life, s.stop = context.WithCancel(context.Background())
	s.started = time.Now().Round(time.Millisecond)
	s.coldTo, s.arrivals = time.Now().Add(coldFor), nil
	s.inFlight = 0
	s.keys = keys{}
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

// Handler returns the HTTP handler of the server and of its faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+s.Dialect.GrantPath, s.alive(s.handleGrant))
	mux.HandleFunc("POST "+s.Dialect.ReleasePath, s.alive(s.handleRelease))
	mux.HandleFunc("GET "+s.Dialect.HealthPath, s.alive(s.handleHealth))
	mux.HandleFunc("PUT /stand-in/faults", s.handleFaults)
	mux.HandleFunc("GET /stand-in/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("GET /stand-in/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) })
	mux.HandleFunc("/", s.alive(s.handleServe))
	return mux
}

// alive cuts the connection of a server that is down and holds a frozen one.
func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.thaw()
		if boot, ok := r.Context().Value(bootKey{}).(time.Time); s.isDown() || ok && !boot.Equal(s.Report().Started) {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || time.Now().Before(s.upAgain)
}

// thaw waits for the end of a freeze.
func (s *Server) thaw() {
	for {
		s.mu.Lock()
		frozen := s.faults.Freeze
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(freezePoll)
	}
}

// handleHealth tells of the present life.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	started, cold := s.started, max(0, time.Until(s.coldTo))
	load := s.load()
	s.mu.Unlock()
	s.Dialect.writeHealth(w, s.Name, load, cold)
	writeJSON(w, struct {
		Upstream pimento.UpstreamName
		Started  time.Time
		ColdFor  pimento.Span
	}{s.Name, started, pimento.Span(cold)})
}

// load describes what runs and waits. The caller holds mu.
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

// Answer is the body of a stand-in's answer to a request that is not a blob.
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

// Blob writes n bytes that follow from seed, as the answer to a GET with a
// query "blob=N" holds them.
func Blob(seed uint64, n int) []byte {
	src := rand.NewChaCha8(seedOf(seed))
	out := make([]byte, n)
	src.Read(out)
	return out
}

func seedOf(seed uint64) [32]byte {
	var out [32]byte
	copy(out[:], fmt.Sprintf("%032d", seed))
	return out
}
