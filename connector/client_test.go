package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

// fakeServer is an upstream that serves each connection with a function of its own.
type fakeServer struct {
	mu       sync.Mutex
	requests []string // "METHOD PATH ID", in the order of their heads
	bodies   []string
	address  netip.AddrPort
	stop     func() // ends the listening
}

// peer is the server's end of one connection.
type peer struct {
	net.Conn
	r *bufio.Reader
	s *fakeServer
}

// readRequest reads the head of a request and, if readBody is set, its body.
func (p *peer) readRequest(readBody bool) (*http.Request, error) {
	req, err := http.ReadRequest(p.r)
	if err != nil {
		return nil, err
	}
	p.s.mu.Lock()
	p.s.requests = append(p.s.requests, req.Method+" "+req.RequestURI+" "+req.Header.Get("Pimentorelay-Attempt-Id"))
	p.s.mu.Unlock()
	if readBody {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		p.s.mu.Lock()
		p.s.bodies = append(p.s.bodies, string(body))
		p.s.mu.Unlock()
	}
	return req, nil
}

// writeAnswer writes an answer with the given ID and body.
func (p *peer) writeAnswer(id, body string, headers ...string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\nContent-Length: %d\r\n", id, len(body))
	for _, h := range headers {
		fmt.Fprintf(p, "%s\r\n", h)
	}
	fmt.Fprintf(p, "\r\n%s", body)
}

// TestSuccessThatSaysNotRun guards against a request that is sent again after a success, as
// the answer says that it was not run as well.
func TestSuccessThatSaysNotRun(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err == nil {
			p.writeAnswer("a-1", "done", "Pimentorelay-Not-Executed: 1")
		}
	})
	r := &pimento.Request{ID: "a-1", Method: http.MethodPost, Path: "/orders", Deadline: time.Now().Add(time.Second)}
	answer, _, err := s.client().Send(t.Context(), r, nil)
	is.NoErr(err)
	is.Equal(answer.Head.Status, http.StatusOK)
}

// reset closes the connection with a TCP reset.
func (p *peer) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

func (s *fakeServer) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// newFakeServer serves the n-th connection with the n-th handler, and all further
// ones with the last.
func newFakeServer(t *testing.T, handlers ...func(*peer)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &fakeServer{address: netip.MustParseAddrPort(l.Addr().String()), stop: func() { l.Close() }}
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			handle := handlers[min(n, len(handlers)-1)]
			go func() {
				defer conn.Close()
				handle(&peer{Conn: conn, r: bufio.NewReader(conn), s: s})
			}()
		}
	}()
	return s
}

func (s *fakeServer) client() *Client {
	return &Client{Server: pimento.Server{Name: "i-1", Address: s.address}, Wire: platform.Wire{}}
}

func newRequest(id, method, body string) *pimento.Request {
	h := http.Header{}
	h.Set("Pimentorelay-Attempt-Id", id)
	return &pimento.Request{
		ID: id, Method: method, Path: "/a/b?c=d%20e", Host: "x.example", Header: h, BodyLength: int64(len(body)), Deadline: time.Now().Add(2 * time.Second),
	}
}

// doRequest sends a request and reads the complete answer.
func doRequest(c *Client, id, method, body string) (string, pimento.AnswerMetadata, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, metadata, err := c.Send(ctx, newRequest(id, method, body), strings.NewReader(body))
	if err != nil {
		return "", metadata, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), metadata, err
}

func outcomeOf(err error) pimento.Outcome {
	var outcomeErr *pimento.OutcomeError
	if errors.As(err, &outcomeErr) {
		return outcomeErr.Outcome
	}
	return pimento.OutcomeAnswered
}

