package connector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// control is a grant, release or health call.
type control struct {
	method     string
	path       string
	body       []byte    // nil: none
	sendBefore time.Time // by package timekeeper; zero: it may be sent at any time
	// needsOwnAnswer means that a late answer to an earlier call must not pass for its own.
	needsOwnAnswer bool
}

// getConn returns a connection for a control call. The answers to control calls bear no
// ID, so a late second one to an earlier call passes for that to the next: a call that needs
// its own gets a connection that has carried none.
func (c *Client) getConn(ctx context.Context, call control) (*conn, error) {
	now := time.Now()
	cn := c.takeIdleConn(now, func(cn *conn) bool { return cn.controlled != call.needsOwnAnswer })
	if cn == nil && !call.needsOwnAnswer {
		cn = c.takeIdleConn(now, func(*conn) bool { return true })
	}
	if cn != nil {
		return cn, nil
	}
	return c.dial(ctx)
}

// isLate reports whether a call must not be sent any more.
func (c control) isLate() bool {
	return !c.sendBefore.IsZero() && !timekeeper.Now().Before(c.sendBefore)
}

// errLate is the cause if a call was not sent since its time has passed.
var errLate = errors.New("the time for sending it has passed")

// reply is the answer to a control call; its body is discarded.
type reply struct {
	status int
	header http.Header
}

// Grant grants keys to the upstream or renews a grant. It returns a
// *pimento.FencedError if the upstream has seen a higher fence, and a
// *pimento.UnreachableError if no usable answer came; unless its Unsent is set,
// the grant may have taken effect or may still do so.
func (c *Client) Grant(ctx context.Context, g pimento.KeyGrant) error {
	if err := c.ensureNotRestarted(ctx); err != nil {
		return fmt.Errorf("Client.Grant: %w", err)
	}
	path, body := c.Wire.Grant(g)
	r, err := c.callControl(ctx, control{method: http.MethodPost, path: path, body: body, sendBefore: g.SendBefore}, controlTimeout)
	if err != nil {
		return fmt.Errorf("Client.Grant: %w", err)
	}
	if r.status == http.StatusConflict {
		return &pimento.FencedError{Upstream: c.Server.Name, Range: g.Range, Fence: g.Fence}
	}
	return c.checkStatus(r)
}

// restartWindow is how long after an early close of an idle connection the
// upstream may have restarted without the store showing it.
const restartWindow = time.Second

// ensureNotRestarted probes an upstream that has closed an idle connection early.
// If it is cold, it has probably restarted and must not get a grant meant for its
// former run: it would hold keys of which it has no state, and get as many
// requests as before. One that does not answer the probe in time is busy, not cold,
// and gets the grant: its keys would lapse otherwise.
func (c *Client) ensureNotRestarted(ctx context.Context) error {
	if c.HealthPath == "" {
		return nil
	}
	if time.Since(c.pruneIdleConns(time.Now())) > restartWindow {
		return nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, restartProbeTimeout)
	defer cancel()
	_, metadata, err := c.Probe(probeCtx, c.HealthPath)
	if err != nil && probeCtx.Err() == nil {
		return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true}
	}
	if metadata.ColdFor > 0 {
		return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: errRestarted, Unsent: true}
	}
	c.mu.Lock()
	c.closedEarlyAt = time.Time{}
	c.mu.Unlock()
	return nil
}

// restartProbeTimeout bounds the health probe before a request or a grant. If the
// probe is not answered by then, the request is sent: it waits at the upstream no
// longer than here.
const restartProbeTimeout = 100 * time.Millisecond

