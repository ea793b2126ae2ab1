package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

// handler answers by path: "/wait/DURATION/..." after that time, "/refuse" with a
// refusal, "/cut" with a truncated answer, "/echo" with the request's body,
// "/chunks" without a length, and any other with the path, the body unread.
type handler struct {
	started  chan string
	canceled chan error  // errors of the contexts of "/wait" requests
	stale    atomic.Bool // the limits may be too old
}

// Handle implements Handler.
func (h *handler) Handle(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error) {
	parts := strings.Split(r.Path, "/")
	h.started <- r.Path
	switch parts[1] {
	case "wait":
		d, err := time.ParseDuration(parts[2])
		if err != nil {
			return pimento.Answer{}, err
		}
		select {
		case <-time.After(d):
			return textAnswer(r.Path), nil
		case <-ctx.Done():
			h.canceled <- ctx.Err()
			return pimento.Answer{}, pimento.Unknown(pimento.ReasonCallerGone, "")
		}
	case "refuse":
		out := pimento.NotRun(pimento.ReasonOverloaded, "full")
		out.RetryAfter = 250 * time.Millisecond
		return pimento.Answer{}, out
	case "cut":
		a := textAnswer("part")
		a.Head.BodyLength = 100
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), failingReader{}))
		return a, nil
	case "echo":
		all, err := io.ReadAll(body)
		if err != nil {
			return pimento.Answer{}, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
		}
		return textAnswer(string(all)), nil
	case "chunks":
		a := textAnswer("")
		a.Head.BodyLength = -1
		a.Body = io.NopCloser(strings.NewReader("in chunks"))
		return a, nil
	}
	return textAnswer(r.Path), nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

func textAnswer(s string) pimento.Answer {
	return pimento.Answer{
		Head: pimento.AnswerHead{Status: 200, Header: http.Header{"X-From": {"upstream"}}, BodyLength: int64(len(s))},
		Body: io.NopCloser(strings.NewReader(s)),
	}
}

