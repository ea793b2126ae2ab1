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
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

// script serves the connections of a client, one function a connection.
type script struct {
	mu       sync.Mutex
	requests []string // "METHOD PATH ID", in the order of their heads
	bodies   []string
	address  netip.AddrPort
}

// peer is one connection of a script.
type peer struct {
	net.Conn
	r *bufio.Reader
	s *script
}

// next reads the head of a request and, if whole, its body.
func (p *peer) next(whole bool) (*http.Request, error) {
	req, err := http.ReadRequest(p.r)
	if err != nil {
		return nil, err
	}
	p.s.mu.Lock()
	p.s.requests = append(p.s.requests, req.Method+" "+req.RequestURI+" "+req.Header.Get("Pimentorelay-Attempt-Id"))
	p.s.mu.Unlock()
	if whole {
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

// say writes an answer with the given ID and body.
func (p *peer) say(id, body string, headers ...string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\nContent-Length: %d\r\n", id, len(body))
	for _, h := range headers {
		fmt.Fprintf(p, "%s\r\n", h)
	}
	fmt.Fprintf(p, "\r\n%s", body)
}

// reset ends the connection with a reset.
func (p *peer) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// newScript serves each connection by the function of its number, the last one
// for all further ones.
func newScript(t *testing.T, serve ...func(*peer)) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &script{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			do := serve[min(n, len(serve)-1)]
			go func() {
				defer conn.Close()
				do(&peer{Conn: conn, r: bufio.NewReader(conn), s: s})
			}()
		}
	}()
	return s
}

func (s *script) client() *Client {
	return &Client{Server: pimento.Server{Name: "i-1", Address: s.address}, Wire: platform.Wire{}}
}

func request(id, method, body string) *pimento.Request {
	h := http.Header{}
	h.Set("Pimentorelay-Attempt-Id", id)
	return &pimento.Request{
		ID: id, Method: method, Path: "/a/b?c=d%20e", Host: "x.example", Header: h, BodyLength: int64(len(body)), Deadline: time.Now().Add(2 * time.Second),
	}
}

// do sends a request and reads its answer whole.
func do(c *Client, id, method, body string) (string, pimento.AnswerMark, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, mark, err := c.Serve(ctx, request(id, method, body), strings.NewReader(body))
	if err != nil {
		return "", mark, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), mark, err
}

func outcome(err error) pimento.Outcome {
	var out *pimento.OutcomeError
	if errors.As(err, &out) {
		return out.Outcome
	}
	return pimento.OutcomeAnswered
}

// TestRequestIsNeverSentAgain holds that a kept connection that turns out to be
// closed ends its request, whatever its method and headers: net/http's
// transport would send GETs and requests with an idempotency key again.
func TestRequestIsNeverSentAgain(t *testing.T) {
	for _, c := range []struct{ method, body, header string }{
		{"GET", "", ""}, {"HEAD", "", ""}, {"DELETE", "", ""}, {"PUT", "x", ""}, {"POST", "x", ""},
		{"POST", "x", "Idempotency-Key"}, {"POST", "", "X-Idempotency-Key"},
	} {
		t.Run(c.method+c.header, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, func(p *peer) {
				if _, err := p.next(true); err != nil {
					return
				}
				p.say("one", "ok")
				if _, err := p.next(true); err != nil { // begins to work on it
					return
				}
				p.reset()
			})
			client := s.client()
			_, _, err := do(client, "one", "GET", "")
			is.NoErr(err)
			r := request("two", c.method, c.body)
			if c.header != "" {
				r.Header.Set(c.header, "k")
			}
			_, _, err = client.Serve(context.Background(), r, strings.NewReader(c.body))
			is.Equal(outcome(err), pimento.OutcomeUnknown)
			time.Sleep(30 * time.Millisecond)
			is.Equal(len(s.seen()), 2) // each was begun once
		})
	}
}

