package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"
)

const (
	// uploads is how many uploads are sent to each machine, one after the other.
	uploads = 50
	// uploadBytes, pieceBytes and piecePause make an upload of about 5 Mbit/s.
	uploadBytes = 256 << 10
	pieceBytes  = 16 << 10
	piecePause  = 25 * time.Millisecond
	// uploadTimeLimit is the consumer's time limit.
	uploadTimeLimit = 5 * time.Second
	// earlyFor is how long servers reject requests at a time, earlyPause the time between.
	earlyFor   = 6 * time.Second
	earlyPause = 3 * time.Second
	// rejectedShare is the share of requests that a faulty server rejects before they
	// are in.
	rejectedShare = 0.4
)

// uploadRoute is a route for uploads, like those of the smaller site files.
var uploadRoute = []any{"r-video", "video.example", "/video/", "upload", 4.5, 0.8, 1, nil, 2, "runreel"}

// playUpload sends uploads in chunks on lines of some Mbit/s. Most servers of the
// service reject a part of the requests before they are in. The rule is UNASKED: no
// server may run a request whose body was changed.
func playUpload(s *setup) (int, error) {
	f, err := newFleet(s.program, s.record, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	f.store.Put("config", "main", manifest(uploadRoute, "runreel", false))
	w := &windows{on: earlyFor, off: earlyPause}
	var servers []*instance
	for i := range 8 {
		server := &instance{id: fmt.Sprintf("i-%d", i+1), service: "runreel", zone: zoneName(i % 3), slots: 4, work: 100 * time.Millisecond, record: s.record}
		if s.trouble && i < 5 {
			server.reject = func(attempt string) bool { return w.active() && chosen("early "+server.id+attempt, rejectedShare) }
		}
		if err := server.start(); err != nil {
			return 0, err
		}
		f.store.Put("servers", server.id, server.entry())
		servers = append(servers, server)
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	w.start()
	sent := sendUploads(f)
	return checkBodies(s.record, servers, sent)
}

// sentUploads holds the digests of what was sent, by attempt.
type sentUploads struct {
	mu       sync.Mutex
	digests  map[string]string
	answered int
}

// sendUploads sends the uploads to all machines and waits for their answers.
func sendUploads(f *fleet) *sentUploads {
	sent := &sentUploads{digests: make(map[string]string)}
	var all sync.WaitGroup
	for i, m := range f.machines {
		all.Go(func() {
			for n := range uploads {
				sent.send(f.record, m, fmt.Sprintf("a%d-%02d", i+1, n+1))
			}
		})
	}
	all.Wait()
	return sent
}

// send sends one upload on a connection of its own, in chunks.
func (u *sentUploads) send(rec *record, m *machine, attempt string) {
	body := make([]byte, uploadBytes)
	src := rand.NewChaCha8(sha256.Sum256([]byte(attempt)))
	src.Read(body)
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	u.mu.Lock()
	u.digests[attempt] = digest
	u.mu.Unlock()
	rec.printf("consumer: attempt %s: sends %d bytes to %s, SHA-256 %s", attempt, len(body), m.name, digest)
	status, err := upload(m.front, attempt, body)
	rec.printf("consumer: attempt %s: status %d, error %v", attempt, status, err)
	if status == http.StatusOK {
		u.mu.Lock()
		u.answered++
		u.mu.Unlock()
	}
}

// upload sends a body in chunks and returns the status of the answer.
func upload(address, attempt string, body []byte) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(uploadTimeLimit)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(c, "POST /video/%s HTTP/1.1\r\nHost: video.example\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		attempt, headerAttempt, attempt, headerDeadline, uploadTimeLimit.Milliseconds())
	if err != nil {
		return 0, err
	}
	go func() {
		// An error of a write shows in the answer, or in its absence.
		w := httputil.NewChunkedWriter(c)
		for rest := body; len(rest) > 0; rest = rest[pieceBytes:] {
			if _, err := w.Write(rest[:pieceBytes]); err != nil {
				return
			}
			time.Sleep(piecePause)
		}
		if w.Close() == nil {
			io.WriteString(c, "\r\n")
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// checkBodies returns how many requests ran with another body than that which was sent.
func checkBodies(rec *record, servers []*instance, sent *sentUploads) (int, error) {
	runs, changed := 0, 0
	for _, s := range servers {
		for _, r := range s.allRuns() {
			runs++
			if want := sent.digests[r.attempt]; r.digest != want {
				changed++
				rec.printf("UNASKED: instance %s ran attempt %s with a changed body: %d bytes of %d, SHA-256 %s, sent %s",
					r.instance, r.attempt, r.bytes, uploadBytes, r.digest, want)
			}
		}
	}
	rec.printf("%d attempts sent, %d answered 200, %d runs, %d with a changed body", len(sent.digests), sent.answered, runs, changed)
	if runs == 0 {
		return 0, errors.New("nothing ran")
	}
	return changed, nil
}
