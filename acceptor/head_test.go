package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/meter"
)

// TestHeadIsCountedExactly checks that what follows a head, such as a body with many lines or
// the next request, is not charged to it, in whatever parts it comes.
func TestHeadIsCountedExactly(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: x\r\na:\r\n\r\n"
	for name, reader := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gotBytes, gotLines := 0, 0
			r := &headReader{src: reader(strings.NewReader(head + strings.Repeat("\r\n", 1000)))}
			is.True(r.begin(1<<20, nil, func(bytes, lines int) bool {
				gotBytes, gotLines = gotBytes+bytes, gotLines+lines
				return true
			}))
			_, err := io.Copy(io.Discard, r)
			is.NoErr(err)
			is.Equal(gotBytes, len(head))
			is.Equal(gotLines, 4)
		})
	}
}

// FuzzHeadScanner guards against heads that are counted otherwise when they come in parts.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\nrest\n"), 3)
	f.Add([]byte("\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = min(max(cut, 0), len(data))
		var whole, parts headScanner
		wantBytes, wantLines := whole.next(data)
		firstBytes, firstLines := parts.next(data[:cut])
		restBytes, restLines := parts.next(data[cut:])
		if firstBytes+restBytes != wantBytes || firstLines+restLines != wantLines || wantBytes > len(data) || wantLines > bytes.Count(data, []byte("\n")) {
			t.Fatalf("%d bytes and %d lines, in parts %d and %d", wantBytes, wantLines, firstBytes+restBytes, firstLines+restLines)
		}
	})
}

// TestNoMemoryIsNotRun checks that a request for which there is no memory is refused as not run,
// and that its caller is told when to come back.
func TestNoMemoryIsNotRun(t *testing.T) {
	is := is.New(t)
	a, h, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) {
		a.Budget = &meter.Budget{Limit: connCost + requestCost + 100*lineCost}
	})
	conn := dial()
	io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n")
	res, _, err := readAnswer(t, bufio.NewReader(conn), "GET")
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.Equal(res.Header.Get("Retry-After"), "0.500")
	is.Equal(len(h.started), 0)
	conn.Close()
	for a.Budget.Used() > 0 { // all is given back
		time.Sleep(time.Millisecond)
	}
	conn = dial()
	io.WriteString(conn, getRequest("/x"))
	res, _, err = readAnswer(t, bufio.NewReader(conn), "GET")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
}

// TestIdleConnectionGivesWay checks that a caller beyond the most connections takes the place of
// an idle one, and never that of one with a request.
func TestIdleConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	a, h, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) { a.MaxConnections = 2 })
	busy := dial()
	io.WriteString(busy, getRequest("/wait/300ms/a"))
	<-h.started
	idle := dial()
	io.WriteString(idle, getRequest("/x"))
	_, _, err := readAnswer(t, bufio.NewReader(idle), "GET")
	is.NoErr(err)
	for !hasIdle(a) { // the process ends the request after the caller has the answer
		time.Sleep(time.Millisecond)
	}
	third := dial()
	io.WriteString(third, getRequest("/y"))
	_, body, err := readAnswer(t, bufio.NewReader(third), "GET")
	is.NoErr(err)
	is.Equal(body, "/y")
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil)
	_, body, err = readAnswer(t, bufio.NewReader(busy), "GET")
	is.NoErr(err)
	is.Equal(body, "/wait/300ms/a")
	is.Equal(a.Connections(), 2)
}

func hasIdle(a *Acceptor) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if _, ok := c.idle(); ok {
			return true
		}
	}
	return false
}

// TestKeysAreNotInFaults guards against API keys in the refusal of a head that cannot be parsed.
func TestKeysAreNotInFaults(t *testing.T) {
	is := is.New(t)
	refusals := make(chan string, 1)
	_, _, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) {
		a.OnRefused = func(_ *pimento.Request, out *pimento.OutcomeError) { refusals <- out.Detail }
	})
	conn := dial()
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nAuthorization Bearer secret-1\r\n\r\n")
	res, _, err := readAnswer(t, bufio.NewReader(conn), "GET")
	is.NoErr(err)
	is.Equal(res.StatusCode, 400)
	is.True(!strings.Contains(<-refusals, "secret"))
}
