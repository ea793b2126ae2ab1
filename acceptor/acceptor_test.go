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
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

// handler answers by path: "/wait/DURATION/..." after a time, "/refuse" not at
// all, "/cut" with a part, "/early" without reading the body, "/echo" with it.
type handler struct {
	started chan string
	ended   chan error // how requests that wait ended
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
			return text(r.Path), nil
		case <-ctx.Done():
			h.ended <- ctx.Err()
			return pimento.Answer{}, pimento.Unknown(pimento.ReasonCallerGone, "")
		}
	case "refuse":
		out := pimento.NotRun(pimento.ReasonOverloaded, "full")
		out.RetryAfter = 250 * time.Millisecond
		return pimento.Answer{}, out
	case "cut":
		a := text("part")
		a.Head.BodyLength = 100
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), badReader{}))
		return a, nil
	case "echo":
		all, err := io.ReadAll(body)
		if err != nil {
			return pimento.Answer{}, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
		}
		return text(string(all)), nil
	case "chunks":
		a := text("")
		a.Head.BodyLength = -1
		a.Body = io.NopCloser(strings.NewReader("in chunks"))
		return a, nil
	}
	return text(r.Path), nil
}

type badReader struct{}

func (badReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

func text(s string) pimento.Answer {
	return pimento.Answer{
		Head: pimento.AnswerHead{Status: 200, Header: http.Header{"X-From": {"upstream"}}, BodyLength: int64(len(s))},
		Body: io.NopCloser(strings.NewReader(s)),
	}
}

// serve returns an acceptor with a way to open connections to it.
func serve(t *testing.T, limits pimento.Limits) (*Acceptor, *handler, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := pimento.Manifest{Limits: limits}
	m.Defaults()
	h := &handler{started: make(chan string, 100), ended: make(chan error, 100)}
	a := &Acceptor{Handler: h, Wire: platform.Wire{}, Limits: func() pimento.Limits { return m.Limits }}
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

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// read reads an answer whole.
func read(t *testing.T, r *bufio.Reader, method string) (*http.Response, string, error) {
	t.Helper()
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// TestPipelined holds that requests sent behind another run beside it, and that
// the answers come in order.
func TestPipelined(t *testing.T) {
	is := is.New(t)
	_, h, dial := serve(t, pimento.Limits{})
	c := dial()
	begun := time.Now()
	io.WriteString(c, get("/wait/150ms/a")+get("/wait/100ms/b")+get("/x"))
	r := bufio.NewReader(c)
	for range 3 {
		<-h.started
	}
	is.True(time.Since(begun) < 100*time.Millisecond) // all run at once
	for _, want := range []string{"/wait/150ms/a", "/wait/100ms/b", "/x"} {
		res, body, err := read(t, r, "GET")
		is.NoErr(err)
		is.Equal(body, want)
		is.Equal(res.Header.Get("X-From"), "upstream")
	}
}

// TestLeavingCancels holds that a caller's leaving cancels its requests, also
// while further ones wait on its connection.
func TestLeavingCancels(t *testing.T) {
	for name, sent := range map[string]string{
		"one":           get("/wait/5s/a"),
		"further ones":  get("/wait/5s/a") + get("/wait/5s/b") + get("/wait/5s/c"),
		"with a body":   "POST /wait/5s/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"part of a one": get("/wait/5s/a") + "GET /wait",
	} {
		t.Run(name, func(t *testing.T) {
			_, h, dial := serve(t, pimento.Limits{})
			c := dial()
			io.WriteString(c, sent)
			<-h.started
			time.Sleep(20 * time.Millisecond)
			c.Close()
			select {
			case <-h.ended:
			case <-time.After(time.Second):
				t.Fatal("the request goes on")
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", 10000)
	for _, c := range []struct {
		name, sent string
		status     int
		ends       bool // the connection ends
	}{
		{"by the handler", get("/refuse"), 503, false},
		{"no HTTP", "hello\r\n\r\n", 400, true},
		{"header too large", "GET / HTTP/1.1\r\nHost: x\r\nX: " + long + "\r\n\r\n", 431, true},
		{"body too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + long[:5000], 413, true},
		{"no deadline", "GET / HTTP/1.1\r\nHost: x\r\nPimentorelay-Deadline-Ms: soon\r\n\r\n", 400, false},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", 400, true},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nabcdef", 400, true},
		{"slow header", "GET / HTTP/1.1\r\nHost:", 408, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, dial := serve(t, pimento.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: 80 * time.Millisecond})
			conn := dial()
			r := bufio.NewReader(conn)
			io.WriteString(conn, c.sent)
			res, _, err := read(t, r, "GET")
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Close, c.ends)
			if c.name == "by the handler" {
				is.Equal(res.Header.Get("Retry-After"), "0.250")
			}
			if !c.ends {
				io.WriteString(conn, get("/next"))
				_, body, err := read(t, r, "GET")
				is.NoErr(err)
				is.Equal(body, "/next")
			}
		})
	}
}

// TestBodyIsNoRequest holds that a body that reads like a request is none.
func TestBodyIsNoRequest(t *testing.T) {
	is := is.New(t)
	_, h, dial := serve(t, pimento.Limits{})
	inner := get("/smuggled")
	for name, sent := range map[string]string{
		"read":            fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"not read":        fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"chunked":         fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		"length and code": fmt.Sprintf("POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
	} {
		t.Run(name, func(*testing.T) {
			c := dial()
			r := bufio.NewReader(c)
			io.WriteString(c, sent+get("/after"))
			res, _, err := read(t, r, "POST")
			is.NoErr(err)
			is.Equal(res.StatusCode, 200)
			_, body, err := read(t, r, "GET")
			is.NoErr(err)
			is.Equal(body, "/after")
		})
	}
	close(h.started)
	for path := range h.started {
		is.True(path != "/smuggled")
	}
}

// TestCutAnswer holds that a part of an answer cannot pass as whole.
func TestCutAnswer(t *testing.T) {
	is := is.New(t)
	_, _, dial := serve(t, pimento.Limits{})
	c := dial()
	io.WriteString(c, get("/cut"))
	_, _, err := read(t, bufio.NewReader(c), "GET")
	is.True(err != nil)
}

func TestAnswersOnTheWire(t *testing.T) {
	is := is.New(t)
	_, _, dial := serve(t, pimento.Limits{})
	c := dial()
	r := bufio.NewReader(c)
	io.WriteString(c, "HEAD /x HTTP/1.1\r\nHost: x\r\n\r\n"+get("/chunks")+"GET /x HTTP/1.0\r\nHost: x\r\n\r\n")
	res, _, err := read(t, r, "HEAD")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	res, body, err := read(t, r, "GET")
	is.NoErr(err)
	is.Equal(body, "in chunks")
	is.Equal(res.TransferEncoding, []string{"chunked"})
	res, _, err = read(t, r, "GET")
	is.NoErr(err)
	is.True(res.Close) // HTTP/1.0
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// TestExpectContinue holds that the body is asked for only once it is wanted.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	_, _, dial := serve(t, pimento.Limits{})
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
	_, body, err := read(t, r, "POST")
	is.NoErr(err)
	is.Equal(body, "abc")

	c = dial()
	fmt.Fprintf(c, head, "/refuse")
	res, _, err := read(t, bufio.NewReader(c), "POST")
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
}

// TestLongBodyThatNobodyWants holds that an early answer arrives although the
// caller still sends.
func TestLongBodyThatNobodyWants(t *testing.T) {
	is := is.New(t)
	_, _, dial := serve(t, pimento.Limits{})
	c := dial()
	const size = 3 << 20
	go func() {
		fmt.Fprintf(c, "POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		io.Copy(c, bytes.NewReader(make([]byte, size)))
		io.WriteString(c, get("/after"))
	}()
	r := bufio.NewReader(c)
	_, body, err := read(t, r, "POST")
	is.NoErr(err)
	is.Equal(body, "/early")
	_, body, err = read(t, r, "GET")
	is.NoErr(err)
	is.Equal(body, "/after")
}

func TestIdleConnectionEnds(t *testing.T) {
	is := is.New(t)
	_, _, dial := serve(t, pimento.Limits{IdleTimeout: 60 * time.Millisecond})
	c := dial()
	r := bufio.NewReader(c)
	io.WriteString(c, get("/wait/150ms/a")) // longer than an idle connection lasts
	_, _, err := read(t, r, "GET")
	is.NoErr(err)
	begun := time.Now()
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(begun) < time.Second)
}

// TestDrain holds that a shutdown ends connections with their answers, keeps
// serving those who still send, and closes idle ones only at its end.
func TestDrain(t *testing.T) {
	is := is.New(t)
	a, h, dial := serve(t, pimento.Limits{})
	idle, busy := dial(), dial()
	idleR, busyR := bufio.NewReader(idle), bufio.NewReader(busy)
	io.WriteString(idle, get("/x"))
	_, _, err := read(t, idleR, "GET")
	is.NoErr(err)
	io.WriteString(busy, get("/wait/100ms/a")+get("/wait/100ms/b"))
	<-h.started
	<-h.started
	<-h.started
	a.Drain()
	res, _, err := read(t, busyR, "GET")
	is.NoErr(err)
	is.True(!res.Close) // another request was taken behind it
	res, _, err = read(t, busyR, "GET")
	is.NoErr(err)
	is.True(res.Close)
	io.WriteString(idle, get("/y")) // a kept connection is still served
	res, _, err = read(t, idleR, "GET")
	is.NoErr(err)
	is.True(res.Close)

	other := dial()
	time.Sleep(20 * time.Millisecond)
	a.Refuse()
	_, err = bufio.NewReader(other).ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(a.Active(), 0)
}

// TestRefuseServesWhatHasArrived holds that a request that arrives as its idle
// connection is about to be closed is answered or was not read.
func TestRefuseServesWhatHasArrived(t *testing.T) {
	is := is.New(t)
	for range 30 {
		a, h, dial := serve(t, pimento.Limits{})
		c := dial()
		r := bufio.NewReader(c)
		io.WriteString(c, get("/x"))
		_, _, err := read(t, r, "GET")
		is.NoErr(err)
		<-h.started
		a.Drain()
		go io.WriteString(c, get("/last"))
		a.Refuse()
		_, body, err := read(t, r, "GET")
		select {
		case <-h.started:
			is.NoErr(err)
			is.Equal(body, "/last")
		default:
			is.True(err != nil)
		}
	}
}

// TestRefuseWhileARequestArrives holds that a request whose first bytes had come
// before the end of the process began is read and answered, however slowly the
// rest comes.
func TestRefuseWhileARequestArrives(t *testing.T) {
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
			a, _, dial := serve(t, pimento.Limits{})
			conn := dial()
			io.WriteString(conn, c.early)
			time.Sleep(50 * time.Millisecond) // until it is being read
			a.Drain()
			a.Refuse()
			time.Sleep(50 * time.Millisecond)
			is.Equal(a.Active(), 1) // so the process does not end yet
			io.WriteString(conn, c.later)
			resp, body, err := read(t, bufio.NewReader(conn), "POST")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "whole...")
			is.True(resp.Close)
		})
	}
}

// TestBodyThatComesTooLate holds that a caller whose body has not come before
// its deadline is told so.
func TestBodyThatComesTooLate(t *testing.T) {
	is := is.New(t)
	_, h, dial := serve(t, pimento.Limits{})
	conn := dial()
	io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nPimentorelay-Deadline-Ms: 60\r\nContent-Length: 8\r\n\r\nwho")
	resp, _, err := read(t, bufio.NewReader(conn), "POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(len(h.started), 0) // not run, as the status says
}
