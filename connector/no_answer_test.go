package connector

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestStatusThatIsNone guards against bytes that are no answer and pass for one, since they
// look like a status line.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Nope", "HTTP/1.1 099 Nope", "HTTP/1.1 +12 Nope", "HTTP/1.1 600 Nope", "HTTP/1.1 999 Nope", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 20 Nope", "HTTP/1.1 2000 Nope", "HTTP/1.1 abc Nope", "HTTP/1.1", "nothing",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(p *peer) {
				p.readRequest(true)
				fmt.Fprintf(p, "%s\r\nPimentorelay-Attempt-Id: r1\r\nContent-Length: 2\r\n\r\nok", line)
				p.readRequest(true)
			})
			c := s.client()
			_, _, err := doRequest(c, "r1", http.MethodGet, "")
			is.Equal(outcomeOf(err), pimento.OutcomeUnknown)
			is.True(!c.HasIdleConn(time.Now()))
			_, _, err = c.Probe(t.Context(), "/healthz")
			is.True(err != nil)
		})
	}
}

// TestResetDuringABodyIsNoEnd guards against a part of an answer without a length that passes
// for the whole, since its connection was reset while the body of the request was still being
// written: the write may take the error of the reset, so that the read only sees an end.
func TestResetDuringABodyIsNoEnd(t *testing.T) {
	const requests = 200
	part := strings.Repeat("p", 3000)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(false); err != nil {
			return
		}
		fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: r1\r\n\r\n%s", part)
		time.Sleep(2 * time.Millisecond)
		p.reset()
	})
	c := s.client()
	for range requests {
		answer, _, err := doRequest(c, "r1", http.MethodPost, strings.Repeat("x", 8<<20))
		if err == nil {
			t.Fatalf("%d bytes of an answer pass for the whole", len(answer))
		}
	}
}

// TestAnswerThatEndsWithItsConnection checks that an answer without a length is whole if its
// connection ends in order and the body of the request was taken.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		p.readRequest(true)
		fmt.Fprint(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: r1\r\n\r\nwhole")
	})
	c := s.client()
	body, _, err := doRequest(c, "r1", http.MethodPost, strings.Repeat("x", 1<<20))
	is.NoErr(err)
	is.Equal(body, "whole")
}