// TestTransportOfNetHTTPSendsAgain shows why net/http's transport is not used
// for requests.
func TestTransportOfNetHTTPSendsAgain(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(p *peer) {
		if _, err := p.next(true); err != nil {
			return
		}
		p.say("one", "ok")
		if _, err := p.next(true); err != nil {
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
	is.True(len(s.seen()) > 2)
}

func TestFaultyAnswers(t *testing.T) {
	answer := func(do func(*peer, string)) func(*peer) {
		return func(p *peer) {
			for {
				req, err := p.next(true)
				if err != nil {
					return
				}
				do(p, req.Header.Get("Pimentorelay-Attempt-Id"))
			}
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*peer, string)
		want  pimento.Outcome
		cut   bool // the body breaks off
	}{
		{"whole", func(p *peer, id string) { p.say(id, "body") }, pimento.OutcomeAnswered, false},
		{"reset without an answer", func(p *peer, _ string) { p.reset() }, pimento.OutcomeUnknown, false},
		{"closed without an answer", func(p *peer, _ string) { p.Close() }, pimento.OutcomeUnknown, false},
		{"no answer in the protocol", func(p *peer, _ string) { io.WriteString(p, "garbage\r\n\r\n"); p.Close() }, pimento.OutcomeUnknown, false},
		{"answer to another request", func(p *peer, _ string) { p.say("other", "body") }, pimento.OutcomeUnknown, false},
		{"answer without an ID", func(p *peer, _ string) { io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }, pimento.OutcomeUnknown, false},
		{"shorter than told", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\nContent-Length: 10\r\n\r\nshort", id)
			p.Close()
		}, pimento.OutcomeAnswered, true},
		{"without a length, then a reset", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\n\r\npart", id)
			time.Sleep(20 * time.Millisecond)
			p.reset()
		}, pimento.OutcomeAnswered, true},
		{"without a length, then the end", func(p *peer, id string) {
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Attempt-Id: %s\r\n\r\nwhole", id)
			p.Close()
		}, pimento.OutcomeAnswered, false},
		{"chunks without an end", func(p *peer, id string) {
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
			client := newScript(t, answer(c.serve)).client()
			_, _, err := do(client, "one", "GET", "")
			if c.cut {
				is.True(err != nil)
				var out *pimento.OutcomeError
				is.True(!errors.As(err, &out)) // the head came, and the body broke off
				return
			}
			is.Equal(outcome(err), c.want)
		})
	}
}

// TestBytesAfterAnAnswer holds that what follows a whole answer reaches no
// request: neither bytes that came at once nor those that came later.
func TestBytesAfterAnAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			first := func(p *peer) {
				if _, err := p.next(true); err != nil {
					return
				}
				p.say("one", "1")
				if late {
					time.Sleep(20 * time.Millisecond)
				}
				p.say("one", "extra")
				p.next(true)
			}
			second := func(p *peer) {
				if _, err := p.next(true); err != nil {
					return
				}
				p.say("two", "2")
			}
			client := newScript(t, first, second).client()
			text, _, err := do(client, "one", "GET", "")
			is.NoErr(err)
			is.Equal(text, "1")
			time.Sleep(50 * time.Millisecond)
			text, _, err = do(client, "two", "GET", "")
			is.NoErr(err)
			is.Equal(text, "2")
		})
	}
}

// TestLateSecondAnswerIsSkipped holds that an answer to an earlier request that
// comes where the next one is due does not end that one.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(p *peer) {
		if _, err := p.next(true); err != nil {
			return
		}
		p.say("one", "1")
		if _, err := p.next(true); err != nil {
			return
		}
		p.say("one", "again")
		p.say("two", "2")
	})
	client := s.client()
	_, _, err := do(client, "one", "GET", "")
	is.NoErr(err)
	text, _, err := do(client, "two", "POST", "x")
	is.NoErr(err)
	is.Equal(text, "2")
	is.Equal(len(s.seen()), 2)
}

// TestEarlyAnswer holds that a connection is not used again on which the rest
// of a body is due.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	var served sync.WaitGroup
	served.Add(1)
	first := func(p *peer) {
		defer served.Done()
		if _, err := p.next(false); err != nil {
			return
		}
		p.say("one", "early")
		rest, err := io.ReadAll(p.r) // reads on, until the connection ends
		is.True(err == nil || len(rest) > 0)
		is.True(!strings.Contains(string(rest), "GET "))
	}
	second := func(p *peer) {
		if _, err := p.next(true); err != nil {
			return
		}
		p.say("two", "2")
	}
	client := newScript(t, first, second).client()
	body, feed := io.Pipe()
	go feed.Write([]byte("begin"))
	r := request("one", "POST", "")
	r.BodyLength = 100000
	answer, _, err := client.Serve(context.Background(), r, body)
	is.NoErr(err)
	text, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(string(text), "early")
	answer.Body.Close()
	text2, _, err := do(client, "two", "GET", "")
	is.NoErr(err)
	is.Equal(text2, "2")
	feed.Close()
	served.Wait()
}