// TestRequestIsNeverSentAgain checks that a request whose reused connection turns
// out to be closed fails, whatever its method and headers: the transport of
// net/http would resend GETs and requests with an idempotency key.
func TestRequestIsNeverSentAgain(t *testing.T) {
	for _, c := range []struct{ method, body, header string }{
		{"GET", "", ""}, {"HEAD", "", ""}, {"DELETE", "", ""}, {"PUT", "x", ""}, {"POST", "x", ""},
		{"POST", "x", "Idempotency-Key"}, {"POST", "", "X-Idempotency-Key"},
	} {
		t.Run(c.method+c.header, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(p *peer) {
				if _, err := p.readRequest(true); err != nil {
					return
				}
				p.writeAnswer("one", "ok")
				if _, err := p.readRequest(true); err != nil { // the request begins to run
					return
				}
				p.reset()
			})
			client := s.client()
			_, _, err := doRequest(client, "one", "GET", "")
			is.NoErr(err)
			r := newRequest("two", c.method, c.body)
			if c.header != "" {
				r.Header.Set(c.header, "k")
			}
			_, _, err = client.Send(context.Background(), r, strings.NewReader(c.body))
			is.Equal(outcomeOf(err), pimento.OutcomeUnknown)
			time.Sleep(30 * time.Millisecond)
			is.Equal(len(s.received()), 2) // each was sent once
		})
	}
}

// TestTransportOfNetHTTPSendsAgain shows why the transport of net/http is not
// used: it resends a GET whose reused connection was reset.
func TestTransportOfNetHTTPSendsAgain(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("one", "ok")
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.reset()
	})
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		res, err := client.Get("http://" + s.address.String() + "/x")
		if err != nil {
			continue
		}
		_, err = io.ReadAll(res.Body)
		is.NoErr(err)
		res.Body.Close()
	}
	is.True(len(s.received()) > 2)
}

func TestFaultyAnswers(t *testing.T) {
	respondAll := func(respond func(*peer, string)) func(*peer) {
		return func(p *peer) {
			for {
				req, err := p.readRequest(true)
				if err != nil {
					return
				}
				respond(p, req.Header.Get("Pimentorelay-Attempt-Id"))
			}
		}
	}
	for _, c := range []struct {
		name      string
		respond   func(*peer, string)
		want      pimento.Outcome
		truncated bool // the body is truncated
	}{
		{"whole", func(p *peer, id string) { p.writeAnswer(id, "body") }, pimento.OutcomeAnswered, false},
		{"reset without an answer", func(p *peer, _ string) { p.reset() }, pimento.OutcomeUnknown, false},
		{"closed without an answer", func(p *peer, _ string) { p.Close() }, pimento.OutcomeUnknown, false},
		{"answer is not HTTP", func(p *peer, _ string) { io.WriteString(p, "garbage\r\n\r\n"); p.Close() }, pimento.OutcomeUnknown, false},
		{"answer to another request", func(p *peer, _ string) { p.writeAnswer("other", "body") }, pimento.OutcomeUnknown, false},
		{"answer without an ID", func(p *peer, _ string) { io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }, pimento.OutcomeUnknown, false},
		{"shorter than its length", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\nContent-Length: 10\r\n\r\nshort", id)
			p.Close()
		}, pimento.OutcomeAnswered, true},
		{"without a length, then a reset", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\n\r\npart", id)
			time.Sleep(20 * time.Millisecond)
			p.reset()
		}, pimento.OutcomeAnswered, true},
		{"without a length, then closed", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\n\r\nwhole", id)
			p.Close()
		}, pimento.OutcomeAnswered, false},
		{"without the last chunk", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", id)
			p.Close()
		}, pimento.OutcomeAnswered, true},
		{"refused as not run", func(p *peer, _ string) {
			io.WriteString(p, "HTTP/1.1 503 Full\r\nPimentorelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}, pimento.OutcomeNotRun, false},
		{"another run of the upstream", func(p *peer, _ string) {
			io.WriteString(p, "HTTP/1.1 421 Misdirected\r\nPimentorelay-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n")
		}, pimento.OutcomeNotRun, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newFakeServer(t, respondAll(c.respond)).client()
			_, _, err := doRequest(client, "one", "GET", "")
			if c.truncated {
				is.True(err != nil)
				var outcomeErr *pimento.OutcomeError
				is.True(!errors.As(err, &outcomeErr)) // the head arrived, the body was truncated
				return
			}
			is.Equal(outcomeOf(err), c.want)
		})
	}
}

// TestBytesAfterAnAnswer checks that bytes after a complete answer are not read
// as the answer to the next request, whether they arrive at once or later.
func TestBytesAfterAnAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			first := func(p *peer) {
				if _, err := p.readRequest(true); err != nil {
					return
				}
				p.writeAnswer("one", "1")
				if late {
					time.Sleep(20 * time.Millisecond)
				}
				p.writeAnswer("one", "extra")
				p.readRequest(true)
			}
			second := func(p *peer) {
				if _, err := p.readRequest(true); err != nil {
					return
				}
				p.writeAnswer("two", "2")
			}
			client := newFakeServer(t, first, second).client()
			text, _, err := doRequest(client, "one", "GET", "")
			is.NoErr(err)
			is.Equal(text, "1")
			time.Sleep(50 * time.Millisecond)
			text, _, err = doRequest(client, "two", "GET", "")
			is.NoErr(err)
			is.Equal(text, "2")
		})
	}
}

