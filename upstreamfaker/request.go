package upstreamfaker

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

// request is a request that is being served.
type request struct {
	id         string
	key        pimento.Key
	idempotent bool
	customer   pimento.CustomerName
	hasAPIKey  bool
	started    time.Time
	digest     string
	bodyBytes  int64
	crashes    bool
	serverCtx  context.Context
	slots      chan struct{}
	duration   time.Duration
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(s.Dialect.IDHeader); id != "" {
		w.Header().Set(s.Dialect.IDHeader, id) // refusals bear it as well
	}
	req, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer s.finish(req)
	if !s.readBody(req, r) || !s.runInSlot(r.Context(), req) {
		panic(http.ErrAbortHandler)
	}
	s.waitWhileFrozen()
	if req.crashes {
		s.crash(&s.report.Crashes)
		panic(http.ErrAbortHandler)
	}
	if !s.commit(req) {
		http.Error(w, "the hold of the key ended while the request ran", http.StatusInternalServerError)
		return
	}
	s.respond(w, r, req)
}

// admit checks the target, the key and the queue, and counts the request as in
// flight. A cold server that gets more than coldRequestsPerSecond crashes.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*request, bool) {
	d := s.Dialect
	key, err := strconv.ParseUint(r.Header.Get(d.KeyHeader), 10, 16)
	if err != nil && s.Keyed {
		http.Error(w, "the key is not a number from 0 to 65535", http.StatusBadRequest)
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if connStart, ok := r.Context().Value(connStartKey{}).(time.Time); ok && !connStart.Equal(s.started) {
		panic(http.ErrAbortHandler)
	}
	s.limits.recordArrival(time.Now())
	s.notices.recordArrival(time.Now(), r.Header.Get(d.IDHeader))
	target := r.Header.Get(d.TargetHeader)
	if target != "" && target != string(s.Name) || s.Keyed && !s.grants.holds(pimento.Key(key), time.Now()) {
		s.report.Rejected++
		s.refuseNotRun(w, http.StatusMisdirectedRequest)
		return nil, false
	}
	if consumeFault(&s.faults.TurnAway) {
		s.turnAway(w, r.Header.Get(d.IDHeader))
		return nil, false
	}
	if s.inFlight >= s.Slots*(1+queuePerSlot) {
		s.report.Full++
		if s.faults.ResetWhenFull {
			resetConn(w)
		}
		if s.faults.Hang {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return nil, false
		}
		s.refuseNotRun(w, http.StatusServiceUnavailable)
		return nil, false
	}
	s.inFlight++
	s.running[pimento.Key(key)]++
	s.report.PeakSlots = max(s.report.PeakSlots, s.inFlight)
	slowdown := max(s.faults.SlowBy, 1)
	req := &request{
		id: r.Header.Get(d.IDHeader), key: pimento.Key(key),
		customer: pimento.CustomerName(r.Header.Get(d.CustomerHeader)), hasAPIKey: r.Header.Get(pimento.HeaderAuthorization) != "",
		idempotent: pimento.IsIdempotent(r.Method), started: time.Now(), serverCtx: s.ctx, slots: s.slots,
		duration: time.Duration(float64(s.Work) * slowdown),
		crashes:  s.faults.CrashOn != "" && strings.Contains(r.URL.Path, s.faults.CrashOn),
	}
	if s.recordArrival() {
		s.crashLocked(&s.report.FellOver)
	}
	return req, true
}

// resetConn ends the connection of a request by a TCP reset, without an answer.
func resetConn(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // else it is closed in order
			}
			conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// recordArrival records a request to a cold server and reports whether there were
// more than coldRequestsPerSecond in the last second. The caller holds mu.
func (s *Server) recordArrival() bool {
	now := time.Now()
	if !now.Before(s.coldUntil) {
		return false
	}
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > time.Second {
		s.arrivals = s.arrivals[1:]
	}
	return len(s.arrivals) > coldRequestsPerSecond
}

// finish removes a request from those in flight.
func (s *Server) finish(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.serverCtx != s.ctx {
		return // a restart has reset the counts
	}
	s.inFlight--
	if s.running[req.key]--; s.running[req.key] == 0 {
		delete(s.running, req.key)
	}
}

