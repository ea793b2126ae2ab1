package acceptor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
)

// exchange is one request with its answer.
type exchange struct {
	conn    *conn
	request *pimento.Request
	method  string
	body    *body  // nil where the request has none
	begin   []byte // of the body, read before the request runs
	last    bool   // the caller wants no other answer on this connection
	err     error  // the request is faulty
	turn    chan struct{}

	ready   chan struct{} // closed when answer or out is set; nil: it is
	answer  pimento.Answer
	out     *pimento.OutcomeError
	release context.CancelFunc
}

// fetch reads a short body whole before the request runs, or the beginning of
// a longer one. A request that waits then holds up neither the next one nor the
// finding out that its caller has left. A body that is to be asked for is left.
func (x *exchange) fetch() error {
	if x.body.proceed != nil {
		return nil
	}
	if err := x.conn.raw.SetReadDeadline(x.request.Deadline); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	begin := make([]byte, fetchSize)
	n, err := io.ReadFull(x.body, begin)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && x.body.whole():
		x.request.BodyLength = int64(n)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.last = true
		return pimento.NotRun(pimento.ReasonCallerSlow, "the body has not come before the deadline")
	case err != nil:
		x.last = true
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	x.begin = begin[:n]
	if err := x.conn.raw.SetReadDeadline(time.Time{}); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	return nil
}

// run lets the handler answer the request.
func (x *exchange) run() {
	defer close(x.ready)
	ctx, cancel := context.WithCancel(x.conn.ctx)
	x.release = cancel
	var src io.Reader = http.NoBody
	if x.body != nil {
		src = io.MultiReader(bytes.NewReader(x.begin), x.body)
	}
	x.request.SetPrint(x.begin)
	answer, err := x.conn.a.Handler.Handle(ctx, x.request, src)
	if x.body != nil {
		x.body.abandon()
	}
	if err == nil {
		x.answer = answer
		return
	}
	if !errors.As(err, &x.out) {
		x.out = pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
}

// refuse ends an exchange that never reached the handler.
func (x *exchange) refuse(out *pimento.OutcomeError) {
	x.out = out
	if x.conn.a.OnRefused != nil {
		x.conn.a.OnRefused(x.request, out)
	}
}

// proceed tells a caller that asked to send its body.
func (x *exchange) proceed() error {
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Err()
	}
	if _, err := x.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// write sends the answers in order until the connection ends.
func (c *conn) write() {
	defer close(c.ended)
	broken := false
	for x := range c.queue {
		if x.turn != nil {
			close(x.turn)
		}
		if x.ready != nil {
			<-x.ready
		}
		if !broken && !c.answer(x) {
			broken = true
			c.cancel()
		}
		x.end()
		c.a.active.Add(-1)
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
	}
}

// end frees what the exchange holds.
func (x *exchange) end() {
	if x.answer.Body != nil {
		x.answer.Body.Close()
	}
	if x.release != nil {
		x.release()
	}
}

// answer writes one answer and reports whether another may follow.
func (c *conn) answer(x *exchange) bool {
	if c.ctx.Err() != nil {
		c.cut(x, context.Cause(c.ctx))
		return false
	}
	last := x.last || c.isLast()
	head := x.answer.Head
	body := io.Reader(x.answer.Body)
	if x.out != nil {
		head, body = c.refusal(x), nil
	} else {
		c.a.Wire.WriteAnswer(head.Header, x.request)
	}
	if err := c.send(x, head, body, last); err != nil {
		c.raw.Close()
		c.cut(x, err)
		return false
	}
	if last {
		c.finish()
	}
	return !last
}

// cut tells of an answer of an upstream that did not reach its caller whole.
func (c *conn) cut(x *exchange, err error) {
	if x.out == nil && c.a.OnCut != nil {
		c.a.OnCut(x.request, err)
	}
}

// isLast reports whether the process is shutting down and no other request
// waits on the connection. One that was read since then is marked as the last
// by the reader, so that a caller that keeps sending is not served for ever.
func (c *conn) isLast() bool {
	if !c.a.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending <= 1
}

// finish ends the connection after its last answer. The reader drops what
// still comes.
func (c *conn) finish() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			c.raw.Close()
			return
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		c.raw.Close()
	}
}