// TestLateSecondAnswerIsSkipped checks that a second answer to an earlier request
// is not taken for the answer to the next one.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("one", "1")
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("one", "again")
		p.writeAnswer("two", "2")
	})
	client := s.client()
	_, _, err := doRequest(client, "one", "GET", "")
	is.NoErr(err)
	text, _, err := doRequest(client, "two", "POST", "x")
	is.NoErr(err)
	is.Equal(text, "2")
	is.Equal(len(s.received()), 2)
}

// TestEarlyAnswer checks that a connection is not reused if its upstream answered
// before the request's body was sent in full.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	var served sync.WaitGroup
	served.Add(1)
	first := func(p *peer) {
		defer served.Done()
		if _, err := p.readRequest(false); err != nil {
			return
		}
		p.writeAnswer("one", "early")
		rest, err := io.ReadAll(p.r) // until the connection is closed
		is.True(err == nil || errors.Is(err, syscall.ECONNRESET))
		is.True(!strings.Contains(string(rest), "GET "))
	}
	second := func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("two", "2")
	}
	client := newFakeServer(t, first, second).client()
	body, bodyWriter := io.Pipe()
	go bodyWriter.Write([]byte("begin"))
	r := newRequest("one", "POST", "")
	r.BodyLength = 100000
	answer, _, err := client.Send(context.Background(), r, body)
	is.NoErr(err)
	text, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(string(text), "early")
	answer.Body.Close()
	text2, _, err := doRequest(client, "two", "GET", "")
	is.NoErr(err)
	is.Equal(text2, "2")
	bodyWriter.Close()
	served.Wait()
}

// TestHangingUpstream checks that a request to an upstream that never answers
// ends when its context does, and that its connection is not reused.
func TestHangingUpstream(t *testing.T) {
	is := is.New(t)
	hang := func(p *peer) {
		for {
			if _, err := p.readRequest(true); err != nil {
				return
			}
		}
	}
	s := newFakeServer(t, hang)
	client := s.client()
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _, err := client.Send(ctx, newRequest(fmt.Sprint(i), "GET", ""), nil)
		cancel()
		var outcomeErr *pimento.OutcomeError
		is.True(errors.As(err, &outcomeErr))
		is.Equal(outcomeErr.Outcome, pimento.OutcomeUnknown)
		is.Equal(outcomeErr.Reason, pimento.ReasonTimeout)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	is.Equal(len(client.idle), 0)
}

// TestCallerDisconnect checks that the connection is closed when the caller
// disconnects, which cancels the request at the upstream.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	client := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.r.ReadByte()
		close(closed)
	}).client()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, _, err := client.Send(ctx, newRequest("one", "GET", ""), nil)
	var outcomeErr *pimento.OutcomeError
	is.True(errors.As(err, &outcomeErr))
	is.Equal(outcomeErr.Reason, pimento.ReasonCallerGone)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream is still open 1 s after the caller disconnected")
	}
}

// TestIdleConnection checks that an idle connection is no longer reused some time
// before the upstream closes it.
func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		for {
			req, err := p.readRequest(true)
			if err != nil {
				return
			}
			p.writeAnswer(req.Header.Get("Pimentorelay-Attempt-Id"), "ok", "Keep-Alive: timeout=10")
		}
	})
	dials := 0
	client := s.client()
	client.OnDial = func() { dials++ }
	for range 3 {
		_, _, err := doRequest(client, "one", "GET", "")
		is.NoErr(err)
	}
	is.Equal(dials, 1)
	client.mu.Lock()
	remaining := time.Until(client.idle[0].expires)
	client.idle[0].expires = time.Now()
	client.mu.Unlock()
	is.True(remaining > 6*time.Second && remaining < 8*time.Second)
	_, _, err := doRequest(client, "one", "GET", "")
	is.NoErr(err)
	is.Equal(dials, 2)
}

