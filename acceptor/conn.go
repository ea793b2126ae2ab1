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
	"pimentorelay.example/pimento/meter"
)

// conn is one connection of a caller.
type conn struct {
	acceptor   *Acceptor
	raw        net.Conn
	r          *bufio.Reader
	head       *headReader // under r
	account    *meter.Account
	headCost   int64 // charged for the head that is read
	recent     costRate
	w          *bufio.Writer
	ctx        context.Context
	cancel     context.CancelFunc
	queue      chan *exchange // in the order of arrival
	writerDone chan struct{}  // closed when writeAnswers returns

	mu            sync.Mutex
	pending       int       // requests in queue or being answered
	reading       bool      // a request has arrived in part and is not in queue yet
	closing       bool      // no request is read any more: the last answer has begun
	idleSince     time.Time // when the last answer was written, or the connection opened
	closeWhenIdle bool      // set by closeIdle
}

func newConn(ctx context.Context, a *Acceptor, raw net.Conn) *conn {
	c := &conn{
		acceptor: a, raw: raw, w: bufio.NewWriterSize(raw, bufferSize),
		queue: make(chan *exchange, maxPipelined), writerDone: make(chan struct{}),
	}
	c.head = &headReader{src: raw, left: noLimit}
	c.r = bufio.NewReaderSize(c.head, bufferSize)
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.idleSince = time.Now()
	return c
}

// evict closes the connection, which takes too much memory, with all of its requests.
func (c *conn) evict() {
	c.raw.Close()
	c.cancel()
}

// chargeHead charges a part of the head that is read.
func (c *conn) chargeHead(bytes, lines int) bool {
	n := headCost(bytes, lines)
	if !c.account.Reserve(n) {
		return false
	}
	c.headCost += n
	return true
}

// awaitRoom waits until the requests of this connection take less than its share of the memory,
// so that a caller that sends many ahead, or reads no answers, waits for itself. One request
// may always be read.
func (c *conn) awaitRoom() bool {
	for {
		ok, changed := c.account.HasRoom()
		if ok || !c.isBusy() {
			return true
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
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
	if !busy && !c.isDelivered() {
		c.closeWrite()
		busy = true
	}
	if busy {
		c.linger()
	}
}

// readRequest reads and starts one request and reports whether another may
// follow.
func (c *conn) readRequest() bool {
	if !c.awaitRoom() || !c.awaitRequest() {
		return false
	}
	limits := c.acceptor.Limits()
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return false
	}
	req, err := c.readHead(limits)
	arrived := time.Now()
	if err != nil {
		return c.refuseHeader(err)
	}
	c.head.end()
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	x := c.newExchange(req, arrived, limits)
	pause := c.pace()
	if x.body != nil && x.body.sendContinue == nil && x.err == nil {
		x.err = x.readPrefix()
	}
	if x.body != nil && x.err == nil {
		x.body.startReadAhead()
	}
	c.startExchange(x)
	if x.body != nil {
		x.body.pump()
		if !x.body.discardRest() {
			return false // the start of the next request is unknown
		}
	}
	return !x.last && c.rest(pause)
}

// pace returns how long the connection has to wait after the request that was read.
func (c *conn) pace() time.Duration {
	if c.acceptor.Delay == nil {
		return 0
	}
	return c.acceptor.pacer.pause(time.Now(), &c.recent, c.headCost, c.acceptor.Connections(), c.acceptor.Delay())
}

// rest waits, and reports false if the connection ends before.
func (c *conn) rest(d time.Duration) bool {
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// readHead reads and parses the head of a request.
func (c *conn) readHead(limits pimento.Limits) (*http.Request, error) {
	c.headCost = 0
	if !c.account.Reserve(requestCost) {
		c.head.refused = true
		return nil, errNoRoom
	}
	c.headCost = requestCost
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return nil, err
	}
	if !c.head.begin(limits.HeaderBytes, buffered, c.chargeHead) {
		return nil, errNoRoom
	}
	return http.ReadRequest(c.r)
}

// awaitRequest waits for the first byte of a request. The idle timeout ends only
// connections without pending requests.
func (c *conn) awaitRequest() bool {
	c.head.end()
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.acceptor.Limits().IdleTimeout)); err != nil {
			return false
		}
		_, err := c.r.Peek(1)
		if err == nil {
			return c.setReading()
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

// setReading records that a request has begun to arrive, so that the connection
// is not idle. It reports false if the last answer has begun: callers take
// what they sent behind it for not read.
func (c *conn) setReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closing
	return c.reading
}

// idle returns since when no request is pending or arriving, false if one is.
func (c *conn) idle() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.pending == 0 && !c.reading
}

func (c *conn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// refuseHeader answers a request whose header could not be read, unless the caller
// has disconnected. It returns false: no request can follow.
func (c *conn) refuseHeader(err error) bool {
	reason := pimento.ReasonBadRequest
	switch {
	case c.head.refused:
		reason = pimento.ReasonNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = pimento.ReasonCallerSlow
	case c.head.left <= 0:
		reason = pimento.ReasonHeaderTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err):
		c.account.Release(c.headCost)
		return false // the caller has disconnected
	}
	x := &exchange{conn: c, last: true, request: &pimento.Request{}, cost: c.headCost}
	refusal := pimento.NotRun(reason, headFault(err))
	if reason == pimento.ReasonNoMemory {
		refusal.RetryAfter = memoryRetryAfter
	}
	x.refuse(refusal)
	c.enqueue(x)
	return false
}

// headFault describes why a head could not be parsed, without the text of the caller: that may
// contain an API key.
func headFault(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\"")
	text, _, _ = strings.Cut(text, ":")
	return strings.TrimSpace(text)
}

// memoryRetryAfter is the time after which callers should retry that were refused for want of
// memory.
const memoryRetryAfter = 500 * time.Millisecond

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// newExchange returns the exchange of a parsed request.
func (c *conn) newExchange(req *http.Request, arrived time.Time, limits pimento.Limits) *exchange {
	x := &exchange{conn: c, cost: c.headCost, last: req.Close || !req.ProtoAtLeast(1, 1) || c.acceptor.draining.Load(), method: req.Method, turn: make(chan struct{})}
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
