// Package connector is the client of one upstream over HTTP/1.1.
//
// It keeps connections of its own instead of those of net/http, whose
// transport sends a request without a body a second time when a kept
// connection turns out to be closed. Here a request is written at most once.
// An answer is matched to its request by the ID that the upstream echoes: an
// answer that comes late, where the next one is due, is read and dropped.
//
// # Usage
//
//	c := &connector.Client{Server: server, Wire: platform.Wire{}}
//	answer, mark, err := c.Serve(ctx, request, body)
//	err = c.Grant(ctx, grant)
//	handover, err := c.Release(ctx, span, fence)
//	c.Close()
//
// An error of Serve is an *pimento.OutcomeError: NotRun where the request
// certainly did not run (no connection, a refusal that says so), Unknown where
// it may have.
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
	"strconv"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// connectTimeout bounds a new connection.
	connectTimeout = 700 * time.Millisecond
	// defaultIdle is how long an unused connection is kept where the upstream
	// does not say when it closes it.
	defaultIdle = 8 * time.Second
	// idleShare is the part of an upstream's own idle timeout after which a
	// connection is used no more, so that no request crosses its end.
	idleShare = 0.7
	// maxIdle is the most unused connections that are kept.
	maxIdle = 8
	// controlTimeout bounds grants and probes.
	controlTimeout = 600 * time.Millisecond
	// maxControlSize is the largest control answer in bytes that is read.
	maxControlSize = 64 << 10
	// bufferSize is that of the buffers of a connection in bytes.
	bufferSize = 4 << 10
	// maxStray is the most answers to earlier requests that are dropped before
	// the one that is due.
	maxStray = 4
)

// Client speaks to one run of an upstream. Set the exported fields before use.
type Client struct {
	Server pimento.Server
	Wire   pimento.UpstreamWire
	// HealthPath is where the upstream tells its health; empty: nowhere.
	HealthPath string
	// OnDial is told of every new connection; it may be nil.
	OnDial func()

	mu       sync.Mutex
	idle     []*conn
	closed   bool
	closedAt time.Time // when the upstream was last found to have closed a kept connection early
	askedAt  time.Time // when a request last had it asked for its health
}

// conn is one connection.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	expires time.Time // not used for a request after it
	idleFor time.Duration
	used    bool // a request was answered on it
}

// Close ends the unused connections. Requests that run are not cut off.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, x := range idle {
		x.Close()
	}
}

// take returns an unused connection that is still good, or nil.
func (c *Client) take(now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle) - 1; n >= 0; n-- {
		x := c.idle[n]
		c.idle = c.idle[:n]
		if c.isGood(now, x) {
			return x
		}
		x.Close()
	}
	return nil
}

// prune drops the unused connections that are not good any more, and returns
// when the upstream was last found to have closed one early.
func (c *Client) prune(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*conn
	for _, x := range c.idle {
		if c.isGood(now, x) {
			kept = append(kept, x)
			continue
		}
		x.Close()
	}
	c.idle = kept
	return c.closedAt
}

// isGood reports whether an unused connection may serve a request, and notes
// that the upstream has closed one early. The caller holds mu.
func (c *Client) isGood(now time.Time, x *conn) bool {
	if !now.Before(x.expires) {
		return false
	}
	if x.r.Buffered() > 0 || !quiet(x.Conn) {
		c.closedAt = now
		return false
	}
	return true
}

// put keeps a connection after a whole exchange.
func (c *Client) put(x *conn) {
	if x.r.Buffered() > 0 { // bytes after a whole answer belong to no request
		x.Close()
		return
	}
	x.expires = time.Now().Add(x.idleFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		x.Close()
		return
	}
	c.idle = append(c.idle, x)
	if len(c.idle) > maxIdle {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.Server.Address.String())
	if err != nil {
		return nil, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, bufferSize), w: bufio.NewWriterSize(raw, bufferSize), idleFor: defaultIdle}, nil
}

// get returns a connection, fresh ones only if asked for.
func (c *Client) get(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if x := c.take(time.Now()); x != nil {
			return x, nil
		}
	}
	return c.dial(ctx)
}

// Serve sends a request and returns its answer. When ctx ends, the connection
// is closed, which cancels the request at the upstream.
func (c *Client) Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMark, error) {
	now := time.Now()
	x := c.take(now)
	if mark, cold := c.isColdAgain(ctx, now); cold {
		if x != nil {
			c.put(x)
		}
		return pimento.Answer{}, mark, pimento.NotRun(pimento.ReasonRefused, errRestarted.Error())
	}
	if x == nil {
		var err error
		if x, err = c.dial(ctx); err != nil {
			return pimento.Answer{}, pimento.AnswerMark{}, pimento.NotRun(pimento.ReasonUpstreamLost, err.Error())
		}
	}
	e := &exchange{client: c, conn: x, request: r}
	e.stop = context.AfterFunc(ctx, func() { x.Close() })
	answer, mark, err := e.run(body)
	if err != nil {
		e.end(false)
		if ctx.Err() != nil {
			err = ended(ctx, err)
		}
	}
	return answer, mark, err
}