// TestRequestOnTheWire checks what is sent to the upstream: the unchanged path,
// the caller's headers, the time left, and the only upstream that may run the
// request.
func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	var raw strings.Builder
	s := newFakeServer(t, func(p *peer) {
		p.r = bufio.NewReader(io.TeeReader(p.Conn, &raw))
		req, err := p.readRequest(true)
		if err != nil {
			return
		}
		got = req
		p.writeAnswer("one", "ok")
	})
	client := s.client()
	r := newRequest("one", "POST", "hello")
	r.Header.Set("X-Other", "kept")
	answer, _, err := client.Send(context.Background(), r, strings.NewReader("hello"))
	is.NoErr(err)
	answer.Body.Close()
	is.Equal(got.RequestURI, "/a/b?c=d%20e")
	is.Equal(got.Host, "x.example")
	is.Equal(got.Header.Get("X-Other"), "kept")
	is.Equal(got.Header.Get("Pimentorelay-Target-Instance"), "i-1")
	is.True(strings.Contains(raw.String(), "Content-Length: 5\r\n"))
	is.True(!strings.Contains(raw.String(), "User-Agent"))
	var ms int
	_, err = fmt.Sscan(got.Header.Get("Pimentorelay-Deadline-Ms"), &ms)
	is.NoErr(err)
	is.True(ms > 1500 && ms <= 2000)
}

func TestChunkedBody(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		p.writeAnswer("one", "ok")
	})
	r := newRequest("one", "POST", "")
	r.BodyLength = -1
	answer, _, err := s.client().Send(context.Background(), r, strings.NewReader(strings.Repeat("x", 100000)))
	is.NoErr(err)
	answer.Body.Close()
	is.Equal(len(s.bodies[0]), 100000)
}

// TestControlCallToWrongUpstream checks that control calls name their upstream,
// so that another one that now has the address does not carry them out, and that
// such a grant counts as not sent.
func TestControlCallToWrongUpstream(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		for {
			req, err := p.readRequest(true)
			if err != nil {
				return
			}
			status := "200 OK"
			if target := req.Header.Get("Pimentorelay-Target-Instance"); target != "" && target != "i-2" {
				status = "421 Misdirected Request"
			}
			fmt.Fprintf(p, "HTTP/1.1 %s\r\nPimentorelay-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n", status)
		}
	})
	client := s.client() // for i-1, whose address i-2 now has
	keyRange := pimento.KeyRange{From: 1, To: 2}
	var unreachable *pimento.UnreachableError
	is.True(errors.As(client.Grant(t.Context(), pimento.KeyGrant{Range: keyRange, Fence: 3, Hold: time.Second}), &unreachable))
	is.True(unreachable.Unsent)
	_, err := client.Release(t.Context(), keyRange, 4, time.Second)
	is.True(errors.As(err, &unreachable))
	_, _, err = client.Probe(t.Context(), "/healthz")
	is.True(errors.As(err, &unreachable)) // the health of i-2 says nothing about i-1
}

// TestNoGrantAfterRestart checks that an upstream that closed an idle connection
// is probed before a grant is renewed: one that is cold has restarted and must not
// get the keys of its former run. After restartWindow, by when the store shows the
// restart, grants are sent again.
func TestNoGrantAfterRestart(t *testing.T) {
	for name, warmupHeader := range map[string]string{"restarted": "Pimentorelay-Warmup-Ms: 2500\r\n", "connection closed only": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answerNext := func(p *peer, header string) bool {
				_, err := p.readRequest(true)
				fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Instance-Id: i-1\r\n%sContent-Length: 0\r\n\r\n", header)
				return err == nil
			}
			s := newFakeServer(t, func(p *peer) {
				answerNext(p, "")
				p.Close()
			}, func(p *peer) {
				for answerNext(p, warmupHeader) {
				}
			})
			client := s.client()
			client.HealthPath = "/healthz"
			g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 2}, Fence: 3, Hold: time.Second}
			is.NoErr(client.Grant(t.Context(), g))
			time.Sleep(30 * time.Millisecond)
			err := client.Grant(t.Context(), g)
			received := s.received()
			is.Equal(received[1], "GET /healthz ")
			if warmupHeader == "" {
				is.NoErr(err)
				is.Equal(len(received), 3)
				return
			}
			var unreachable *pimento.UnreachableError
			is.True(errors.As(err, &unreachable))
			is.True(unreachable.Unsent)
			is.Equal(len(received), 2) // the grant was not sent
			client.closedEarlyAt = time.Now().Add(-2 * restartWindow)
			is.NoErr(client.Grant(t.Context(), g))
		})
	}
}

