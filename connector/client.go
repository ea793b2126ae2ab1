// Package connector is the client of one upstream over HTTP/1.1.
//
// It has a connection pool of its own, because the transport of net/http
// resends a request without a body when a reused connection turns out to be
// closed. Here a request is written at most once. An answer is matched to its
// request by the ID that the upstream echoes: a stale answer, to an earlier
// request on the connection, is discarded. A request that is sent again gets another
// connection, since its ID does not tell the answers to its sendings apart.
//
// # Usage
//
//	c := &connector.Client{Server: server, Wire: platform.Wire{}}
//	answer, metadata, err := c.Send(ctx, request, body)
//	err = c.Grant(ctx, grant)
//	handover, err := c.Release(ctx, keyRange, fence, wait)
//	c.Close()
//
// An error of Send is a *pimento.OutcomeError: NotRun if the request certainly
// did not run (no connection, or the upstream refused it), Unknown if it may
// have run.
package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// announces no idle timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutFraction is the fraction of an upstream's announced idle timeout
	// for which a connection is reused, so that no request races with its close.
	idleTimeoutFraction = 0.7
	// maxIdleConns is the maximum number of idle connections.
	maxIdleConns = 8
	// controlTimeout bounds grants and probes.
	controlTimeout = 600 * time.Millisecond
	// maxDiscardBytes is the most of an unwanted answer body that is read so that
	// its connection can be reused.
	maxDiscardBytes = 64 << 10
	// bufferSize is the size of a connection's read and write buffers in bytes.
	bufferSize = 4 << 10
	// maxHeadBytes is the largest head of an answer in bytes.
	maxHeadBytes = 64 << 10
	// noLimit is a limit that no answer reaches, in bytes.
	noLimit = 1 << 62
	// maxAnswersRead is the most answers that are read for one request, interim
	// (1xx) and stale ones included.
	maxAnswersRead = 4
)

// Client sends requests to one run of an upstream. Set the exported fields
// before use.
type Client struct {
	Server pimento.Server
	Wire   pimento.UpstreamWire
	// HealthPath is the path of the upstream's health check; empty: none.
	HealthPath string
	// OnDial is called for every new connection; it may be nil.
	OnDial func()
	// CheckSend is called before a request is sent and again right before it is written.
	// Its error, a *pimento.OutcomeError with outcome NotRun, stops it. It may be nil.
	CheckSend func() error
	// OnAnswer is called with the metadata of every answer of this upstream, whatever it
	// is to, and when its request was about to be written; it may be nil.
	OnAnswer func(writtenAt time.Time, m pimento.AnswerMetadata)

	mu            sync.Mutex
	idle          []*conn
	closed        bool
	closedEarlyAt time.Time // when an idle connection was last found closed early
	probedAt      time.Time // when a request last caused a health probe
}

// conn is one connection.
type conn struct {
	net.Conn
	r           *bufio.Reader
	headLimit   *io.LimitedReader // under r, bounds the size of a head
	w           *bufio.Writer
	expires     time.Time // not reused from then on
	idleTimeout time.Duration
	used        bool // an answer has been read on it
	controlled  bool // it has carried a control call
	refused     []refusedRequest
}

// refusedRequest is a request that was refused on a connection and may be sent again.
type refusedRequest struct {
	id       string
	deadline time.Time // it is not sent again after that
}

// noteRefused records that a request was refused on the connection.
func (cn *conn) noteRefused(now time.Time, r *pimento.Request) {
	cn.refused = slices.DeleteFunc(cn.refused, func(x refusedRequest) bool { return now.After(x.deadline) })
	cn.refused = append(cn.refused, refusedRequest{id: r.ID, deadline: r.Deadline})
}

// hasRefused reports whether a request with this ID was refused on the connection. A late
// second copy of that refusal would be taken for the answer to the next sending.
func (cn *conn) hasRefused(id string) bool {
	return slices.ContainsFunc(cn.refused, func(x refusedRequest) bool { return x.id == id })
}

// Close closes the idle connections. Running requests are not interrupted.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, cn := range idle {
		cn.Close()
	}
}

// takeIdleConn removes a reusable idle connection from the pool and returns it,
// or nil if there is none that may carry the call.
func (c *Client) takeIdleConn(now time.Time, mayCarry func(*conn) bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle) - 1; n >= 0; n-- {
		cn := c.idle[n]
		if !mayCarry(cn) {
			continue
		}
		c.idle = slices.Delete(c.idle, n, n+1)
		if c.isReusable(now, cn) {
			return cn
		}
		cn.Close()
	}
	return nil
}

