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
	body    *body         // nil if the request has none
	prefix  []byte        // start of the body, read before the request runs
	last    bool          // the connection is closed after this answer
	err     error         // why the request is refused without being run
	cost    int64         // charged to the account of the connection
	turn    chan struct{} // closed when the earlier answers have been written

	ready   chan struct{} // closed when answer or outcome is set; nil: already set
	answer  pimento.Answer
	outcome *pimento.OutcomeError
	cancel  context.CancelFunc
}

// readPrefix reads all of a short body, or the start of a longer one, before the
// request runs. A waiting request with a short body then delays neither the next
// request nor the detection of its caller's disconnect.
func (x *exchange) readPrefix() error {
	if err := x.conn.raw.SetReadDeadline(x.request.Deadline); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	size := int64(bodyPrefixSize)
	if x.request.BodyLength > 0 {
		size = min(size, x.request.BodyLength+1) // to read the end of a short body as well
	}
	if !x.reserve(size * bodyCost) {
		x.last = true
		return refuseForMemory()
	}
	prefix := make([]byte, size)
	n, err := io.ReadFull(x.body, prefix)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && x.body.isComplete():
		x.request.BodyLength = int64(n)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.last = true
		return pimento.NotRun(pimento.ReasonCallerSlow, "the body has not come before the deadline")
	case err != nil:
		x.last = true
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	x.prefix = prefix[:n]
	if x.body.isComplete() {
		return nil // the next read of the connection sets a deadline of its own
	}
	if err := x.conn.raw.SetReadDeadline(time.Time{}); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	return nil
}

// reserve charges more memory to the exchange, and reports whether there is room for it.
func (x *exchange) reserve(n int64) bool {
	if !x.conn.account.Reserve(n) {
		return false
	}
	x.cost += n
	return true
}

// refuseForMemory returns the refusal of a request for which there is no memory.
func refuseForMemory() *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonNoMemory, errNoRoom.Error())
	out.RetryAfter = memoryRetryAfter
	return out
}

// chargeAnswer charges the answer, which is there already, to the exchange.
func (x *exchange) chargeAnswer() {
	n := int64(0)
	for name, values := range x.answer.Head.Header {
		for _, v := range values {
			n += headCost(len(name)+len(v), 1)
		}
	}
	n += min(max(x.answer.Head.BodyLength, 0), bodyPrefixSize)
	x.conn.account.Charge(n)
	x.cost += n
}