// TestGrantToABusyUpstream guards against keys that lapse at a sound upstream,
// because it has closed an idle connection early and is too busy to answer a probe.
func TestGrantToABusyUpstream(t *testing.T) {
	const grantTimeout = 600 * time.Millisecond
	is := is.New(t)
	grant := func(p *peer) bool {
		req, err := p.readRequest(true)
		if err != nil {
			return false
		}
		if req.Method == http.MethodGet { // a probe waits for a slot and gets none
			if _, err := p.Read(make([]byte, 1)); err != nil {
				return false
			}
		}
		fmt.Fprint(p, "HTTP/1.1 200 OK\r\nPimentorelay-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	s := newFakeServer(t, func(p *peer) {
		grant(p)
		p.Close()
	}, func(p *peer) {
		for grant(p) {
		}
	})
	client := s.client()
	client.HealthPath = "/healthz"
	g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 2}, Fence: 3, Hold: time.Second}
	for range 3 { // the first one before, the others after the early close
		ctx, cancel := context.WithTimeout(t.Context(), grantTimeout)
		is.NoErr(client.Grant(ctx, g))
		cancel()
		time.Sleep(30 * time.Millisecond)
	}
}

// TestNoRequestAfterColdRestart checks that a request is not sent to an upstream
// that has restarted and is cold before its dispatcher knows, and that the
// upstream is probed only once.
func TestNoRequestAfterColdRestart(t *testing.T) {
	is := is.New(t)
	answerNext := func(p *peer) bool {
		req, err := p.readRequest(true)
		if err != nil {
			return false
		}
		p.writeAnswer(req.Header.Get("Pimentorelay-Attempt-Id"), "x", "Pimentorelay-Instance-Id: i-1", "Pimentorelay-Warmup-Ms: 2500")
		return true
	}
	s := newFakeServer(t, func(p *peer) {
		answerNext(p)
		p.Close()
	}, func(p *peer) {
		for answerNext(p) {
		}
	})
	client := s.client()
	client.HealthPath = "/healthz"
	_, _, err := doRequest(client, "1", "POST", "body")
	is.NoErr(err)
	time.Sleep(30 * time.Millisecond)
	_, metadata, err := doRequest(client, "2", "POST", "body")
	is.Equal(outcomeOf(err), pimento.OutcomeNotRun)
	is.Equal(metadata.ColdFor, 2500*time.Millisecond) // reported to the dispatcher
	_, _, err = doRequest(client, "3", "POST", "body")
	is.NoErr(err)
	is.Equal(s.received(), []string{"POST /a/b?c=d%20e 1", "GET /healthz ", "POST /a/b?c=d%20e 3"})
}

func TestControl(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nPimentorelay-Handover: 5c0e\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
	}
	var calls atomic.Int32 // on all connections
	s := newFakeServer(t, func(p *peer) {
		for {
			if _, err := p.readRequest(true); err != nil {
				return
			}
			if n := int(calls.Add(1)); n <= len(answers) {
				io.WriteString(p, answers[n-1])
			}
		}
	})
	client := s.client()
	g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 2}, Fence: 3, Hold: time.Second}
	is.NoErr(client.Grant(ctx, g))
	var fenced *pimento.FencedError
	is.True(errors.As(client.Grant(ctx, g), &fenced))
	handover, err := client.Release(ctx, g.Range, 4, time.Second)
	is.NoErr(err)
	is.Equal(handover, "5c0e")
	var unreachable *pimento.UnreachableError
	is.True(errors.As(client.Grant(ctx, g), &unreachable))
	is.True(!unreachable.Unsent)
	ctx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	is.True(errors.As(client.Grant(ctx, g), &unreachable)) // no answer
	is.True(!unreachable.Unsent)

	noListener := &Client{Server: pimento.Server{Address: netip.MustParseAddrPort("127.0.0.1:1")}, Wire: platform.Wire{}}
	is.True(errors.As(noListener.Grant(context.Background(), g), &unreachable))
	is.True(unreachable.Unsent) // connection refused
}