// ended says that a request was given up because its context ended.
func ended(ctx context.Context, err error) error {
	var out *pimento.OutcomeError
	if errors.As(err, &out) && out.Outcome == pimento.OutcomeNotRun {
		return err
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pimento.Unknown(pimento.ReasonTimeout, "the upstream has not answered in time")
	}
	return pimento.Unknown(pimento.ReasonCallerGone, "the caller has left")
}

// exchange is one request with its answer on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *pimento.Request
	stop    func() bool
	sent    chan error // the result of sending a body beside the reading of the answer
	done    bool
}

// run writes the request and reads the head of its answer.
func (e *exchange) run(body io.Reader) (pimento.Answer, pimento.AnswerMark, error) {
	if err := e.write(body); err != nil {
		return pimento.Answer{}, pimento.AnswerMark{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	res, mark, err := e.read()
	if err != nil {
		return pimento.Answer{}, pimento.AnswerMark{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	if mark.NotRun {
		e.dropBody(res)
		reason := pimento.ReasonRefused
		if mark.Misdirected {
			reason = pimento.ReasonMisdirected
		}
		return pimento.Answer{}, mark, pimento.NotRun(reason, res.Status)
	}
	if mark.ID != e.request.ID {
		return pimento.Answer{}, mark, pimento.Unknown(pimento.ReasonWrongAnswer, fmt.Sprintf("the answer carries ID %q", mark.ID))
	}
	e.keepAlive(res, mark)
	head := pimento.AnswerHead{ID: mark.ID, Status: res.StatusCode, Header: res.Header, BodyLength: res.ContentLength}
	pimento.StripConnection(head.Header)
	return pimento.Answer{Head: head, Body: &answerBody{ReadCloser: res.Body, exchange: e}}, mark, nil
}

// write sends the head and a short body, and starts to send a longer one.
func (e *exchange) write(body io.Reader) error {
	if err := e.writeHead(); err != nil {
		return err
	}
	if e.request.BodyLength == 0 {
		return e.conn.w.Flush()
	}
	if e.request.BodyLength > 0 && e.request.BodyLength <= bufferSize {
		return e.writeBody(body)
	}
	e.sent = make(chan error, 1)
	go func() {
		err := e.writeBody(body)
		if err != nil {
			e.conn.Close() // the answer would never come
		}
		e.sent <- err
	}()
	return nil
}

// writeHead writes the head as it came from the caller, with the path not
// cleaned and no header added but those of the system.
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

// writeBody writes the body with its length or in chunks. A long body goes out
// as it comes.
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

// read reads answers until the one that is due. An answer with another ID
// belongs to an earlier request on this connection.
func (e *exchange) read() (*http.Response, pimento.AnswerMark, error) {
	for range maxStray {
		res, err := http.ReadResponse(e.conn.r, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, pimento.AnswerMark{}, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		mark := e.client.Wire.ReadAnswer(res.StatusCode, res.Header)
		stray := mark.ID != "" && mark.ID != e.request.ID && e.conn.used
		if !stray {
			return res, mark, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxControlSize)); err != nil {
			return nil, pimento.AnswerMark{}, err
		}
		res.Body.Close()
	}
	return nil, pimento.AnswerMark{}, errStray
}

// errStray is the cause where a connection yields answers to other requests.
var errStray = errors.New("answers to other requests came instead")

// dropBody reads the rest of a short refusal, so that the connection can be
// used again.
func (e *exchange) dropBody(res *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxControlSize))
	whole := err == nil && n < maxControlSize && !res.Close
	e.keepAlive(res, pimento.AnswerMark{})
	e.end(whole)
}

// keepAlive notes how long the connection may be kept.
func (e *exchange) keepAlive(res *http.Response, mark pimento.AnswerMark) {
	e.conn.used = true
	if mark.IdleTimeout > 0 {
		e.conn.idleFor = time.Duration(float64(mark.IdleTimeout) * idleShare)
	}
	if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		e.conn.idleFor = 0
	}
}

// end gives the connection back if the exchange was whole, and closes it
// otherwise.
func (e *exchange) end(whole bool) {
	if e.done {
		return
	}
	e.done = true
	if e.stop() && whole && e.bodySent() && e.conn.idleFor > 0 {
		e.client.put(e.conn)
		return
	}
	e.conn.Close()
}

// bodySent reports whether no part of the body is still to be sent. Where an
// answer came early, the rest of the body would be taken for a next request.
func (e *exchange) bodySent() bool {
	if e.sent == nil {
		return true
	}
	select {
	case err := <-e.sent:
		return err == nil
	default:
		return false
	}
}

// answerBody is the body of an answer; its end gives the connection back.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.end(true)
	} else if err != nil {
		b.exchange.end(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.end(false)
	return nil
}