// detectRestart probes, once, an upstream that has closed an idle connection
// early, and reports whether it is cold. If so, its dispatcher does not know that
// yet and still admits as many requests as before; the metadata informs it.
func (c *Client) detectRestart(ctx context.Context, now time.Time) (pimento.AnswerMetadata, bool) {
	if c.HealthPath == "" {
		return pimento.AnswerMetadata{}, false
	}
	c.mu.Lock()
	probeDue := c.closedEarlyAt.After(c.probedAt) && now.Sub(c.closedEarlyAt) < restartWindow
	if probeDue {
		c.probedAt = now
	}
	c.mu.Unlock()
	if !probeDue {
		return pimento.AnswerMetadata{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, restartProbeTimeout)
	defer cancel()
	_, metadata, err := c.Probe(ctx, c.HealthPath)
	return metadata, err == nil && metadata.ColdFor > 0
}

// errRestarted is the cause if an upstream has probably restarted.
var errRestarted = errors.New("the upstream has closed its connection and is cold")

// Release revokes the grant of keys. The upstream answers when the work that runs
// on them has ended; Release waits for that, for wait at most, and returns the
// handover for their next holder.
func (c *Client) Release(ctx context.Context, keyRange pimento.KeyRange, fence uint64, wait time.Duration) (string, error) {
	path, body := c.Wire.Release(keyRange, fence)
	r, err := c.callControl(ctx, control{method: http.MethodPost, path: path, body: body, needsOwnAnswer: true}, wait)
	if err != nil {
		return "", fmt.Errorf("Client.Release: %w", err)
	}
	return c.Wire.ReadHandover(r.header), c.checkStatus(r)
}

// Probe calls the upstream's health check at path. It fails if another upstream
// answers.
func (c *Client) Probe(ctx context.Context, path string) (healthy bool, metadata pimento.AnswerMetadata, err error) {
	r, err := c.callControl(ctx, control{method: http.MethodGet, path: path}, controlTimeout)
	if err != nil {
		return false, pimento.AnswerMetadata{}, fmt.Errorf("Client.Probe: %w", err)
	}
	metadata = c.Wire.ReadAnswer(r.status, r.header)
	if metadata.Misdirected || metadata.Upstream != "" && metadata.Upstream != c.Server.Name {
		return false, metadata, c.misdirectedError()
	}
	return r.status == http.StatusOK, metadata, nil
}

// misdirectedError is the error of a call that reached another upstream, which
// now has the address and did not carry out the call.
func (c *Client) misdirectedError() error {
	return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: errMisdirected, Unsent: true}
}

// errMisdirected is the cause if the address now belongs to another upstream.
var errMisdirected = errors.New("the address belongs to another upstream")

// checkStatus returns the error of a grant or release with this reply.
func (c *Client) checkStatus(r reply) error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest:
		return c.misdirectedError()
	}
	return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: fmt.Errorf("unexpected status %d", r.status)}
}

// callControl makes a grant, release or health call and waits for its answer for wait
// at most. Unlike a request, it needs no permit and is not counted.
func (c *Client) callControl(ctx context.Context, call control, wait time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	cn, err := c.getConn(ctx, call)
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true}
	}
	err = ctx.Err()
	if call.isLate() {
		err = errLate
	}
	if err != nil {
		cn.Close()
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true, Withheld: errors.Is(err, errLate)}
	}
	kept := !cn.expires.IsZero()
	if err := limitUnacknowledged(cn.Conn, controlTimeout); err != nil {
		cn.Close()
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	r, reusable, err := c.roundTripControl(cn, call)
	if err != nil || !stop() || !reusable || limitUnacknowledged(cn.Conn, 0) != nil {
		cn.Close()
	} else {
		c.putIdleConn(cn)
	}
	if err != nil && kept {
		err = fmt.Errorf("kept connection: %w", err)
	}
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err}
	}
	return r, nil
}

// roundTripControl sends a control call on cn and reads the reply. It discards answers to
// earlier requests on the connection, which bear their ID. It reports whether the upstream
// keeps the connection open.
func (c *Client) roundTripControl(cn *conn, call control) (reply, bool, error) {
	req, err := http.NewRequest(call.method, "http://"+c.Server.Address.String()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return reply{}, false, err
	}
	if call.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header["User-Agent"] = nil
	c.Wire.WriteTarget(req.Header, &c.Server)
	writtenAt := timekeeper.Now()
	cn.controlled = true
	if err := req.Write(cn.w); err != nil {
		return reply{}, false, err
	}
	if err := cn.w.Flush(); err != nil {
		return reply{}, false, err
	}
	for range maxAnswersRead {
		res, err := cn.readHead(req)
		if err != nil {
			return reply{}, false, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		cn.used = true
		metadata := c.Wire.ReadAnswer(res.StatusCode, res.Header.Clone())
		c.observeAnswer(writtenAt, metadata)
		complete, err := discard(res.Body)
		if err != nil {
			return reply{}, false, err
		}
		if metadata.ID == "" { // control calls have none
			return reply{status: res.StatusCode, header: res.Header}, complete && !res.Close && !deniesCall(res.StatusCode), nil
		}
		if !complete || res.Close {
			break
		}
	}
	return reply{}, false, errStaleAnswers
}

// deniesCall reports whether an answer says that a control call was not carried out. Its
// connection is not used again, since a second one would deny the next call.
func deniesCall(status int) bool {
	return status == http.StatusConflict || status == http.StatusMisdirectedRequest
}

// limitUnacknowledged bounds how long what is written may stay unacknowledged before the
// kernel resets the connection, also if this process is stopped; zero: no bound.
func limitUnacknowledged(c net.Conn, d time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}