// handle passes the request to the handler.
func (x *exchange) handle() {
	defer close(x.ready)
	ctx, cancel := context.WithCancelCause(x.conn.ctx)
	x.cancel = func() { cancel(nil) }
	requests := x.conn.acceptor.requests
	stop := context.AfterFunc(requests, func() { cancel(context.Cause(requests)) })
	defer stop()
	answer, err := x.conn.acceptor.Handler.Handle(ctx, x.request, x.source())
	if x.body != nil {
		x.body.endHandler()
	}
	if err == nil {
		x.answer = answer
		x.chargeAnswer()
		return
	}
	if !errors.As(err, &x.outcome) {
		x.outcome = pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
}

// source returns the body as the handler reads it, and sets the fingerprint of the
// request unless the body awaits a 100 Continue.
func (x *exchange) source() io.Reader {
	if x.body != nil && x.body.sendContinue != nil {
		return &awaitedBody{exchange: x}
	}
	x.request.SetFingerprint(x.prefix)
	if x.body == nil {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(x.prefix), x.body)
}

// awaitedBody is a body that awaits a 100 Continue. The first read reads its beginning and
// sets the fingerprint of its request.
type awaitedBody struct {
	exchange *exchange
	src      io.Reader // nil before the first read
	err      error     // of the first read
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	if b.src == nil && b.err == nil {
		b.start()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.src.Read(p)
}

func (b *awaitedBody) start() {
	x := b.exchange
	if b.err = x.readPrefix(); b.err != nil {
		return
	}
	x.request.SetFingerprint(x.prefix)
	b.src = io.MultiReader(bytes.NewReader(x.prefix), x.body)
}

// refuse ends an exchange before it reaches the handler.
func (x *exchange) refuse(outcome *pimento.OutcomeError) {
	if x.mayFitLater(outcome) {
		outcome = pimento.NotRun(pimento.ReasonStaleManifest, outcome.Detail+", by a manifest that may be too old")
		outcome.RetryAfter = limitsRetryAfter
	}
	x.outcome = outcome
	if x.conn.acceptor.OnRefused != nil {
		x.conn.acceptor.OnRefused(x.request, outcome)
	}
}

// mayFitLater reports whether a request is refused by limits that may be too old.
func (x *exchange) mayFitLater(outcome *pimento.OutcomeError) bool {
	if outcome.Reason != pimento.ReasonHeaderTooLarge && outcome.Reason != pimento.ReasonBodyTooLarge {
		return false
	}
	at := x.request.ArrivedAt
	if at.IsZero() {
		at = time.Now()
	}
	isCurrent := x.conn.acceptor.IsCurrent
	return isCurrent != nil && !isCurrent(at)
}

// sendContinue sends a 100 Continue once the earlier answers have been written.
func (x *exchange) sendContinue() error {
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

// writeAnswers sends the answers in order until the connection ends.
func (c *conn) writeAnswers() {
	defer close(c.writerDone)
	broken := false
	for x := range c.queue {
		if x.turn != nil {
			close(x.turn)
		}
		if x.ready != nil {
			<-x.ready
		}
		if !broken && !c.sendAnswer(x) {
			broken = true
			c.cancel()
		}
		x.release()
		c.acceptor.active.Add(-1)
		c.mu.Lock()
		c.pending--
		c.idleSince = time.Now()
		c.mu.Unlock()
	}
}

// release closes the answer's body and cancels the request's context.
func (x *exchange) release() {
	if x.answer.Body != nil {
		x.answer.Body.Close()
	}
	if x.cancel != nil {
		x.cancel()
	}
	x.conn.account.Release(x.cost)
	x.answer, x.prefix = pimento.Answer{}, nil
}

// sendAnswer writes the answer or refusal of an exchange, and reports whether
// another may follow.
func (c *conn) sendAnswer(x *exchange) bool {
	if c.ctx.Err() != nil {
		c.reportTruncated(x, context.Cause(c.ctx))
		return false
	}
	last := x.last || c.isLast()
	head := x.answer.Head
	body := io.Reader(x.answer.Body)
	if x.outcome != nil {
		head, body = c.refusalHead(x), nil
	} else {
		c.acceptor.Wire.WriteAnswer(head.Header, x.request)
	}
	if err := c.writeAnswer(x, head, body, last); err != nil {
		c.raw.Close()
		c.reportTruncated(x, err)
		return false
	}
	if last {
		c.closeWrite()
	}
	return !last
}

// reportTruncated reports an upstream's answer that did not reach its caller in
// full.
func (c *conn) reportTruncated(x *exchange, err error) {
	if x.outcome == nil && c.acceptor.OnTruncated != nil {
		c.acceptor.OnTruncated(x.request, err)
	}
}

// isLast reports whether the process is draining and no other request is pending
// on the connection. The reader marks requests that it reads while draining as
// last, so that a caller that keeps sending is not served forever.
func (c *conn) isLast() bool {
	if !c.acceptor.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending <= 1
}

// closeWrite closes the write side of the connection after its last answer.
// Requests that arrive later are not answered.
func (c *conn) closeWrite() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	if closer, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if err := closer.CloseWrite(); err != nil {
			c.raw.Close()
			return
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		c.raw.Close()
	}
}

// refusalHead returns the head of the answer to a request that got none from an
// upstream.
func (c *conn) refusalHead(x *exchange) pimento.AnswerHead {
	h := make(http.Header)
	status := c.acceptor.Wire.WriteRefusal(h, x.request, x.outcome)
	return pimento.AnswerHead{Status: status, Header: h}
}

// writeAnswer writes the head and body of an answer.
func (c *conn) writeAnswer(x *exchange, head pimento.AnswerHead, body io.Reader, last bool) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "HTTP/1.1 %d %s\r\n", head.Status, http.StatusText(head.Status)); err != nil {
		return err
	}
	noBody := x.method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified
	h := head.Header
	if last {
		h.Set("Connection", "close")
	}
	switch {
	case noBody:
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
	if body != nil && !noBody {
		if err := c.copyBody(head.BodyLength, body); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// copyBody writes a body of the given length, or in chunks if length is negative.
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

// errBodyEnded is the error of a handler that reads after it has returned.
var errBodyEnded = errors.New("the request has ended")

// errTooLarge is the error if a body without a length exceeds the limit.
var errTooLarge = errors.New("the body is larger than operators allow")

// body is the body of a request. What the handler does not read is discarded, so
// that the next request can be read.
type body struct {
	src          io.ReadCloser
	limit        int64
	conn         *conn
	sendContinue func() error // nil: no 100 Continue is due
	ahead        *readAhead   // nil: the handler reads src itself
	once         sync.Once
	done         chan struct{} // closed when the handler has returned, or the body has ended or failed
	closed       atomic.Bool   // further reads by the handler fail

	mu        sync.Mutex // held while src is read
	bytesRead int64
	readErr   error // of the last read of src; io.EOF: complete
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ahead != nil {
		return b.ahead.Read(p)
	}
	return b.readSource(p)
}

// readSource reads from src.
func (b *body) readSource(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readErr == io.EOF {
		return 0, io.EOF
	}
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.sendContinue != nil {
		sendContinue := b.sendContinue
		b.sendContinue = nil
		if err := sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	b.bytesRead += int64(n)
	if err == nil && b.bytesRead > b.limit {
		err = errTooLarge
	}
	if err != nil {
		b.readErr = err
		b.markDone()
		if b.isDisconnect(err) {
			b.conn.cancel()
		}
	}
	return n, err
}

// isDisconnect reports whether a read error means that the caller has
// disconnected. A caller that is only slow can still be answered.
func (b *body) isDisconnect(err error) bool {
	return err != io.EOF && err != errTooLarge && !errors.Is(err, os.ErrDeadlineExceeded) && !b.closed.Load()
}

// isComplete reports whether the body has been read to its end.
func (b *body) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr == io.EOF
}

// markDone records that the handler does not read on, or that all has been read.
func (b *body) markDone() {
	b.once.Do(func() { close(b.done) })
}

// endHandler records that the handler has returned. A read of src that is running
// then belongs to nobody, so it ends within discardTimeout.
func (b *body) endHandler() {
	b.markDone()
	if b.ahead == nil {
		return
	}
	b.ahead.end(func() {
		if err := b.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
			b.conn.cancel()
		}
	})
}

// startReadAhead makes the connection's reader read the body from now on. A body
// that awaits a 100 Continue, or has been read, is left to the handler.
func (b *body) startReadAhead() {
	if b.sendContinue == nil && !b.isComplete() {
		b.ahead = newReadAhead(b.conn.account)
	}
}

// pump reads the body ahead until it ends or fails, or the handler has returned.
func (b *body) pump() {
	if b.ahead == nil {
		return
	}
	chunk := make([]byte, pumpChunkSize)
	for {
		n, err := b.readSource(chunk)
		if !b.ahead.add(chunk[:n], err) {
			break
		}
	}
	b.ahead.finish()
}

// pumpChunkSize is the most that is read ahead at once, in bytes.
const pumpChunkSize = 16 << 10

// discardRest waits for done, discards the rest of the body, and reports whether
// the body has been read to its end.
func (b *body) discardRest() bool {
	<-b.done
	b.closed.Store(true)
	// A read that is still running belongs to a request that was abandoned.
	if err := b.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sendContinue != nil {
		return false // the caller may or may not send the body
	}
	if b.readErr == nil {
		_, b.readErr = io.Copy(io.Discard, io.LimitReader(b.src, b.limit))
		return b.readErr == nil && b.atEOF()
	}
	return b.readErr == io.EOF
}

// atEOF reports whether the body has ended. The caller holds mu.
func (b *body) atEOF() bool {
	var one [1]byte
	_, err := b.src.Read(one[:])
	return err == io.EOF
}