// HasIdleConn reports whether a request may be sent without opening a connection.
func (c *Client) HasIdleConn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle, func(cn *conn) bool { return now.Before(cn.expires) })
}

// pruneIdleConns closes the idle connections that are no longer reusable, and
// returns when the upstream was last found to have closed one early.
func (c *Client) pruneIdleConns(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*conn
	for _, cn := range c.idle {
		if c.isReusable(now, cn) {
			kept = append(kept, cn)
			continue
		}
		cn.Close()
	}
	c.idle = kept
	return c.closedEarlyAt
}

// isReusable reports whether an idle connection may be used for a request. It
// sets closedEarlyAt if the connection was closed, or has unexpected input,
// before it expired. The caller holds mu.
func (c *Client) isReusable(now time.Time, cn *conn) bool {
	if !now.Before(cn.expires) {
		return false
	}
	if cn.r.Buffered() > 0 || !isOpenAndIdle(cn.Conn) {
		c.closedEarlyAt = now
		return false
	}
	return true
}

// putIdleConn returns a connection to the pool after a complete exchange.
func (c *Client) putIdleConn(cn *conn) {
	if cn.r.Buffered() > 0 { // bytes after a complete answer belong to no request
		cn.Close()
		return
	}
	cn.expires = time.Now().Add(cn.idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
	if len(c.idle) > maxIdleConns {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
}

// dial opens a connection. Closing it withdraws what was written and not received.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.Server.Address.String())
	if err != nil {
		return nil, err
	}
	// Closing then resets the connection, also when the process ends: after an orderly
	// close, the kernel would go on sending a call that was given up.
	if tcp, ok := raw.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			raw.Close()
			return nil, err
		}
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	limit := &io.LimitedReader{R: raw, N: noLimit}
	return &conn{
		Conn: raw, r: bufio.NewReaderSize(limit, bufferSize), headLimit: limit,
		w: bufio.NewWriterSize(raw, bufferSize), idleTimeout: defaultIdleTimeout,
	}, nil
}

// readHead reads the head of an answer. The body can be read from the answer, but
// must not be closed: that would read on to its end, which may never come.
func (cn *conn) readHead(req *http.Request) (*http.Response, error) {
	cn.headLimit.N = maxHeadBytes
	res, err := http.ReadResponse(cn.r, req)
	if err != nil && cn.headLimit.N <= 0 {
		return nil, errHeadTooLarge
	}
	cn.headLimit.N = noLimit
	if err == nil && !isStatus(res.StatusCode) {
		return nil, fmt.Errorf("%w: %q", errStatus, res.Status)
	}
	return res, err
}

// isStatus reports whether a number is the status of an answer. A connection never changes
// its protocol here.
func isStatus(code int) bool {
	return code >= http.StatusContinue && code <= maxStatus && code != http.StatusSwitchingProtocols
}

// maxStatus is the highest status (RFC 9110, section 15).
const maxStatus = 599

// errStatus is the cause if what came looks like an answer but has no valid status.
var errStatus = errors.New("not a status")

// errHeadTooLarge is the cause if the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// discard reads a body that is not wanted, up to maxDiscardBytes, and reports
// whether that was all of it.
func discard(body io.Reader) (complete bool, err error) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	return n < maxDiscardBytes, err
}

// Send sends a request and returns its answer. When ctx ends, the connection is
// closed, which cancels the request at the upstream.
func (c *Client) Send(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	if err := c.checkSend(ctx, r); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, err
	}
	now := time.Now()
	cn := c.takeIdleConn(now, func(cn *conn) bool { return !cn.hasRefused(r.ID) })
	if metadata, restarted := c.detectRestart(ctx, now); restarted {
		if cn != nil {
			c.putIdleConn(cn)
		}
		return pimento.Answer{}, metadata, pimento.NotRun(pimento.ReasonRefused, errRestarted.Error())
	}
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx); err != nil {
			outcome := pimento.NotRun(pimento.ReasonUpstreamLost, err.Error())
			outcome.Cause = err
			return pimento.Answer{}, pimento.AnswerMetadata{}, outcome
		}
	}
	e := &exchange{client: c, conn: cn, request: r}
	e.stop = context.AfterFunc(ctx, func() { cn.Close() })
	answer, metadata, err := e.roundTrip(ctx, body)
	if err != nil {
		e.finish(false)
		if ctx.Err() != nil {
			err = contextOutcome(ctx, err)
		}
	}
	return answer, metadata, err
}

