package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// dialSlow connects like a caller on a slow line: little is received that it has not read.
func dialSlow(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	const receiveBuffer = 4 << 10
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	c, err := d.DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

// TestAnswerOnASlowLine guards against an answer that the kernel still sends when its connection
// is closed in a shutdown, and that is lost when the caller sends its next request.
func TestAnswerOnASlowLine(t *testing.T) {
	for name, isLast := range map[string]bool{"answered before the shutdown": false, "the last answer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Repeat("x", 200<<10)
			h := &longHandler{started: make(chan string, 8), begin: make(chan struct{}), length: int64(len(text)), body: io.NopCloser(strings.NewReader(text))}
			a, _, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) { a.Handler = h })
			c := dialSlow(t, dial().RemoteAddr())
			io.WriteString(c, getRequest("/long"))
			<-h.started
			if isLast {
				a.Drain()
			}
			close(h.begin)
			await(t, "the answer is written", func() bool { return a.Active() == 0 })
			a.Drain()
			a.StopAccepting()
			is.True(a.IsDelivering())
			time.Sleep(2 * lingerTimeout)
			is.True(a.IsDelivering())
			io.WriteString(c, getRequest("/next"))
			time.Sleep(50 * time.Millisecond)

			r := bufio.NewReader(c)
			res, got, err := readAnswer(t, r, "GET")
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(res.Close, isLast)
			is.Equal(len(got), len(text))
			_, err = r.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(h.started), 0)
			await(t, "all is delivered", func() bool { return !a.IsDelivering() })
		})
	}
}

// TestAnswerOnASlowLineWhileRoomIsMade guards against the same where another connection takes the
// place of this one.
func TestAnswerOnASlowLineWhileRoomIsMade(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 200<<10)
	h := &longHandler{started: make(chan string, 8), begin: make(chan struct{}), length: int64(len(text)), body: io.NopCloser(strings.NewReader(text))}
	a, _, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) { a.Handler, a.MaxConnections = h, 1 })
	c := dialSlow(t, dial().RemoteAddr())
	io.WriteString(c, getRequest("/long"))
	<-h.started
	close(h.begin)
	await(t, "the answer is written", func() bool { return a.Active() == 0 })
	is.True(a.IsDelivering())
	dial()
	time.Sleep(50 * time.Millisecond)
	io.WriteString(c, getRequest("/next"))
	time.Sleep(50 * time.Millisecond)

	_, got, err := readAnswer(t, bufio.NewReader(c), "GET")
	is.NoErr(err)
	is.Equal(len(got), len(text))
}
