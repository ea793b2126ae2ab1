// Package upstreamfaker is a small stand-in for one upstream: a server with a
// few slots that owns keys by fenced grants and speaks the wire of
// docs/WIRES.md.
//
// Requests occupy a slot for [Server.Work]. After a start the server is cold:
// it bears one request at a time and one more for every few it completes; with
// more than that it falls over and starts again. Faults are switched on over
// HTTP or by [Server.Inject].
//
// # Usage
//
//	server := &upstreamfaker.Server{Name: "guidebook-1", Slots: 4, Checked: true}
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
	"strconv"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// runsPerWarmth is how many runs a cold server completes to bear one more.
	runsPerWarmth = 8
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
	LoadLag   pimento.Span // load reports are as old as this
	Late      pimento.Span // added after a run, before its answer
	CrossNext int          // so many answers carry another request's ID
	CutNext   int          // so many answers are cut short
	CrashOn   string       // a request whose path or body has this text crashes the server
	RestartIn pimento.Span // how long the server stays down after a crash
}

// Run is one request that took effect.
type Run struct {
	ID         string
	KeyHash    uint64
	Fence      uint64
	Idempotent bool
	Started    time.Time
	Ended      time.Time
}

// Report is what the stand-in has counted.
type Report struct {
	Name      pimento.UpstreamName
	Boot      string
	Runs      int
	FellOver  int // times it got more than it could bear
	Crashes   int // times a request crashed it
	Rejected  int // requests refused for their fence or key
	PeakSlots int // most requests at once
	Bears     int // requests it bears at once now
}

// Server is the stand-in. Set the exported fields before Start.
type Server struct {
	Name      pimento.UpstreamName
	Slots     int
	Work      time.Duration // how long one request occupies a slot
	Checked   bool          // refuses what its grant does not cover
	StartWarm bool

	mu       sync.Mutex
	faults   Faults
	boot     string
	started  time.Time
	warmth   int
	done     int
	inFlight int
	running  map[uint64]int // by key hash
	grant    pimento.Grant
	stop     context.CancelFunc
	life     context.Context
	upAgain  time.Time
	journal  []Run
	loads    []loadSample
	report   Report
	slots    chan struct{}
	conns    map[net.Conn]bool
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// Start boots the server. A later call is a restart, which forgets grants and
// ends all running requests.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
	if s.StartWarm {
		s.warmth = s.Slots
	}
}

// bootKey is the key of the boot in which a connection was made.
type bootKey struct{}

// HTTP returns a server for the stand-in whose connections end with each
// restart, as those of a process do.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ConnState: s.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bootKey{}, s.Report().Boot)
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

// restart begins a new boot. The caller holds mu.
func (s *Server) restart() {
	if s.stop != nil {
		s.stop()
	}
	for c := range s.conns {
		c.Close()
	}
	s.life, s.stop = context.WithCancel(context.Background())
	s.boot = strconv.FormatUint(rand.Uint64(), 36)
	s.started = time.Now()
	s.warmth, s.done, s.inFlight = 1, 0, 0
	s.grant = pimento.Grant{}
	s.running = make(map[uint64]int)
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
	r.Name, r.Boot, r.Runs, r.Bears = s.Name, s.boot, len(s.journal), s.warmth
	return r
}

// Handler returns the HTTP handler of the server and of its faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", s.alive(s.handleGrant))
	mux.HandleFunc("POST /drain", s.alive(s.handleDrain))
	mux.HandleFunc("GET /health", s.alive(s.handleHealth))
	mux.HandleFunc("GET /load", s.alive(s.handleLoad))
	mux.HandleFunc("/serve/", s.alive(s.handleServe))
	mux.HandleFunc("PUT /faults", s.handleFaults)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) })
	return mux
}

// alive cuts the connection of a server that is down and holds a frozen one.
func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.thaw()
		if boot, ok := r.Context().Value(bootKey{}).(string); s.isDown() || ok && boot != s.Report().Boot {
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

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var g pimento.Grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	newer := g.Fence > s.grant.Fence || g.Fence == s.grant.Fence && g.Sequence >= s.grant.Sequence
	if newer {
		s.grant = g
	}
	a := s.answer()
	a.Accepted = newer
	s.mu.Unlock()
	writeJSON(w, a)
}

// answer describes the server. The caller holds mu.
func (s *Server) answer() pimento.GrantAnswer {
	return pimento.GrantAnswer{Fence: s.grant.Fence, Boot: s.boot, Clock: time.Since(s.started), InFlight: s.inFlight}
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	a := s.answer()
	s.mu.Unlock()
	writeJSON(w, a)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	var ranges []pimento.Range
	if err := json.NewDecoder(r.Body).Decode(&ranges); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	left := 0
	for hash, n := range s.running {
		if covers(ranges, hash) {
			left += n
		}
	}
	s.mu.Unlock()
	writeJSON(w, struct{ InFlight int }{left})
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	at := time.Now().Add(-time.Duration(s.faults.LoadLag))
	report := pimento.LoadReport{Slots: s.Slots}
	for _, sample := range s.loads {
		if !sample.at.After(at) {
			report.InFlight = sample.inFlight
		}
	}
	s.mu.Unlock()
	writeJSON(w, report)
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

func covers(ranges []pimento.Range, hash uint64) bool {
	return slices.ContainsFunc(ranges, func(r pimento.Range) bool { return r.Start <= hash && hash <= r.End })
}

// Answer is the body of a stand-in's answer to a request that is not a blob.
type Answer struct {
	ID       string
	Upstream pimento.UpstreamName
	Path     string
	KeyHash  uint64
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
