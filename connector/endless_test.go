package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// flood writes text without end until the connection is closed.
func flood(p *peer, text string) {
	chunk := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	for {
		if _, err := p.Write(chunk); err != nil {
			return
		}
	}
}

// TestAnswerWithoutEnd guards against an upstream that sends bytes without end, in
// a head or a body: it may cost little memory, no time beyond the deadline, and
// only its connection.
func TestAnswerWithoutEnd(t *testing.T) {
	const (
		timeout   = 400 * time.Millisecond
		margin    = 250 * time.Millisecond // after the deadline
		maxMemory = 8 << 20                // bytes allocated for one request
	)
	answer := func(p *peer, id, status, headers string) {
		fmt.Fprintf(p, "HTTP/1.1 %s\r\nPimentorelay-Attempt-Id: %s\r\n%s\r\n", status, id, headers)
	}
	for _, c := range []struct {
		name   string
		server func(p *peer) // after it has read the request
		early  bool          // the answer is known to be faulty before the deadline
	}{
		{"head of many lines", func(p *peer) {
			fmt.Fprint(p, "HTTP/1.1 200 OK\r\n")
			flood(p, "X-Filler: some text that goes on\r\n")
		}, true},
		{"head of one line", func(p *peer) {
			fmt.Fprint(p, "HTTP/1.1 200 OK\r\nX-Filler: ")
			flood(p, "on and on ")
		}, true},
		{"status line", func(p *peer) { flood(p, "HTTP/1.1 200 OK and on ") }, true},
		{"bytes that are no answer", func(p *peer) { flood(p, "\x00\xff") }, true},
		{"interim answers", func(p *peer) { flood(p, "HTTP/1.1 103 Early Hints\r\n\r\n") }, true},
		{"body without length", func(p *peer) {
			answer(p, "x1", "200 OK", "Connection: close\r\n")
			flood(p, "body")
		}, false},
		{"body in chunks", func(p *peer) {
			answer(p, "x1", "200 OK", "Transfer-Encoding: chunked\r\n")
			flood(p, "4\r\nbody\r\n")
		}, false},
		{"chunk extension", func(p *peer) {
			answer(p, "x1", "200 OK", "Transfer-Encoding: chunked\r\n")
			fmt.Fprint(p, "4;")
			flood(p, "extension=on")
		}, true},
		{"trailer", func(p *peer) {
			answer(p, "x1", "200 OK", "Transfer-Encoding: chunked\r\n")
			fmt.Fprint(p, "0\r\n")
			flood(p, "X-Filler: some text that goes on\r\n")
		}, true},
		{"body of a refusal", func(p *peer) {
			answer(p, "x1", "503 Service Unavailable", "Pimentorelay-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n")
			flood(p, "4\r\nbody\r\n")
		}, true},
		{"slow head", func(p *peer) {
			fmt.Fprint(p, "HTTP/1.1 200 OK\r\nX-Filler: ")
			for {
				if _, err := p.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var open atomic.Int32
			s := newFakeServer(t, func(p *peer) {
				open.Add(1)
				defer open.Add(-1)
				if _, err := p.readRequest(true); err == nil {
					c.server(p)
				}
			})
			client := s.client()
			defer client.Close()
			r := newRequest("x1", "GET", "")
			r.Deadline = time.Now().Add(timeout)
			ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a, _, err := client.Send(ctx, r, strings.NewReader(""))
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			late := time.Since(r.Deadline)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(late < margin)
			if c.early {
				is.True(late < -timeout/4)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > maxMemory {
				t.Errorf("%d bytes allocated, expected %d at most", used, maxMemory)
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(open.Load(), int32(0)) // the connection is closed
		})
	}
}

// TestLateAnswerWithoutEnd guards against a second answer without end, where the
// next answer is due.
func TestLateAnswerWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("x1", "ok")
		if _, err := p.readRequest(true); err != nil {
			return
		}
		fmt.Fprint(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: x1\r\nTransfer-Encoding: chunked\r\n\r\n")
		flood(p, "4\r\nbody\r\n")
	})
	client := s.client()
	defer client.Close()
	send := func(id string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a, _, err := client.Send(ctx, newRequest(id, "GET", ""), strings.NewReader(""))
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
		return err
	}
	is.NoErr(send("x1"))
	start := time.Now()
	err := send("x2")
	var outcome *pimento.OutcomeError
	is.True(errors.As(err, &outcome))
	is.Equal(outcome.Outcome, pimento.OutcomeUnknown)
	is.True(time.Since(start) < 500*time.Millisecond) // not only at the deadline
}

// TestControlReplyWithoutEnd is TestAnswerWithoutEnd for grants and probes.
func TestControlReplyWithoutEnd(t *testing.T) {
	for _, c := range []struct{ name, start, text string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X-Filler: some text that goes on\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(p *peer) {
				if _, err := p.readRequest(true); err == nil {
					fmt.Fprint(p, c.start)
					flood(p, c.text)
				}
			})
			client := s.client()
			defer client.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			err := client.Grant(t.Context(), pimento.KeyGrant{Fence: 1, Hold: time.Second})
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			t.Logf("%v after %s", err, took)
			is.True(took < 300*time.Millisecond)
			is.True(after.TotalAlloc-before.TotalAlloc < 8<<20)
		})
	}
}
