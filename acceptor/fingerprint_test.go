package acceptor

import (
	"bufio"
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
)

// fingerprints passes on the fingerprint of each request, once its body has come. It
// answers whether there was one before.
type fingerprints chan uint64

// Handle implements Handler.
func (f fingerprints) Handle(_ context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error) {
	early := r.Fingerprint
	if _, err := io.ReadFull(body, make([]byte, 1)); err != nil {
		return pimento.Answer{}, err
	}
	if early != 0 && early != r.Fingerprint {
		return pimento.Answer{}, errors.New("the fingerprint has changed")
	}
	f <- r.Fingerprint
	_, err := io.Copy(io.Discard, body)
	return textAnswer(fmt.Sprint(early != 0)), err
}

// TestCopyInAnotherFramingIsAnotherRequest guards against copies of one request that
// count as different ones, since their bodies are framed in another way.
func TestCopyInAnotherFramingIsAnotherRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		head string
		size int
	}{
		{"AnotherHostCase", "Host: X:80\r\nContent-Length: 1000\r\n", 1000},
		{"ShortInChunks", "Host: x\r\nTransfer-Encoding: chunked\r\n", 1000},
		{"PrefixInChunks", "Host: x\r\nTransfer-Encoding: chunked\r\n", bodyPrefixSize},
		{"LongInChunks", "Host: x\r\nTransfer-Encoding: chunked\r\n", 2 * bodyPrefixSize},
		{"ShortExpected", "Host: x\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n", 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, _, dial := startAcceptor(t, pimento.Limits{})
			seen := make(fingerprints, 2)
			a.Handler = seen
			plain := fmt.Sprintf("Host: x\r\nContent-Length: %d\r\n", c.size)
			for _, head := range []string{plain, c.head} {
				conn := dial()
				body := strings.Repeat("x", c.size)
				if strings.Contains(head, "chunked") {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", c.size, body)
				}
				_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\n"+head+"\r\n"+body)
				is.NoErr(err)
				early, err := readFinalAnswer(t, conn)
				is.NoErr(err)
				is.Equal(early, fmt.Sprint(!strings.Contains(head, "Expect")))
			}
			is.Equal(<-seen, <-seen)
		})
	}
}

// readFinalAnswer returns the body of the answer on a connection, after a 100 Continue.
func readFinalAnswer(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	r := bufio.NewReader(conn)
	res, body, err := readAnswer(t, r, "POST")
	if err == nil && res.StatusCode == http.StatusContinue {
		_, body, err = readAnswer(t, r, "POST")
	}
	return body, err
}

// TestAwaitedBodiesOfOneLengthAreOneRequest guards against requests with different bodies
// after Expect: 100-continue that share a fingerprint, since they have the same length.
func TestAwaitedBodiesOfOneLengthAreOneRequest(t *testing.T) {
	is := is.New(t)
	a, _, dial := startAcceptor(t, pimento.Limits{})
	seen := make(fingerprints, 2)
	a.Handler = seen
	for _, body := range []string{"aaaa", "bbbb"} {
		conn := dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"+body)
		is.NoErr(err)
		_, err = readFinalAnswer(t, conn)
		is.NoErr(err)
	}
	first, second := <-seen, <-seen
	is.True(first != second)
}

// TestAwaitedBodyThatDoesNotCome guards against a request that is not answered at its
// deadline, since its caller has not sent the body that it has announced.
func TestAwaitedBodyThatDoesNotCome(t *testing.T) {
	is := is.New(t)
	a, _, dial := startAcceptor(t, pimento.Limits{})
	a.Handler = make(fingerprints, 1)
	conn := dial()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(800 * time.Millisecond)))
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\nPimentorelay-Deadline-Ms: 300\r\n\r\n")
	is.NoErr(err)
	_, err = readFinalAnswer(t, conn)
	is.NoErr(err)
}
