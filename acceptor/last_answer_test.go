package acceptor

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// longHandler answers "/long" when the test lets it, with a body that the test writes, and
// counts its requests.
type longHandler struct {
	started chan string
	begin   chan struct{}
	length  int64
	body    io.ReadCloser
}

// Handle implements Handler.
func (h *longHandler) Handle(_ context.Context, r *pimento.Request, _ io.Reader) (pimento.Answer, error) {
	h.started <- r.Path
	if r.Path != "/long" {
		return textAnswer(r.Path), nil
	}
	<-h.begin
	return pimento.Answer{Head: pimento.AnswerHead{Status: http.StatusOK, Header: make(http.Header), BodyLength: h.length}, Body: h.body}, nil
}

// TestRequestBehindTheLastAnswer guards against a request that comes while an answer is being
// written that says it is the last: it was run, and its connection closed without an answer.
func TestRequestBehindTheLastAnswer(t *testing.T) {
	is := is.New(t)
	piece := strings.Repeat("x", 2*bufferSize)
	body, writer := io.Pipe()
	h := &longHandler{started: make(chan string, 8), begin: make(chan struct{}), length: int64(2 * len(piece)), body: body}
	a, _, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) { a.Handler = h })
	c := dial()
	io.WriteString(c, getRequest("/long"))
	is.Equal(<-h.started, "/long")
	a.Drain()
	close(h.begin)
	io.WriteString(writer, piece)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.True(res.Close)
	io.WriteString(c, getRequest("/behind"))
	time.Sleep(50 * time.Millisecond)
	io.WriteString(writer, piece)
	text, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(len(text), 2*len(piece))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)       // closed in order: nothing was lost
	is.Equal(len(h.started), 0) // the caller sends it again
}

// TestRequestThatArrivesBeforeTheLastAnswer guards against the answer to a request being the
// last while the next request has arrived in part.
func TestRequestThatArrivesBeforeTheLastAnswer(t *testing.T) {
	is := is.New(t)
	h := &longHandler{started: make(chan string, 8), begin: make(chan struct{}), length: 2, body: io.NopCloser(strings.NewReader("ok"))}
	a, _, dial := startAcceptor(t, pimento.Limits{}, func(a *Acceptor) { a.Handler = h })
	c := dial()
	next := getRequest("/next")
	io.WriteString(c, getRequest("/long")+next[:10])
	is.Equal(<-h.started, "/long")
	time.Sleep(50 * time.Millisecond) // until its beginning is read
	a.Drain()
	close(h.begin)
	r := bufio.NewReader(c)
	res, _, err := readAnswer(t, r, "GET")
	is.NoErr(err)
	is.True(!res.Close)
	io.WriteString(c, next[10:])
	res, text, err := readAnswer(t, r, "GET")
	is.NoErr(err)
	is.True(res.Close)
	is.Equal(text, "/next")
}