// contextOutcome returns the error of a request whose context ended: err itself
// if the request did not run, otherwise Unknown with the reason.
func contextOutcome(ctx context.Context, err error) error {
	var outcome *pimento.OutcomeError
	if errors.As(err, &outcome) && outcome.Outcome == pimento.OutcomeNotRun {
		return err
	}
	switch reason := contextReason(ctx); reason {
	case pimento.ReasonTimeout:
		return pimento.Unknown(reason, "the upstream has not answered in time")
	case pimento.ReasonStopping:
		return pimento.Unknown(reason, pimento.ErrStopping.Error())
	default:
		return pimento.Unknown(reason, "the caller has left")
	}
}

// contextReason returns the reason why the context of a request has ended.
func contextReason(ctx context.Context) pimento.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return pimento.ReasonTimeout
	case errors.Is(context.Cause(ctx), pimento.ErrStopping):
		return pimento.ReasonStopping
	default:
		return pimento.ReasonCallerGone
	}
}

// exchange is one request with its answer on a connection.
type exchange struct {
	client     *Client
	conn       *conn
	request    *pimento.Request
	writtenAt  time.Time // when it was about to be written, by timekeeper
	stop       func() bool
	bodyResult chan error // result of sending a body in the background; nil: not used
	untilEnd   bool       // the answer has no length: it ends with its connection
	done       bool
}

// roundTrip writes the request and reads the head of its answer.
func (e *exchange) roundTrip(ctx context.Context, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	body, err := e.readShortBody(body)
	if err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	if err := e.client.checkSend(ctx, e.request); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, err
	}
	e.writtenAt = timekeeper.Now()
	if err := e.writeRequest(body); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	res, metadata, err := e.readAnswer()
	if err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	if metadata.NotRun && e.isRefusal(metadata) {
		e.conn.noteRefused(time.Now(), e.request)
		e.discardBody(res)
		reason := pimento.ReasonRefused
		if metadata.Misdirected {
			reason = pimento.ReasonMisdirected
		}
		return pimento.Answer{}, metadata, pimento.NotRun(reason, res.Status)
	}
	if metadata.ID != e.request.ID {
		return pimento.Answer{}, metadata, pimento.Unknown(pimento.ReasonWrongAnswer, fmt.Sprintf("the answer carries ID %q", metadata.ID))
	}
	e.updateIdleTimeout(res, metadata)
	head := pimento.AnswerHead{ID: metadata.ID, Status: res.StatusCode, Header: res.Header, BodyLength: res.ContentLength}
	pimento.StripHopByHop(head.Header)
	return pimento.Answer{Head: head, Body: &answerBody{ReadCloser: res.Body, exchange: e}}, metadata, nil
}

// isRefusal reports whether a refusal is certainly of this request. One without an ID may
// be a second one of an earlier call on the connection.
func (e *exchange) isRefusal(m pimento.AnswerMetadata) bool {
	return m.ID == e.request.ID || m.ID == "" && !e.conn.used
}

// writeRequest sends the head and a short body. A longer body, or one of unknown
// length, is sent in the background.
func (e *exchange) writeRequest(body io.Reader) error {
	if err := e.writeHead(); err != nil {
		return err
	}
	if e.request.BodyLength == 0 {
		return e.conn.w.Flush()
	}
	if e.request.BodyLength > 0 && e.request.BodyLength <= bufferSize {
		return e.writeBody(body)
	}
	e.bodyResult = make(chan error, 1)
	go func() {
		source := &bodySource{Reader: body}
		err := e.writeBody(source)
		if source.err != nil || err == io.EOF {
			e.conn.Close() // the answer would never come
		}
		e.bodyResult <- err
	}()
	return nil
}

// bodySource is the body of a request with the error of its last read, unless that was
// its end. The answer may have come before a write to its upstream fails.
type bodySource struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// writeHead writes the head as the caller sent it: the path is not cleaned, and
// only the headers of the wire protocol and of the body's framing are added.
func (e *exchange) writeHead() error {
	r := e.request
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	e.client.Wire.WriteRequest(header, r, &e.client.Server, time.Until(r.Deadline))
	if r.BodyLength < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if r.BodyLength > 0 || r.Header.Get("Content-Length") != "" {
		header.Set("Content-Length", strconv.FormatInt(r.BodyLength, 10))
	}
	if _, err := fmt.Fprintf(e.conn.w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host); err != nil {
		return err
	}
	if err := header.Write(e.conn.w); err != nil {
		return err
	}
	_, err := e.conn.w.WriteString("\r\n")
	return err
}