// TestHangingUpstream holds that a request to an upstream that never answers
// ends with its deadline, and that its connection is not used again.
func TestHangingUpstream(t *testing.T) {
	is := is.New(t)
	hang := func(p *peer) {
		for {
			if _, err := p.next(true); err != nil {
				return
			}
		}
	}
	s := newScript(t, hang)
	client := s.client()
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _, err := client.Serve(ctx, request(fmt.Sprint(i), "GET", ""), nil)
		cancel()
		var out *pimento.OutcomeError
		is.True(errors.As(err, &out))
		is.Equal(out.Outcome, pimento.OutcomeUnknown)
		is.Equal(out.Reason, pimento.ReasonTimeout)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	is.Equal(len(client.idle), 0)
}

// TestCallerLeaves holds that the connection is closed when the caller has
// left, which cancels the request at the upstream.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	client := newScript(t, func(p *peer) {
		if _, err := p.next(true); err != nil {
			return
		}
		p.r.ReadByte()
		close(closed)
	}).client()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, _, err := client.Serve(ctx, request("one", "GET", ""), nil)
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Reason, pimento.ReasonCallerGone)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the upstream does not see that the caller has left")
	}
}

// TestIdleConnection holds that a connection is given up before the upstream
// closes it.
func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(p *peer) {
		for {
			req, err := p.next(true)
			if err != nil {
				return
			}
			p.say(req.Header.Get("Pimentorelay-Attempt-Id"), "ok", "Keep-Alive: timeout=10")
		}
	})
	dials := 0
	client := s.client()
	client.OnDial = func() { dials++ }
	for range 3 {
		_, _, err := do(client, "one", "GET", "")
		is.NoErr(err)
	}
	is.Equal(dials, 1)
	client.mu.Lock()
	left := time.Until(client.idle[0].expires)
	client.idle[0].expires = time.Now()
	client.mu.Unlock()
	is.True(left > 6*time.Second && left < 8*time.Second)
	_, _, err := do(client, "one", "GET", "")
	is.NoErr(err)
	is.Equal(dials, 2)
}

// TestRequestOnTheWire holds what goes to the upstream: the path as it came, the
// caller's headers, the time that is left, and the only upstream that may run
// it.
func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	var raw strings.Builder
	s := newScript(t, func(p *peer) {
		p.r = bufio.NewReader(io.TeeReader(p.Conn, &raw))
		req, err := p.next(true)
		if err != nil {
			return
		}
		got = req
		p.say("one", "ok")
	})
	client := s.client()
	r := request("one", "POST", "hello")
	r.Header.Set("X-Other", "kept")
	answer, _, err := client.Serve(context.Background(), r, strings.NewReader("hello"))
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
	s := newScript(t, func(p *peer) {
		if _, err := p.next(true); err != nil {
			return
		}
		p.say("one", "ok")
	})
	r := request("one", "POST", "")
	r.BodyLength = -1
	answer, _, err := s.client().Serve(context.Background(), r, strings.NewReader(strings.Repeat("x", 100000)))
	is.NoErr(err)
	answer.Body.Close()
	is.Equal(len(s.bodies[0]), 100000)
}