// refusal returns the head of an answer that is the system's own.
func (c *conn) refusal(x *exchange) pimento.AnswerHead {
	h := make(http.Header)
	status := c.a.Wire.WriteRefusal(h, x.request, x.out)
	return pimento.AnswerHead{Status: status, Header: h}
}

// send writes head and body of an answer.
func (c *conn) send(x *exchange, head pimento.AnswerHead, body io.Reader, last bool) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "HTTP/1.1 %d %s\r\n", head.Status, http.StatusText(head.Status)); err != nil {
		return err
	}
	empty := x.method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified
	h := head.Header
	if last {
		h.Set("Connection", "close")
	}
	switch {
	case empty:
	case head.BodyLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(head.BodyLength, 10))
	default:
		h.Del("Content-Length")
		h.Set("Transfer-Encoding", "chunked")
	}
	if err := h.Write(c.w); err != nil {
		return err
	}
	if _, err := c.w.WriteString("\r\n"); err != nil {
		return err
	}
	if body != nil && !empty {
		if err := c.copyBody(head.BodyLength, body); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// copyBody sends a body of the given length, or in chunks.
func (c *conn) copyBody(length int64, body io.Reader) error {
	if length >= 0 {
		_, err := io.CopyN(c.w, body, length)
		return err
	}
	chunks := httputil.NewChunkedWriter(c.w)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := c.w.WriteString("\r\n")
	return err
}

// errTooLarge is the cause where a body without a length exceeds the limit.
var errTooLarge = errors.New("the body is larger than operators allow")

// body is the body of a request. The handler reads it; what it leaves is
// dropped, so that the next request can be read.
type body struct {
	src     io.ReadCloser
	limit   int64
	conn    *conn
	proceed func() error // nil: the caller sends without being asked
	once    sync.Once
	done    chan struct{} // closed when the handler reads no more
	left    atomic.Bool   // the handler reads no more

	mu   sync.Mutex // held while src is read
	read int64
	end  error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == io.EOF {
		return 0, io.EOF
	}
	if b.left.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.proceed != nil {
		ask := b.proceed
		b.proceed = nil
		if err := ask(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	b.read += int64(n)
	if err == nil && b.read > b.limit {
		err = errTooLarge
	}
	if err != nil {
		b.end = err
		b.abandon()
		if b.hasLeft(err) {
			b.conn.cancel()
		}
	}
	return n, err
}

// hasLeft reports whether an error of reading says that the caller has left. One
// that is only slow is still there to be answered.
func (b *body) hasLeft(err error) bool {
	return err != io.EOF && err != errTooLarge && !errors.Is(err, os.ErrDeadlineExceeded) && !b.left.Load()
}

// whole reports whether all of the body has been read.
func (b *body) whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == io.EOF
}

// abandon says that the handler reads no more.
func (b *body) abandon() {
	b.once.Do(func() { close(b.done) })
}

// finish waits until the handler reads no more, drops the rest, and reports
// whether the body has come whole.
func (b *body) finish() bool {
	<-b.done
	b.left.Store(true)
	// A read that is still under way belongs to a request that was given up.
	if err := b.conn.raw.SetReadDeadline(time.Now().Add(dropTimeout)); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proceed != nil {
		return false // the caller may send it or not
	}
	if b.end == nil {
		_, b.end = io.Copy(io.Discard, io.LimitReader(b.src, b.limit))
		return b.end == nil && b.ended()
	}
	return b.end == io.EOF
}

// ended reports whether nothing of the body is left. The caller holds mu.
func (b *body) ended() bool {
	var one [1]byte
	_, err := b.src.Read(one[:])
	return err == io.EOF
}
