package connector

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestBarredWhileItDialed guards against a request that is written to an upstream that
// said, after the request had got its permit and while a probe or the dial went on, that
// it leaves.
func TestBarredWhileItDialed(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err == nil {
			p.writeAnswer("r1", "ran")
		}
	})
	c := s.client()
	var barred atomic.Bool
	c.OnDial = func() { barred.Store(true) }
	c.CheckSend = func() error {
		if barred.Load() {
			return pimento.NotRun(pimento.ReasonAvoided, "it leaves")
		}
		return nil
	}
	_, _, err := doRequest(c, "r1", http.MethodPost, "body")
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
	is.Equal(out.Reason, pimento.ReasonAvoided)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(s.received()), 0)
}

// barringBody is a short body that arrives late: its upstream is barred meanwhile.
type barringBody struct {
	io.Reader
	bar func()
}

// Read implements io.Reader.
func (b *barringBody) Read(p []byte) (int, error) {
	b.bar()
	return b.Reader.Read(p)
}

// TestBarredWhileBodyArrived guards against a request that is written, after its caller has
// sent its body slowly, to an upstream that has said meanwhile that it leaves.
func TestBarredWhileBodyArrived(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err == nil {
			p.writeAnswer("r1", "ran")
		}
	})
	c := s.client()
	barred := false
	c.CheckSend = func() error {
		if barred {
			return pimento.NotRun(pimento.ReasonAvoided, "it leaves")
		}
		return nil
	}
	body := &barringBody{Reader: strings.NewReader(strings.Repeat("x", bufferSize)), bar: func() { barred = true }}
	r := newRequest("r1", http.MethodPost, "")
	r.BodyLength = bufferSize
	_, _, err := c.Send(t.Context(), r, body)
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
	is.Equal(out.Reason, pimento.ReasonAvoided)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(s.received()), 0)
}

// TestEveryAnswerIsHeard guards against news that is read from the answers to requests
// alone, or from those of another upstream.
func TestEveryAnswerIsHeard(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\nRetry-After: 2\r\n"
	for _, c := range []struct {
		name, answer string
		calls        func(t *testing.T, c *Client)
		heard        int32 // answers
	}{
		{"answer", "200 OK\r\nPimentorelay-Attempt-Id: r1\r\n", request, 1},
		{"refusal", "503 Busy\r\nPimentorelay-Not-Executed: 1\r\n", request, 1},
		{"answer with another ID", "200 OK\r\nPimentorelay-Attempt-Id: r0\r\n", request, 1},
		{"misdirected", "421 Misdirected\r\nPimentorelay-Not-Executed: 1\r\n", request, 0},
		{"of another upstream", "200 OK\r\nPimentorelay-Attempt-Id: r1\r\nPimentorelay-Instance-Id: i-2\r\n", request, 0},
		{"probe", "503 Draining\r\nPimentorelay-Instance-Id: i-1\r\n", func(t *testing.T, c *Client) { c.Probe(t.Context(), "/healthz") }, 1},
		{"grant", "200 OK\r\n", func(t *testing.T, c *Client) { c.Grant(t.Context(), pimento.KeyGrant{}) }, 1},
		{"release", "200 OK\r\n", func(t *testing.T, c *Client) { c.Release(t.Context(), pimento.AllKeys, 1, time.Second) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(p *peer) {
				if _, err := p.readRequest(true); err == nil {
					fmt.Fprintf(p, "HTTP/1.1 %s%sContent-Length: 0\r\n\r\n", c.answer, leaving)
				}
			})
			client := s.client()
			var heard atomic.Int32
			client.OnAnswer = func(_ time.Time, m pimento.AnswerMetadata) {
				if m.Leaving {
					heard.Add(1)
				}
			}
			c.calls(t, client)
			is.Equal(heard.Load(), c.heard)
		})
	}
}

func request(_ *testing.T, c *Client) { doRequest(c, "r1", http.MethodGet, "") }

// TestStaleAnswerIsHeard guards against news in a discarded answer to an earlier request.
func TestStaleAnswerIsHeard(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		for _, id := range []string{"r1", "r2"} {
			if _, err := p.readRequest(true); err != nil {
				return
			}
			if id == "r2" {
				p.writeAnswer("r0", "", "Server-Leaving: 1")
			}
			p.writeAnswer(id, "ok")
		}
	})
	c := s.client()
	leaving := false
	c.OnAnswer = func(_ time.Time, m pimento.AnswerMetadata) { leaving = leaving || m.Leaving }
	_, _, err := doRequest(c, "r1", http.MethodGet, "")
	is.NoErr(err)
	is.True(!leaving)
	_, _, err = doRequest(c, "r2", http.MethodGet, "")
	is.NoErr(err)
	is.True(leaving)
}

// TestRefusalOfAnotherRequest guards against a request that may have run and is told not
// to have, because the refusal of another one came instead.
func TestRefusalOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err == nil {
			p.writeAnswer("r0", "", "Pimentorelay-Not-Executed: 1")
		}
	})
	_, _, err := doRequest(s.client(), "r1", http.MethodPost, "body")
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeUnknown)
}

// TestBodyThatBreaksOffIsNotSent guards against an upstream that is blamed for a request
// whose caller broke off its body before any of it was written.
func TestBodyThatBreaksOffIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) { p.readRequest(true) })
	r := newRequest("1", "POST", "twelve bytes")
	_, _, err := s.client().Send(t.Context(), r, strings.NewReader("six"))
	is.Equal(outcomeOf(err), pimento.OutcomeNotRun)
	var outcome *pimento.OutcomeError
	is.True(errors.As(err, &outcome))
	is.Equal(outcome.Reason, pimento.ReasonBodyCut)
	is.Equal(len(s.received()), 0)
}