// writeBody writes the body with its length or in chunks. A body longer than
// bufferSize is streamed.
func (e *exchange) writeBody(body io.Reader) error {
	if n := e.request.BodyLength; n >= 0 && n <= bufferSize {
		if _, err := io.CopyN(e.conn.w, body, n); err != nil {
			return err
		}
		return e.conn.w.Flush()
	}
	if err := e.conn.w.Flush(); err != nil {
		return err
	}
	if e.request.BodyLength >= 0 {
		_, err := io.CopyN(e.conn.Conn, body, e.request.BodyLength)
		return err
	}
	chunks := httputil.NewChunkedWriter(e.conn.Conn)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(e.conn.Conn, "\r\n")
	return err
}

// readAnswer reads the answer to the request. On a reused connection it discards
// answers with another ID, which belong to earlier requests.
func (e *exchange) readAnswer() (*http.Response, pimento.AnswerMetadata, error) {
	for range maxAnswersRead {
		res, err := e.conn.readHead(&http.Request{Method: e.request.Method})
		if err != nil {
			return nil, pimento.AnswerMetadata{}, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		metadata := e.client.Wire.ReadAnswer(res.StatusCode, res.Header)
		e.client.observeAnswer(e.writtenAt, metadata)
		stale := metadata.ID != "" && metadata.ID != e.request.ID && e.conn.used
		if !stale {
			return res, metadata, nil
		}
		complete, err := discard(res.Body)
		if err != nil {
			return nil, pimento.AnswerMetadata{}, err
		}
		if !complete {
			break
		}
	}
	return nil, pimento.AnswerMetadata{}, errStaleAnswers
}

// errStaleAnswers is the cause if none of the answers read is to the request.
var errStaleAnswers = errors.New("answers to other requests came instead")

// discardBody reads the body of a refusal and ends the exchange, so that the
// connection can be reused if the body is short.
func (e *exchange) discardBody(res *http.Response) {
	complete, err := discard(res.Body)
	e.updateIdleTimeout(res, pimento.AnswerMetadata{})
	e.finish(complete && err == nil && !res.Close)
}

// updateIdleTimeout sets how long the connection may stay idle after this
// answer; zero: it cannot be reused.
func (e *exchange) updateIdleTimeout(res *http.Response, metadata pimento.AnswerMetadata) {
	e.conn.used = true
	if metadata.IdleTimeout > 0 {
		e.conn.idleTimeout = time.Duration(float64(metadata.IdleTimeout) * idleTimeoutFraction)
	}
	e.untilEnd = res.ContentLength < 0 && len(res.TransferEncoding) == 0
	if res.Close || e.untilEnd {
		e.conn.idleTimeout = 0
	}
}

// finish returns the connection to the pool if the exchange is complete, and
// closes it otherwise.
func (e *exchange) finish(complete bool) {
	if e.done {
		return
	}
	e.done = true
	if e.stop() && complete && e.bodySent() && e.conn.idleTimeout > 0 {
		e.client.putIdleConn(e.conn)
		return
	}
	e.conn.Close()
}

// bodySent reports whether the body was sent in full. After an early answer, the
// rest of the body would be read as the next request.
func (e *exchange) bodySent() bool {
	if e.bodyResult == nil {
		return true
	}
	select {
	case err := <-e.bodyResult:
		return err == nil
	default:
		return false
	}
}

// checkEnd returns io.EOF if the end of the connection is that of the answer. If the body of the
// request is still being written, the connection may have been reset, which only that write
// is told; so an answer without a length is whole only if the upstream has taken the body.
func (e *exchange) checkEnd() error {
	if !e.untilEnd || e.bodyResult == nil {
		return io.EOF
	}
	timer := time.NewTimer(bodyEndTimeout)
	defer timer.Stop()
	select {
	case err := <-e.bodyResult:
		if err == nil {
			return io.EOF
		}
		return fmt.Errorf("the connection ended while the body was sent: %w", err)
	case <-timer.C:
		return errBodyUnsent
	}
}

// bodyEndTimeout is how long the body of a request may still take after the connection has
// ended: its next write fails, but its caller may send it slowly.
const bodyEndTimeout = 250 * time.Millisecond

// errBodyUnsent is the cause if the connection ended before the body was sent.
var errBodyUnsent = errors.New("the connection ended before the body was sent")

// answerBody is the body of an answer. At its end the connection returns to the
// pool.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.exchange.checkEnd()
	}
	if err == io.EOF {
		b.exchange.finish(true)
	} else if err != nil {
		b.exchange.finish(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.finish(false)
	return nil
}
