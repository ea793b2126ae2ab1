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
	a      *Acceptor
	raw    net.Conn
	r      *bufio.Reader
	head   *io.LimitedReader // under r, bounds what a header may take
	w      *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan *exchange // in the order of the requests
	ended  chan struct{}  // closed when the writer has ended

	mu      sync.Mutex
	pending int  // requests in queue or being answered
	reading bool // a request has begun to come that is not in queue yet
	closing bool // the last answer is out
	refused bool // no request is to follow
}

func newConn(ctx context.Context, a *Acceptor, raw net.Conn) *conn {
	c := &conn{
		a: a, raw: raw, w: bufio.NewWriterSize(raw, bufferSize),
		queue: make(chan *exchange, maxPipelined), ended: make(chan struct{}),
	}
	c.head = &io.LimitedReader{R: raw}
	c.r = bufio.NewReaderSize(c.head, bufferSize)
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// read takes requests until the connection ends.
func (c *conn) read() {
	defer c.raw.Close()
	defer c.cancel()
	for c.next() {
	}
	close(c.queue)
	c.mu.Lock()
	busy := c.pending > 0 || c.closing
	c.mu.Unlock()
	if busy {
		c.linger()
	}
}

// linger reads and drops what still comes until the last answer is out. A
// caller that leaves meanwhile cancels its requests.
func (c *conn) linger() {
	c.head.N = noLimit
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
		case <-c.ended:
			return
		default:
		}
	}
}

// next takes one request and reports whether another may follow.
func (c *conn) next() bool {
	if !c.awaitByte() {
		return false
	}
	limits := c.a.Limits()
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return false
	}
	c.head.N = max(0, limits.HeaderBytes-int64(c.r.Buffered()))
	req, err := http.ReadRequest(c.r)
	arrived := time.Now()
	if err != nil {
		return c.faulty(err)
	}
	c.head.N = noLimit
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	x := c.exchange(req, arrived, limits)
	if x.body != nil && x.err == nil {
		x.err = x.fetch()
	}
	c.begin(x)
	if x.body != nil && !x.body.finish() {
		return false // the next request cannot be found
	}
	return !x.last
}

// awaitByte waits for the first byte of a request. Only a connection without
// requests is idle.
func (c *conn) awaitByte() bool {
	c.head.N = noLimit
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.a.Limits().IdleTimeout)); err != nil {
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
		answered, refused, busy := c.closing, c.refused, c.pending > 0
		c.mu.Unlock()
		if refused && !answered && !busy {
			return c.lastByte()
		}
		if answered || !busy {
			return false
		}
	}
}

// lastByte looks once more for a request that has arrived on a connection that
// is to be closed, since a read deadline ends a wait before such bytes are
// seen.
func (c *conn) lastByte() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(lastByteTimeout)); err != nil {
		return false
	}
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	c.setReading()
	return true
}

// setReading notes that a request has begun to come, so that the connection is
// not idle any more.
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

// lastByteTimeout bounds that look. It leaves time for one wake-up.
const lastByteTimeout = 5 * time.Millisecond

// faulty answers a header that could not be read.
func (c *conn) faulty(err error) bool {
	reason := pimento.ReasonBadRequest
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = pimento.ReasonCallerSlow
	case c.head.N <= 0:
		reason = pimento.ReasonHeaderTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNet(err):
		return false // the caller has left
	}
	x := &exchange{conn: c, last: true, request: &pimento.Request{}}
	x.refuse(pimento.NotRun(reason, err.Error()))
	c.enqueue(x)
	return false
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// exchange turns a parsed message into a request with its answer to come.
func (c *conn) exchange(req *http.Request, arrived time.Time, limits pimento.Limits) *exchange {
	x := &exchange{conn: c, last: req.Close || !req.ProtoAtLeast(1, 1) || c.a.draining.Load(), method: req.Method, turn: make(chan struct{})}
	r := &pimento.Request{
		Method: req.Method, Path: req.RequestURI, Host: req.Host, Header: req.Header, BodyLength: req.ContentLength,
	}
	x.request = r
	if !strings.HasPrefix(r.Path, "/") {
		r.Path = req.URL.RequestURI()
	}
	expects := strings.EqualFold(req.Header.Get("Expect"), "100-continue")
	if req.ContentLength != 0 {
		x.body = &body{src: req.Body, limit: limits.BodyBytes, done: make(chan struct{}), conn: c}
		if expects {
			x.body.proceed = x.proceed
		}
	}
	pimento.StripConnection(req.Header)
	req.Header.Del("Expect")
	x.err = c.a.Wire.ReadRequest(req.Header, arrived, r)
	if req.ContentLength > limits.BodyBytes {
		x.last = true // the rest of the body is not read
		x.err = pimento.NotRun(pimento.ReasonBodyTooLarge, "the body is larger than operators allow")
	}
	return x
}

// begin puts an exchange in line and runs it.
func (c *conn) begin(x *exchange) {
	if x.err != nil {
		var out *pimento.OutcomeError
		if !errors.As(x.err, &out) {
			out = pimento.NotRun(pimento.ReasonBadRequest, x.err.Error())
		}
		x.refuse(out)
		if x.body != nil {
			x.body.abandon()
		}
		c.enqueue(x)
		return
	}
	x.ready = make(chan struct{})
	c.enqueue(x)
	go x.run()
}

func (c *conn) enqueue(x *exchange) {
	c.mu.Lock()
	c.pending++
	c.reading = false
	c.mu.Unlock()
	c.a.active.Add(1)
	c.queue <- x
}

// closeIdle closes the connection if no request runs on it or begins to come.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	if c.pending == 0 && !c.reading {
		// A read deadline in the past ends the wait for a next request.
		if err := c.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.raw.Close()
		}
	}
}
