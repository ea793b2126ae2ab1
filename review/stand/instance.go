package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The headers of the platform's wire.
const (
	headerAttempt   = "Pimentorelay-Attempt-Id"
	headerDeadline  = "Pimentorelay-Deadline-Ms"
	headerTarget    = "Pimentorelay-Target-Instance"
	headerInstance  = "Pimentorelay-Instance-Id"
	headerNotRun    = "Pimentorelay-Not-Executed"
	headerLoad      = "Pimentorelay-Server-Load"
	headerSignature = "Pimentorelay-Response-Signature"
)

// run is a request that an instance ran.
type run struct {
	instance string
	attempt  string
	bytes    int64
	digest   string // SHA-256 of the body, hexadecimal
}

// instance is a stand-in for a server of one service. It reads a whole request, works
// on it and answers it.
type instance struct {
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	record  *record
	// reject reports whether a request is rejected before its body is in, as by a
	// server that is full. It may be nil.
	reject func(attempt string) bool
	// answerBytes is the length of the answers, zero for a short text.
	answerBytes int
	// repeats reports whether an answer is sent once more, late: in front of the next
	// answer of its connection. It may be nil.
	repeats func(attempt string) bool
	// onGrant is called for each grant that the instance takes; it may be nil.
	onGrant func(o order)
	// coldUntil is when an instance that started during traffic is warm.
	coldUntil time.Time
	// sharded makes the instance run only requests whose key it holds.
	sharded bool

	mu      sync.Mutex
	keys    holdings
	atWork  map[int]int   // requests that run, by key
	changed chan struct{} // closed when a request has ended
	runs    []run
	busy    chan struct{}
	l       net.Listener
	address string
	conns   map[net.Conn]bool
	born    time.Time
}

// start listens at a free port and serves.
func (s *instance) start() error { return s.startAt("127.0.0.1:0") }

// startAt listens at an address and serves.
func (s *instance) startAt(address string) error {
	s.busy = make(chan struct{}, s.slots)
	s.born = time.Now()
	s.atWork, s.changed = make(map[int]int), make(chan struct{})
	s.address = address
	return s.reconnect()
}

// reconnect listens at the address of the instance.
func (s *instance) reconnect() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.l, s.address, s.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// disconnect resets all connections, and refuses new ones.
func (s *instance) disconnect() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// It may have been closed already.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// entry returns the entry of the instance in the store.
func (s *instance) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"max_concurrency": s.slots, "state": "ready", "warmup_left_s": s.coldLeft().Seconds(), "seq": 1,
		"born": s.born.UnixMilli(),
	}
}

// coldLeft returns how much longer the instance is cold.
func (s *instance) coldLeft() time.Duration { return max(0, time.Until(s.coldUntil)) }

// serve serves the requests of one connection.
func (s *instance) serve(c net.Conn) {
	defer s.drop(c)
	r := bufio.NewReader(c)
	var late []byte // a second answer
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if len(late) > 0 {
			s.record.printf("instance %s: sends a second, late answer in front of that to %s", s.id, req.Header.Get(headerAttempt))
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		sent := &bytes.Buffer{}
		out := io.Writer(c)
		if s.repeatsAnswer(req) {
			out = io.MultiWriter(c, sent)
		}
		if err := s.handle(out, req); err != nil {
			return
		}
		late = sent.Bytes()
	}
}

// drop closes a connection.
func (s *instance) drop(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// repeatsAnswer reports whether the answer to a request is sent once more.
func (s *instance) repeatsAnswer(req *http.Request) bool {
	id := req.Header.Get(headerAttempt)
	return id != "" && s.repeats != nil && s.repeats(id)
}

// handle answers one request and reads it to its end.
func (s *instance) handle(c io.Writer, req *http.Request) error {
	id := req.Header.Get(headerAttempt)
	switch {
	case req.URL.Path == "/healthz":
		return s.answer(c, id, 200, "", fmt.Sprintf("Pimentorelay-Warmup-Ms: %d\r\n", s.coldLeft().Milliseconds()))
	case req.Header.Get(headerTarget) != s.id:
		return s.rejectRequest(c, req, id, 421)
	case isControl(req):
		return s.control(c, req)
	case id == "":
		return s.rejectRequest(c, req, id, 400)
	case s.reject != nil && s.reject(id):
		return s.rejectRequest(c, req, id, 503)
	}
	sum := sha256.New()
	n, err := io.Copy(sum, req.Body)
	if err != nil {
		s.record.printf("instance %s: attempt %s: the body broke off after %d bytes: %v", s.id, id, n, err)
		return err // such a request does not run
	}
	digest := hex.EncodeToString(sum.Sum(nil))
	done, held := s.begin(req)
	if !held {
		return s.rejectRequest(c, req, id, http.StatusMisdirectedRequest)
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{instance: s.id, attempt: id, bytes: n, digest: digest})
	s.mu.Unlock()
	s.record.printf("instance %s: attempt %s: run with a body of %d bytes, SHA-256 %s", s.id, id, n, digest)
	time.Sleep(s.work)
	done()
	body := fmt.Sprintf("done by %s\n", s.id)
	if s.answerBytes > 0 {
		body = strings.Repeat("x", s.answerBytes)
	}
	err = s.answer(c, id, 200, body, "")
	if err != nil {
		s.record.printf("instance %s: attempt %s: its answer was not taken: %v", s.id, id, err)
	}
	return err
}

// rejectRequest answers that a request is not run, and then reads on what is still due
// of it, so that the connection can be kept.
func (s *instance) rejectRequest(c io.Writer, req *http.Request, id string, status int) error {
	s.record.printf("instance %s: attempt %s: rejected with %d", s.id, id, status)
	if err := s.answer(c, id, status, "", headerNotRun+": 1\r\n"); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err
}

// answer writes an answer.
func (s *instance) answer(w io.Writer, id string, status int, body, extra string) error {
	if id != "" {
		extra += headerAttempt + ": " + id + "\r\n"
		if status == 200 {
			extra += headerSignature + ": " + id + "." + s.id + "\r\n"
		}
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerInstance, s.id, headerLoad, len(s.busy), s.slots, extra, len(body), body)
	return err
}

// allRuns returns what the instance has run.
func (s *instance) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
