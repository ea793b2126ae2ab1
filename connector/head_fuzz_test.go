package connector

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzReadHead guards against heads of answers that end a process, and against a status that is
// none in an answer.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 Nope\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n0\r\na:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		limit := &io.LimitedReader{R: bytes.NewReader(data), N: noLimit}
		cn := &conn{r: bufio.NewReaderSize(limit, bufferSize), headLimit: limit}
		res, err := cn.readHead(&http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		if res.StatusCode < 100 || res.StatusCode > 599 {
			t.Fatalf("status %d", res.StatusCode)
		}
		_, _ = io.Copy(io.Discard, res.Body) // a part may be missing
	})
}