// startAcceptor returns a running acceptor, its handler, and a function that opens
// connections to it.
func startAcceptor(t *testing.T, limits pimento.Limits, configure ...func(*Acceptor)) (*Acceptor, *handler, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := pimento.Manifest{Limits: limits}
	m.Defaults()
	h := &handler{started: make(chan string, 100), canceled: make(chan error, 100)}
	a := &Acceptor{Handler: h, Wire: platform.Wire{}, Limits: func() pimento.Limits { return m.Limits }}
	a.IsCurrent = func(time.Time) bool { return !h.stale.Load() }
	for _, f := range configure {
		f(a)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		a.Serve(ctx, l)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a, h, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// readAnswer reads a complete answer.
func readAnswer(t *testing.T, r *bufio.Reader, method string) (*http.Response, string, error) {
	t.Helper()
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// TestPipelined checks that pipelined requests run concurrently and are answered
// in order.
func TestPipelined(t *testing.T) {
	is := is.New(t)
	_, h, dial := startAcceptor(t, pimento.Limits{})
	c := dial()
	start := time.Now()
	io.WriteString(c, getRequest("/wait/150ms/a")+getRequest("/wait/100ms/b")+getRequest("/x"))
	r := bufio.NewReader(c)
	for range 3 {
		<-h.started
	}
	is.True(time.Since(start) < 100*time.Millisecond) // all run at once
	for _, want := range []string{"/wait/150ms/a", "/wait/100ms/b", "/x"} {
		res, body, err := readAnswer(t, r, "GET")
		is.NoErr(err)
		is.Equal(body, want)
		is.Equal(res.Header.Get("X-From"), "upstream")
	}
}

// TestDisconnectCancelsRequests checks that a caller's disconnect cancels its
// requests, also while further ones wait on its connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	for name, sent := range map[string]string{
		"one":                    getRequest("/wait/5s/a"),
		"pipelined":              getRequest("/wait/5s/a") + getRequest("/wait/5s/b") + getRequest("/wait/5s/c"),
		"with a body":            "POST /wait/5s/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"partial second request": getRequest("/wait/5s/a") + "GET /wait",
	} {
		t.Run(name, func(t *testing.T) {
			_, h, dial := startAcceptor(t, pimento.Limits{})
			c := dial()
			io.WriteString(c, sent)
			<-h.started
			time.Sleep(20 * time.Millisecond)
			c.Close()
			select {
			case <-h.canceled:
			case <-time.After(time.Second):
				t.Fatal("the request was not canceled within 1 s of the disconnect")
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", 10000)
	for _, c := range []struct {
		name, sent string
		status     int
		closes     bool // the connection is closed
	}{
		{"by the handler", getRequest("/refuse"), 503, false},
		{"not HTTP", "hello\r\n\r\n", 400, true},
		{"header too large", "GET / HTTP/1.1\r\nHost: x\r\nX: " + long + "\r\n\r\n", 431, true},
		{"body too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + long[:5000], 413, true},
		{"invalid deadline", "GET / HTTP/1.1\r\nHost: x\r\nPimentorelay-Deadline-Ms: soon\r\n\r\n", 400, false},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", 400, true},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nabcdef", 400, true},
		{"slow header", "GET / HTTP/1.1\r\nHost:", 408, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, dial := startAcceptor(t, pimento.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: 80 * time.Millisecond})
			conn := dial()
			r := bufio.NewReader(conn)
			io.WriteString(conn, c.sent)
			res, _, err := readAnswer(t, r, "GET")
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Close, c.closes)
			if c.name == "by the handler" {
				is.Equal(res.Header.Get("Retry-After"), "0.250")
			}
			if !c.closes {
				io.WriteString(conn, getRequest("/next"))
				_, body, err := readAnswer(t, r, "GET")
				is.NoErr(err)
				is.Equal(body, "/next")
			}
		})
	}
}

// TestOldLimitsRefuseNothingForGood guards against 413 and 431 by limits that operators
// may have raised since.
func TestOldLimitsRefuseNothingForGood(t *testing.T) {
	long := strings.Repeat("x", 10000)
	for _, c := range []struct {
		name, sent string
		status     int
	}{
		{"header too large", "GET / HTTP/1.1\r\nHost: x\r\nX: " + long + "\r\n\r\n", 503},
		{"body too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + long[:5000], 503},
		{"not HTTP", "hello\r\n\r\n", 400},
		{"within the limits", getRequest("/x"), 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, h, dial := startAcceptor(t, pimento.Limits{HeaderBytes: 2000, BodyBytes: 1000})
			h.stale.Store(true)
			conn := dial()
			io.WriteString(conn, c.sent)
			res, _, err := readAnswer(t, bufio.NewReader(conn), "GET")
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			if c.status == 503 {
				is.Equal(res.Header.Get("Retry-After"), "0.500")
			}
		})
	}
}

// TestBodyNotParsedAsRequest checks that a body that contains a request is not
// parsed as one, which would allow request smuggling.
func TestBodyNotParsedAsRequest(t *testing.T) {
	is := is.New(t)
	_, h, dial := startAcceptor(t, pimento.Limits{})
	inner := getRequest("/smuggled")
	for name, sent := range map[string]string{
		"read":              fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"not read":          fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"chunked":           fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		"length and coding": fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
	} {
		t.Run(name, func(*testing.T) {
			c := dial()
			r := bufio.NewReader(c)
			io.WriteString(c, sent+getRequest("/after"))
			res, _, err := readAnswer(t, r, "POST")
			is.NoErr(err)
			is.Equal(res.StatusCode, 200)
			_, body, err := readAnswer(t, r, "GET")
			is.NoErr(err)
			is.Equal(body, "/after")
		})
	}
	close(h.started)
	for path := range h.started {
		is.True(path != "/smuggled")
	}
}

// TestCutAnswer checks that a truncated answer cannot pass as complete.
func TestCutAnswer(t *testing.T) {
	is := is.New(t)
	_, _, dial := startAcceptor(t, pimento.Limits{})
	c := dial()
	io.WriteString(c, getRequest("/cut"))
	_, _, err := readAnswer(t, bufio.NewReader(c), "GET")
	is.True(err != nil)
}

func TestAnswersOnTheWire(t *testing.T) {
	is := is.New(t)
	_, _, dial := startAcceptor(t, pimento.Limits{})
	c := dial()
	r := bufio.NewReader(c)
	io.WriteString(c, "HEAD /x HTTP/1.1\r\nHost: x\r\n\r\n"+getRequest("/chunks")+"GET /x HTTP/1.0\r\nHost: x\r\n\r\n")
	res, _, err := readAnswer(t, r, "HEAD")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	res, body, err := readAnswer(t, r, "GET")
	is.NoErr(err)
	is.Equal(body, "in chunks")
	is.Equal(res.TransferEncoding, []string{"chunked"})
	res, _, err = readAnswer(t, r, "GET")
	is.NoErr(err)
	is.True(res.Close) // HTTP/1.0
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// TestExpectContinue checks that 100 Continue is sent only if the handler reads
// the body.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	_, _, dial := startAcceptor(t, pimento.Limits{})
	head := "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
	c := dial()
	r := bufio.NewReader(c)
	fmt.Fprintf(c, head, "/echo")
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	io.WriteString(c, "abc")
	_, body, err := readAnswer(t, r, "POST")
	is.NoErr(err)
	is.Equal(body, "abc")

	c = dial()
	fmt.Fprintf(c, head, "/refuse")
	res, _, err := readAnswer(t, bufio.NewReader(c), "POST")
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
}

// TestLongUnreadBody checks that an early answer arrives while the caller is still
// sending a body that the handler does not read.
func TestLongUnreadBody(t *testing.T) {
	is := is.New(t)
	_, _, dial := startAcceptor(t, pimento.Limits{})
	c := dial()
	const size = 3 << 20
	go func() {
		fmt.Fprintf(c, "POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		io.Copy(c, bytes.NewReader(make([]byte, size)))
		io.WriteString(c, getRequest("/after"))
	}()
	r := bufio.NewReader(c)
	_, body, err := readAnswer(t, r, "POST")
	is.NoErr(err)
	is.Equal(body, "/early")
	_, body, err = readAnswer(t, r, "GET")
	is.NoErr(err)
	is.Equal(body, "/after")
}

func TestIdleConnectionEnds(t *testing.T) {
	is := is.New(t)
	_, _, dial := startAcceptor(t, pimento.Limits{IdleTimeout: 60 * time.Millisecond})
	c := dial()
	r := bufio.NewReader(c)
	io.WriteString(c, getRequest("/wait/150ms/a")) // longer than the idle timeout
	_, _, err := readAnswer(t, r, "GET")
	is.NoErr(err)
	start := time.Now()
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(start) < time.Second)
}

// TestDrain checks that Drain closes connections with their last answer and still
// serves new requests, and that StopAccepting closes idle connections.
func TestDrain(t *testing.T) {
	is := is.New(t)
	a, h, dial := startAcceptor(t, pimento.Limits{})
	idle, busy := dial(), dial()
	idleR, busyR := bufio.NewReader(idle), bufio.NewReader(busy)
	io.WriteString(idle, getRequest("/x"))
	_, _, err := readAnswer(t, idleR, "GET")
	is.NoErr(err)
	io.WriteString(busy, getRequest("/wait/100ms/a")+getRequest("/wait/100ms/b"))
	<-h.started
	<-h.started
	<-h.started
	a.Drain()
	res, _, err := readAnswer(t, busyR, "GET")
	is.NoErr(err)
	is.True(!res.Close) // another request is pending
	res, _, err = readAnswer(t, busyR, "GET")
	is.NoErr(err)
	is.True(res.Close)
	io.WriteString(idle, getRequest("/y")) // an idle connection is still served
	res, _, err = readAnswer(t, idleR, "GET")
	is.NoErr(err)
	is.True(res.Close)

	other := dial()
	time.Sleep(20 * time.Millisecond)
	a.StopAccepting()
	_, err = bufio.NewReader(other).ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(a.Active(), 0)
}

// TestStopAcceptingServesArrivedRequest checks that a request that arrives while
// its idle connection is being closed is either answered or not run.
func TestStopAcceptingServesArrivedRequest(t *testing.T) {
	is := is.New(t)
	for range 30 {
		a, h, dial := startAcceptor(t, pimento.Limits{})
		c := dial()
		r := bufio.NewReader(c)
		io.WriteString(c, getRequest("/x"))
		_, _, err := readAnswer(t, r, "GET")
		is.NoErr(err)
		<-h.started
		a.Drain()
		go io.WriteString(c, getRequest("/last"))
		a.StopAccepting()
		_, body, err := readAnswer(t, r, "GET")
		select {
		case <-h.started:
			is.NoErr(err)
			is.Equal(body, "/last")
		default:
			is.True(err != nil)
		}
	}
}

// TestStopAcceptingWhileARequestArrives checks that a request whose first bytes
// arrived before StopAccepting is read to its end and answered.
func TestStopAcceptingWhileARequestArrives(t *testing.T) {
	head := "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n"
	for _, c := range []struct {
		name         string
		early, later string
	}{
		{"within its header", head[:20], head[20:] + "whole..."},
		{"before its body", head, "whole..."},
		{"within its body", head + "who", "le..."},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, _, dial := startAcceptor(t, pimento.Limits{})
			conn := dial()
			io.WriteString(conn, c.early)
			time.Sleep(50 * time.Millisecond) // until it is being read
			a.Drain()
			a.StopAccepting()
			time.Sleep(50 * time.Millisecond)
			is.Equal(a.Active(), 1) // keeps the process from exiting
			io.WriteString(conn, c.later)
			resp, body, err := readAnswer(t, bufio.NewReader(conn), "POST")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "whole...")
			is.True(resp.Close)
		})
	}
}