// TestControlReachesNoOther holds that a grant names its upstream, so that
// another one that has the address by now does not take the keys, and that such
// a grant counts as one that never arrived.
func TestControlReachesNoOther(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(p *peer) {
		for {
			req, err := p.next(true)
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
	client := s.client() // of i-1, whose address i-2 has
	span := pimento.KeyRange{From: 1, To: 2}
	var lost *pimento.UnreachableError
	is.True(errors.As(client.Grant(t.Context(), pimento.KeyGrant{Range: span, Fence: 3, Hold: time.Second}), &lost))
	is.True(lost.Unsent)
	_, err := client.Release(t.Context(), span, 4, time.Second)
	is.True(errors.As(err, &lost))
	_, _, err = client.Probe(t.Context(), "/healthz")
	is.True(errors.As(err, &lost)) // the other one's health says nothing
}

// TestRestartIsNotGranted holds that an upstream that closed a kept connection is
// asked for its health before a grant is renewed: one that is cold has started
// again and must not get the keys of its former run. After a while the store has
// shown what has happened, and the grant goes out.
func TestRestartIsNotGranted(t *testing.T) {
	for name, cold := range map[string]string{"started again": "Pimentorelay-Warmup-Ms: 2500\r\n", "closed it only": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := func(p *peer, header string) bool {
				_, err := p.next(true)
				fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nPimentorelay-Instance-Id: i-1\r\n%sContent-Length: 0\r\n\r\n", header)
				return err == nil
			}
			s := newScript(t, func(p *peer) {
				answer(p, "")
				p.Close()
			}, func(p *peer) {
				for answer(p, cold) {
				}
			})
			client := s.client()
			client.HealthPath = "/healthz"
			g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 2}, Fence: 3, Hold: time.Second}
			is.NoErr(client.Grant(t.Context(), g))
			time.Sleep(30 * time.Millisecond)
			err := client.Grant(t.Context(), g)
			seen := s.seen()
			is.Equal(seen[1], "GET /healthz ")
			if cold == "" {
				is.NoErr(err)
				is.Equal(len(seen), 3)
				return
			}
			var lost *pimento.UnreachableError
			is.True(errors.As(err, &lost))
			is.True(lost.Unsent)
			is.Equal(len(seen), 2) // the grant was not sent
			client.closedAt = time.Now().Add(-2 * suspectFor)
			is.NoErr(client.Grant(t.Context(), g))
		})
	}
}

// TestColdAgain holds that a request does not go to an upstream that has started
// again and is cold before its dispatcher knows, and that it is asked once only.
func TestColdAgain(t *testing.T) {
	is := is.New(t)
	answer := func(p *peer) bool {
		req, err := p.next(true)
		if err != nil {
			return false
		}
		p.say(req.Header.Get("Pimentorelay-Attempt-Id"), "x", "Pimentorelay-Instance-Id: i-1", "Pimentorelay-Warmup-Ms: 2500")
		return true
	}
	s := newScript(t, func(p *peer) {
		answer(p)
		p.Close()
	}, func(p *peer) {
		for answer(p) {
		}
	})
	client := s.client()
	client.HealthPath = "/healthz"
	_, _, err := do(client, "1", "POST", "body")
	is.NoErr(err)
	time.Sleep(30 * time.Millisecond)
	_, mark, err := do(client, "2", "POST", "body")
	is.Equal(outcome(err), pimento.OutcomeNotRun)
	is.Equal(mark.ColdFor, 2500*time.Millisecond) // what its dispatcher is told
	_, _, err = do(client, "3", "POST", "body")
	is.NoErr(err)
	is.Equal(s.seen(), []string{"POST /a/b?c=d%20e 1", "GET /healthz ", "POST /a/b?c=d%20e 3"})
}

func TestControl(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newScript(t, func(p *peer) {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nPimentorelay-Handover: 5c0e\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
		} {
			if _, err := p.next(true); err != nil {
				return
			}
			io.WriteString(p, answer)
		}
		p.next(true)
	})
	client := s.client()
	g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 2}, Fence: 3, Hold: time.Second}
	is.NoErr(client.Grant(ctx, g))
	var fenced *pimento.FencedError
	is.True(errors.As(client.Grant(ctx, g), &fenced))
	handover, err := client.Release(ctx, g.Range, 4, time.Second)
	is.NoErr(err)
	is.Equal(handover, "5c0e")
	var lost *pimento.UnreachableError
	is.True(errors.As(client.Grant(ctx, g), &lost))
	is.True(!lost.Unsent)
	ctx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	is.True(errors.As(client.Grant(ctx, g), &lost)) // silence
	is.True(!lost.Unsent)

	none := &Client{Server: pimento.Server{Address: netip.MustParseAddrPort("127.0.0.1:1")}, Wire: platform.Wire{}}
	is.True(errors.As(none.Grant(context.Background(), g), &lost))
	is.True(lost.Unsent) // nothing listens there
}
