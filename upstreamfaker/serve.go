package upstreamfaker

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

// work is one request on its way through the server.
type work struct {
	id         string
	key        pimento.Key
	idempotent bool
	started    time.Time
	digest     string
	length     int64
	crash      bool
	life       context.Context
	slots      chan struct{}
	duration   time.Duration
}

func (s *Server) handleServe(w http.ResponseWriter, r *http.Request) {
	job, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer s.leave(job)
	if !s.read(job, r) || !s.occupy(r.Context(), job) {
		panic(http.ErrAbortHandler)
	}
	s.thaw()
	if job.crash {
		s.crash(&s.report.Crashes)
		panic(http.ErrAbortHandler)
	}
	if !s.commit(job) {
		http.Error(w, "the hold of the key ended while the request ran", http.StatusInternalServerError)
		return
	}
	s.respond(w, r, job)
}

// admit checks target, key and room, and counts the request in. A cold server
// that gets more than it bears falls over.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*work, bool) {
	d := s.Dialect
	key, err := strconv.ParseUint(r.Header.Get(d.Key), 10, 16)
	if err != nil && s.Keyed {
		http.Error(w, "the key is not a number from 0 to 65535", http.StatusBadRequest)
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot, ok := r.Context().Value(bootKey{}).(time.Time); ok && !boot.Equal(s.started) {
		panic(http.ErrAbortHandler)
	}
	target := r.Header.Get(d.Target)
	if target != "" && target != string(s.Name) || s.Keyed && !s.keys.holds(pimento.Key(key), time.Now()) {
		s.report.Rejected++
		s.refuse(w, http.StatusMisdirectedRequest)
		return nil, false
	}
	if s.inFlight >= s.Slots*(1+queueFactor) {
		s.report.Full++
		if s.faults.Hang {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return nil, false
		}
		s.refuse(w, http.StatusServiceUnavailable)
		return nil, false
	}
	s.inFlight++
	s.running[pimento.Key(key)]++
	s.report.PeakSlots = max(s.report.PeakSlots, s.inFlight)
	slow := max(s.faults.SlowBy, 1)
	job := &work{
		id: r.Header.Get(d.ID), key: pimento.Key(key),
		idempotent: pimento.IsIdempotent(r.Method), started: time.Now(), life: s.life, slots: s.slots,
		duration: time.Duration(float64(s.Work) * slow),
		crash:    s.faults.CrashOn != "" && strings.Contains(r.URL.Path, s.faults.CrashOn),
	}
	if s.overrun() {
		s.fall(&s.report.FellOver)
	}
	return job, true
}

// overrun counts an arrival and reports whether a cold server got more than it
// bears in a second. The caller holds mu.
func (s *Server) overrun() bool {
	now := time.Now()
	if !now.Before(s.coldTo) {
		return false
	}
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > time.Second {
		s.arrivals = s.arrivals[1:]
	}
	return len(s.arrivals) > coldRate
}

// leave counts a request out.
func (s *Server) leave(job *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.life != s.life {
		return // the server has restarted since
	}
	s.inFlight--
	if s.running[job.key]--; s.running[job.key] == 0 {
		delete(s.running, job.key)
	}
}

// read takes the whole body in and hashes it.
func (s *Server) read(job *work, r *http.Request) bool {
	sum := sha256.New()
	s.mu.Lock()
	mark := s.faults.CrashOn
	s.mu.Unlock()
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buf)
		sum.Write(buf[:n])
		job.length += int64(n)
		job.crash = job.crash || mark != "" && bytes.Contains(buf[:n], []byte(mark))
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
	}
	job.digest = hex.EncodeToString(sum.Sum(nil))
	return r.ContentLength < 0 || job.length == r.ContentLength
}

// occupy waits for a slot and holds it for the time of the work.
func (s *Server) occupy(ctx context.Context, job *work) bool {
	select {
	case job.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-job.life.Done():
		return false
	}
	defer func() { <-job.slots }()
	t := time.NewTimer(job.duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-job.life.Done():
		return false
	}
}

// commit makes the request take effect, if its key is still held.
func (s *Server) commit(job *work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.life != s.life {
		panic(http.ErrAbortHandler)
	}
	if s.Keyed && !s.keys.mayEnd(job.key, time.Now()) {
		s.report.Rejected++
		return false
	}
	if len(s.journal) < maxJournal {
		s.journal = append(s.journal, Run{ID: job.id, Key: job.key, Idempotent: job.idempotent, Started: job.started, Ended: time.Now()})
	}
	return true
}

func (s *Server) crash(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fall(counter)
}

// fall ends the life and starts a cold one. The caller holds mu.
func (s *Server) fall(counter *int) {
	*counter++
	s.restart()
	s.upAgain = time.Now().Add(time.Duration(s.faults.RestartIn))
}

// respond writes the answer, or what a fault makes of it.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, job *work) {
	s.mu.Lock()
	late := time.Duration(s.faults.Late)
	cross, cut, extra := take(&s.faults.CrossNext), false, false
	if !cross {
		cut = take(&s.faults.CutNext)
	}
	if !cross && !cut {
		extra = take(&s.faults.ExtraNext)
	}
	load := s.load()
	s.mu.Unlock()
	time.Sleep(late)
	id := job.id
	if cross {
		id = "another-" + id
	}
	body := s.body(r, job, id)
	w.Header().Set(s.Dialect.ID, id)
	w.Header().Set(s.Dialect.Load, loadText(load))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if extra {
		s.twice(w, body)
		return
	}
	w.Write(body)
}

// take counts one down and reports whether there was one.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// twice writes an answer and the same again, and ends the connection.
func (s *Server) twice(w http.ResponseWriter, body []byte) {
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

func (s *Server) body(r *http.Request, job *work, id string) []byte {
	if n, err := strconv.Atoi(r.URL.Query().Get("blob")); err == nil && n >= 0 {
		return Blob(uint64(job.key), n)
	}
	body, err := json.Marshal(Answer{
		ID: id, Upstream: s.Name, Path: r.URL.Path, Key: job.key, Length: job.length, Digest: job.digest,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// refuse says that a request was not run.
func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(s.Dialect.NotRun, s.Dialect.NotRunIs)
	w.Header().Set(s.Dialect.Load, loadText(s.load()))
	http.Error(w, "not run", status)
}
