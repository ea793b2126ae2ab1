package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// fingerprints passes on the fingerprint of each request.
type fingerprints chan uint64

// Handle implements Handler.
func (f fingerprints) Handle(_ context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error) {
	f <- r.Fingerprint
	_, err := io.Copy(io.Discard, body)
	return textAnswer(""), err
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
				_, _, err = readAnswer(t, bufio.NewReader(conn), "POST")
				is.NoErr(err)
			}
			is.Equal(<-seen, <-seen)
		})
	}
}
