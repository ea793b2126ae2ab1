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
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
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
