package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// post returns a request with a body of n bytes, with a length or in one chunk.
func post(path string, n int, chunked bool) string {
	body := strings.Repeat("0123456789", n/10)
	if chunked && n == 0 {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	}
	if chunked {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestDisconnectBehindAnUnreadBody guards against a caller whose disconnect is not
// noticed, because it follows a body that nobody reads while the request waits. The
// request would then be passed on long after.
func TestDisconnectBehindAnUnreadBody(t *testing.T) {
	const target = 500 * time.Millisecond
	for _, c := range []struct {
		name  string
		sent  string
		reset bool // the caller resets the connection
	}{
		{"short body", post("/wait/5s/a", 1000, false), false},
		{"body above the prefix", post("/wait/5s/a", 2*bodyPrefixSize, false), false},
		{"long body", post("/wait/5s/a", 360_000, false), false},
		{"long body in chunks", post("/wait/5s/a", 360_000, true), false},
		{"long body cut", post("/wait/5s/a", 360_000, false)[:200_000], false},
		{"long body, reset", post("/wait/5s/a", 360_000, false), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, h, dial := startAcceptor(t, pimento.Limits{})
			conn := dial()
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			<-h.started
			if c.reset {
				if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			conn.Close()
			select {
			case <-h.canceled:
			case <-time.After(target):
				t.Fatalf("the request was not canceled within %s of the disconnect", target)
			}
		})
	}
}

// TestBodyReadAheadIsWhole checks that bodies reach the handler unchanged, also
// above what is read ahead, and that the next request on the connection is served.
func TestBodyReadAheadIsWhole(t *testing.T) {
	for _, n := range []int{0, 1000, bodyPrefixSize / 10 * 10, bodyPrefixSize + 10, 360_000, maxReadAhead + bodyPrefixSize, 5_000_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(n, chunked), func(t *testing.T) {
				is := is.New(t)
				_, _, dial := startAcceptor(t, pimento.Limits{})
				conn := dial()
				go io.WriteString(conn, post("/echo", n, chunked)+post("/other", n, chunked)+getRequest("/last"))
				r := bufio.NewReader(conn)
				for _, want := range []string{strings.Repeat("0123456789", n/10), "/other", "/last"} {
					_, got, err := readAnswer(t, r, "POST")
					is.NoErr(err)
					is.True(got == want)
				}
			})
		}
	}
}

// TestBodyThatWasDroppedHasNoEnd guards against a body that looks whole without its rest: it
// was read ahead to its end, and dropped since its handler had returned, while it was still
// being sent to an upstream that had answered early.
func TestBodyThatWasDroppedHasNoEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error // after what was read ahead
		read int   // bytes that were read before the handler returned
	}{
		{"nothing was read", io.EOF, 0},
		{"a part was read", io.EOF, 4},
		{"the body broke off", io.ErrUnexpectedEOF, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newReadAhead(nil)
			a.add([]byte("0123456789"), c.err)
			a.finish()
			if _, err := io.ReadFull(a, make([]byte, c.read)); err != nil {
				t.Fatal(err)
			}
			a.end(func() { t.Error("a body that has been read is interrupted") })
			if n, err := a.Read(make([]byte, 10)); n != 0 || err == nil || err == io.EOF {
				t.Errorf("a read after the rest was dropped gets %d bytes, error %v", n, err)
			}
		})
	}
}