// readBody hashes the body and searches it for the text to crash on. It reports
// whether the body is complete.
func (s *Server) readBody(req *request, r *http.Request) bool {
	sum := sha256.New()
	s.mu.Lock()
	crashText := s.faults.CrashOn
	s.mu.Unlock()
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buf)
		sum.Write(buf[:n])
		req.bodyBytes += int64(n)
		req.crashes = req.crashes || crashText != "" && bytes.Contains(buf[:n], []byte(crashText))
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
	}
	req.digest = hex.EncodeToString(sum.Sum(nil))
	return r.ContentLength < 0 || req.bodyBytes == r.ContentLength
}

// runInSlot waits for a slot and occupies it for the request's duration. It
// reports false if the request is canceled or the server restarts meanwhile.
func (s *Server) runInSlot(ctx context.Context, req *request) bool {
	select {
	case req.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-req.serverCtx.Done():
		return false
	}
	defer func() { <-req.slots }()
	t := time.NewTimer(req.duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-req.serverCtx.Done():
		return false
	}
}

// commit makes the request take effect, unless the server has lost its key.
func (s *Server) commit(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.serverCtx != s.ctx {
		panic(http.ErrAbortHandler)
	}
	if s.Keyed && !s.grants.mayCommit(req.key, time.Now()) {
		s.report.Rejected++
		return false
	}
	if len(s.journal) < maxJournalRuns {
		s.journal = append(s.journal, Run{ID: req.id, Key: req.key, Idempotent: req.idempotent, Started: req.started, Ended: time.Now(), Customer: req.customer, HasAPIKey: req.hasAPIKey})
	}
	return true
}

func (s *Server) crash(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(counter)
}

// crashLocked counts a crash, restarts the server cold and keeps it down for
// RestartIn. The caller holds mu.
func (s *Server) crashLocked(counter *int) {
	*counter++
	s.restart()
	s.downUntil = time.Now().Add(time.Duration(s.faults.RestartIn))
}

// respond writes the answer, altered by the faults that are injected.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, req *request) {
	s.mu.Lock()
	delay := time.Duration(s.faults.Late)
	cross, cut, extra := consumeFault(&s.faults.CrossNext), false, false
	if !cross {
		cut = consumeFault(&s.faults.CutNext)
	}
	if !cross && !cut {
		extra = consumeFault(&s.faults.ExtraNext)
	}
	load := s.load()
	limit := s.limits.next(time.Now(), s.faults.Limit)
	s.mu.Unlock()
	time.Sleep(delay)
	id := req.id
	if cross {
		id = "another-" + id
	}
	body := s.answerBody(r, req, id)
	w.Header().Set(s.Dialect.IDHeader, id)
	w.Header().Set(s.Dialect.LoadHeader, formatLoad(load))
	if limit != "" {
		w.Header().Set(s.Dialect.LimitHeader, limit)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if extra {
		s.writeTwice(w, body)
		return
	}
	w.Write(body)
}

// consumeFault decrements a positive counter of faults and reports whether it was
// positive.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// writeTwice sends the same answer twice and closes the connection.
func (s *Server) writeTwice(w http.ResponseWriter, body []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for range 2 {
		io.WriteString(buf, "HTTP/1.1 200 OK\r\n")
		w.Header().Write(buf)
		io.WriteString(buf, "\r\n")
		buf.Write(body)
	}
	buf.Flush()
}

func (s *Server) answerBody(r *http.Request, req *request, id string) []byte {
	if n, err := strconv.Atoi(r.URL.Query().Get("blob")); err == nil && n >= 0 {
		return Blob(uint64(req.key), n)
	}
	body, err := json.Marshal(Answer{
		ID: id, Upstream: s.Name, Path: r.URL.Path, Key: req.key, Length: req.bodyBytes, Digest: req.digest,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// refuseNotRun answers that a request was not run.
func (s *Server) refuseNotRun(w http.ResponseWriter, status int) {
	w.Header().Set(s.Dialect.NotRunHeader, s.Dialect.NotRunValue)
	w.Header().Set(s.Dialect.LoadHeader, formatLoad(s.load()))
	http.Error(w, "not run", status)
}
