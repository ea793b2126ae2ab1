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
	hash       uint64
	fence      uint64
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
		refuse(w, http.StatusPreconditionFailed, "grant ended before the request took effect")
		return
	}
	s.respond(w, r, job)
}

// admit checks fence and key, and counts the request in. A cold server that
// gets more than it bears falls over.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*work, bool) {
	hash, err := strconv.ParseUint(r.Header.Get(pimento.HeaderKeyHash), 16, 64)
	if err != nil {
		http.Error(w, "the key hash is not a hexadecimal number", http.StatusBadRequest)
		return nil, false
	}
	fence, err := strconv.ParseUint(r.Header.Get(pimento.HeaderFence), 10, 64)
	if err != nil {
		http.Error(w, "the fence is not a number", http.StatusBadRequest)
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot, ok := r.Context().Value(bootKey{}).(string); ok && boot != s.boot {
		panic(http.ErrAbortHandler)
	}
	if s.Checked && !s.allowed(fence, hash) {
		s.report.Rejected++
		refuse(w, http.StatusPreconditionFailed, "no valid grant covers this request")
		return nil, false
	}
	s.inFlight++
	s.running[hash]++
	s.report.PeakSlots = max(s.report.PeakSlots, s.inFlight)
	s.sample()
	slow := max(s.faults.SlowBy, 1)
	job := &work{
		id: r.Header.Get(pimento.HeaderRequestID), hash: hash, fence: fence,
		idempotent: pimento.IsIdempotent(r.Method), started: time.Now(), life: s.life, slots: s.slots,
		duration: time.Duration(float64(s.Work) * slow),
		crash:    s.faults.CrashOn != "" && strings.Contains(r.URL.Path, s.faults.CrashOn),
	}
	if s.inFlight > s.warmth && s.warmth < s.Slots {
		s.fall(&s.report.FellOver)
	}
	return job, true
}

// allowed reports whether the grant covers a request. The caller holds mu.
func (s *Server) allowed(fence, hash uint64) bool {
	return fence == s.grant.Fence && time.Since(s.started) < s.grant.ValidUntil && covers(s.grant.Ranges, hash)
}

// sample records the load for lagging reports. The caller holds mu.
func (s *Server) sample() {
	const maxSamples = 4096
	s.loads = append(s.loads, loadSample{at: time.Now(), inFlight: s.inFlight})
	if len(s.loads) > maxSamples {
		s.loads = append([]loadSample(nil), s.loads[maxSamples/2:]...)
	}
}

// leave counts a request out and warms the server.
func (s *Server) leave(job *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.life != s.life {
		return // the server has restarted since
	}
	s.inFlight--
	if s.running[job.hash]--; s.running[job.hash] == 0 {
		delete(s.running, job.hash)
	}
	s.sample()
	s.done++
	if s.done%runsPerWarmth == 0 && s.warmth < s.Slots {
		s.warmth++
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

// commit makes the request take effect, if the grant still covers it.
func (s *Server) commit(job *work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.life != s.life || s.Checked && !s.allowed(job.fence, job.hash) {
		s.report.Rejected++
		return false
	}
	if len(s.journal) < maxJournal {
		s.journal = append(s.journal, Run{
			ID: job.id, KeyHash: job.hash, Fence: job.fence, Idempotent: job.idempotent,
			Started: job.started, Ended: time.Now(),
		})
	}
	return true
}

func (s *Server) crash(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fall(counter)
}

// fall ends the boot and starts a cold one. The caller holds mu.
func (s *Server) fall(counter *int) {
	*counter++
	s.restart()
	s.upAgain = time.Now().Add(time.Duration(s.faults.RestartIn))
}

// respond writes the answer, or what a fault makes of it.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, job *work) {
	s.mu.Lock()
	late := time.Duration(s.faults.Late)
	cross, cut := s.faults.CrossNext > 0, s.faults.CutNext > 0
	if cross {
		s.faults.CrossNext--
	} else if cut {
		s.faults.CutNext--
	}
	s.mu.Unlock()
	time.Sleep(late)
	id := job.id
	if cross {
		id = "another-" + id
	}
	body := s.body(r, job, id)
	w.Header().Set(pimento.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut && !cross {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

func (s *Server) body(r *http.Request, job *work, id string) []byte {
	if n, err := strconv.Atoi(r.URL.Query().Get("blob")); err == nil && n >= 0 {
		return Blob(job.hash, n)
	}
	body, err := json.Marshal(Answer{
		ID: id, Upstream: s.Name, Path: strings.TrimPrefix(r.URL.Path, "/serve"),
		KeyHash: job.hash, Length: job.length, Digest: job.digest,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// refuse says that a request was not run.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(pimento.HeaderOutcome, string(pimento.OutcomeNotRun))
	http.Error(w, why, status)
}
