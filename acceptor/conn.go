package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

// conn is one connection of a caller.
type conn struct {
	acceptor   *Acceptor
	raw        net.Conn
	r          *bufio.Reader
	headLimit  *io.LimitedReader // under r, bounds the size of a header
	w          *bufio.Writer
	ctx        context.Context
	cancel     context.CancelFunc
	queue      chan *exchange // in the order of arrival
	writerDone chan struct{}  // closed when writeAnswers returns

	mu            sync.Mutex
	pending       int  // requests in queue or being answered
	reading       bool // a request has arrived in part and is not in queue yet
	closing       bool // the last answer has been written
	closeWhenIdle bool // set by closeIdle
}

func newConn(ctx context.Context, a *Acceptor, raw net.Conn) *conn {
	c := &conn{
		acceptor: a, raw: raw, w: bufio.NewWriterSize(raw, bufferSize),
		queue: make(chan *exchange, maxPipelined), writerDone: make(chan struct{}),
	}
	c.headLimit = &io.LimitedReader{R: raw}
	c.r = bufio.NewReaderSize(c.headLimit, bufferSize)
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// readRequests reads requests until the connection ends.
func (c *conn) readRequests() {
	defer c.raw.Close()
	defer c.cancel()
	for c.readRequest() {
	}
	close(c.queue)
	c.mu.Lock()
	busy := c.pending > 0 || c.closing
	c.mu.Unlock()
	if busy {
		c.linger()
	}
}

// linger discards input until the last answer has been written and lingerTimeout
// passes without input. A caller that disconnects meanwhile cancels its requests.
func (c *conn) linger() {
	c.headLimit.N = noLimit
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		_, err := c.r.Discard(max(1, c.r.Buffered()))
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		select {
		case <-c.writerDone:
			return
		default:
		}
	}
}

// readRequest reads and starts one request and reports whether another may
// follow.
func (c *conn) readRequest() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.acceptor.Limits()
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return false
	}
	c.headLimit.N = max(0, limits.HeaderBytes-int64(c.r.Buffered()))
	req, err := http.ReadRequest(c.r)
	arrived := time.Now()
	if err != nil {
		return c.refuseHeader(err)
	}
	c.headLimit.N = noLimit
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	x := c.newExchange(req, arrived, limits)
	if x.body != nil && x.body.sendContinue == nil && x.err == nil {
		x.err = x.readPrefix()
	}
	if x.body != nil && x.err == nil {
		x.body.startReadAhead()
	}
	c.startExchange(x)
	if x.body == nil {
		return !x.last
	}
	x.body.pump()
	if !x.body.discardRest() {
		return false // the start of the next request is unknown
	}
	return !x.last
}

// awaitRequest waits for the first byte of a request. The idle timeout ends only
// connections without pending requests.
func (c *conn) awaitRequest() bool {
	c.headLimit.N = noLimit
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.acceptor.Limits().IdleTimeout)); err != nil {
			return false
		}
		_, err := c.r.Peek(1)
		if err == nil {
			c.setReading()
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		c.mu.Lock()
		closing, closeWhenIdle, busy := c.closing, c.closeWhenIdle, c.pending > 0
		c.mu.Unlock()
		if closeWhenIdle && !closing && !busy {
			return c.recheckRequest()
		}
		if closing || !busy {
			return false
		}
	}
}

// recheckRequest checks once more for a request on a connection that is about to
// be closed, since an expired read deadline fails a read even if input has
// arrived.
func (c *conn) recheckRequest() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(recheckTimeout)); err != nil {
		return false
	}
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	c.setReading()
	return true
}

// setReading records that a request has begun to arrive, so that the connection
// is not idle.
func (c *conn) setReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

func (c *conn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// recheckTimeout bounds recheckRequest. It leaves time for one wake-up of the
// reading goroutine.
const recheckTimeout = 5 * time.Millisecond

// refuseHeader answers a request whose header could not be read, unless the caller
// has disconnected. It returns false: no request can follow.
func (c *conn) refuseHeader(err error) bool {
	reason := pimento.ReasonBadRequest
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = pimento.ReasonCallerSlow
	case c.headLimit.N <= 0:
		reason = pimento.ReasonHeaderTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err):
		return false // the caller has disconnected
	}
	x := &exchange{conn: c, last: true, request: &pimento.Request{}}
	x.refuse(pimento.NotRun(reason, err.Error()))
	c.enqueue(x)
	return false
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// newExchange returns the exchange of a parsed request.
func (c *conn) newExchange(req *http.Request, arrived time.Time, limits pimento.Limits) *exchange {
	x := &exchange{conn: c, last: req.Close || !req.ProtoAtLeast(1, 1) || c.acceptor.draining.Load(), method: req.Method, turn: make(chan struct{})}
	r := &pimento.Request{
		Method: req.Method, Path: req.RequestURI, Host: req.Host, Header: req.Header, BodyLength: req.ContentLength, ArrivedAt: arrived,
	}
	x.request = r
	if !strings.HasPrefix(r.Path, "/") {
		r.Path = req.URL.RequestURI()
	}
	expectsContinue := strings.EqualFold(req.Header.Get("Expect"), "100-continue")
	if req.ContentLength != 0 {
		x.body = &body{src: req.Body, limit: limits.BodyBytes, done: make(chan struct{}), conn: c}
		if expectsContinue {
			x.body.sendContinue = x.sendContinue
		}
	}
	pimento.StripHopByHop(req.Header)
	req.Header.Del("Expect")
	x.err = c.acceptor.Wire.ReadRequest(req.Header, arrived, r)
	if req.ContentLength > limits.BodyBytes {
		x.last = true // the body is not read to its end
		x.err = pimento.NotRun(pimento.ReasonBodyTooLarge, "the body is larger than operators allow")
	}
	return x
}

// startExchange queues an exchange and runs it, or refuses it if it has an error.
func (c *conn) startExchange(x *exchange) {
	if x.err != nil {
		var outcome *pimento.OutcomeError
		if !errors.As(x.err, &outcome) {
			outcome = pimento.NotRun(pimento.ReasonBadRequest, x.err.Error())
		}
		x.refuse(outcome)
		if x.body != nil {
			x.body.markDone()
		}
		c.enqueue(x)
		return
	}
	x.ready = make(chan struct{})
	c.enqueue(x)
	go x.handle()
}

func (c *conn) enqueue(x *exchange) {
	c.mu.Lock()
	c.pending++
	c.reading = false
	c.mu.Unlock()
	c.acceptor.active.Add(1)
	c.queue <- x
}

// closeIdle closes the connection if no request is pending on it or arriving.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	if c.pending == 0 && !c.reading {
		// A read deadline in the past ends the wait for the next request.
		if err := c.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.raw.Close()
		}
	}
}