// TestBodyAfterDeadline checks that a request whose body does not arrive before
// its deadline is answered with 408 and not run.
func TestBodyAfterDeadline(t *testing.T) {
	is := is.New(t)
	_, h, dial := startAcceptor(t, pimento.Limits{})
	conn := dial()
	io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nPimentorelay-Deadline-Ms: 60\r\nContent-Length: 8\r\n\r\nwho")
	resp, _, err := readAnswer(t, bufio.NewReader(conn), "POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(len(h.started), 0) // not run, as the status says
}

// TestRequestsLeftAtTheEndAreAnswered guards against requests that still wait when a
// process ends, and whose connections are closed without a word.
func TestRequestsLeftAtTheEndAreAnswered(t *testing.T) {
	for name, sent := range map[string]string{
		"waiting":          getRequest("/wait/5s/a"),
		"pipelined":        getRequest("/wait/5s/a") + getRequest("/wait/5s/b"),
		"with a long body": post("/wait/5s/a", 200_000, false),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, h, dial := startAcceptor(t, pimento.Limits{})
			c := dial()
			go io.WriteString(c, sent)
			<-h.started
			time.Sleep(50 * time.Millisecond)
			a.Drain()
			a.StopAccepting()
			a.EndRequests()
			r := bufio.NewReader(c)
			for range strings.Count(sent, "HTTP/1.1") {
				is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
				res, _, err := readAnswer(t, r, "GET")
				is.NoErr(err)
				is.Equal(res.StatusCode, 502) // the handler says that it may have run
			}
			end := time.Now().Add(time.Second)
			for a.Active() > 0 && time.Now().Before(end) { // counted down after the answer is written
				time.Sleep(time.Millisecond)
			}
			is.Equal(a.Active(), 0)
		})
	}
}
