package connector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pimentorelay.example/pimento"
)

// reply is the answer to a control call, read whole.
type reply struct {
	status int
	header http.Header
}

// Grant gives keys to the upstream or renews a grant. It returns
// *pimento.FencedError if the upstream has seen a higher fence, and
// *pimento.UnreachableError if no answer came; then the grant may take effect
// up to now or later.
func (c *Client) Grant(ctx context.Context, g pimento.KeyGrant) error {
	if err := c.checkRun(ctx); err != nil {
		return fmt.Errorf("Client.Grant: %w", err)
	}
	path, body := c.Wire.Grant(g)
	r, err := c.control(ctx, http.MethodPost, path, body, controlTimeout)
	if err != nil {
		return fmt.Errorf("Client.Grant: %w", err)
	}
	if r.status == http.StatusConflict {
		return &pimento.FencedError{Upstream: c.Server.Name, Range: g.Range, Fence: g.Fence}
	}
	return c.expect(r)
}

// suspectFor is how long an upstream that closed a kept connection may have
// started again without the store having shown it.
const suspectFor = time.Second

// checkRun asks an upstream that has closed a kept connection early whether it is
// cold. If so it has probably started again, and a grant that was meant for its
// former run must not reach it: it would hold keys that it knows nothing of, and
// get as many requests as before.
func (c *Client) checkRun(ctx context.Context) error {
	if c.HealthPath == "" {
		return nil
	}
	if time.Since(c.prune(time.Now())) > suspectFor {
		return nil
	}
	_, mark, err := c.Probe(ctx, c.HealthPath)
	if err != nil {
		return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true}
	}
	if mark.ColdFor > 0 {
		return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: errRestarted, Unsent: true}
	}
	c.mu.Lock()
	c.closedAt = time.Time{}
	c.mu.Unlock()
	return nil
}

// askTimeout bounds the question before a request. One that is not answered by
// then is sent: it waits there no longer than here.
const askTimeout = 100 * time.Millisecond

// isColdAgain asks an upstream that has closed a kept connection early, once,
// whether it is cold. If so its dispatcher does not know it yet, and is told by
// the mark: until then it lets as many requests go there as before.
func (c *Client) isColdAgain(ctx context.Context, now time.Time) (pimento.AnswerMark, bool) {
	if c.HealthPath == "" {
		return pimento.AnswerMark{}, false
	}
	c.mu.Lock()
	due := c.closedAt.After(c.askedAt) && now.Sub(c.closedAt) < suspectFor
	if due {
		c.askedAt = now
	}
	c.mu.Unlock()
	if !due {
		return pimento.AnswerMark{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, mark, err := c.Probe(ctx, c.HealthPath)
	return mark, err == nil && mark.ColdFor > 0
}

// errRestarted is the cause where an upstream has probably started again.
var errRestarted = errors.New("the upstream has closed its connection and is cold")

// Release takes keys back. It waits until the work that runs on them has
// ended, or ctx ends, and returns the handover for their next holder.
func (c *Client) Release(ctx context.Context, span pimento.KeyRange, fence uint64, wait time.Duration) (string, error) {
	path, body := c.Wire.Release(span, fence)
	r, err := c.control(ctx, http.MethodPost, path, body, wait)
	if err != nil {
		return "", fmt.Errorf("Client.Release: %w", err)
	}
	return c.Wire.ReadHandover(r.header), c.expect(r)
}

// Probe asks for the upstream's health.
func (c *Client) Probe(ctx context.Context, path string) (healthy bool, mark pimento.AnswerMark, err error) {
	r, err := c.control(ctx, http.MethodGet, path, nil, controlTimeout)
	if err != nil {
		return false, pimento.AnswerMark{}, fmt.Errorf("Client.Probe: %w", err)
	}
	mark = c.Wire.ReadAnswer(r.status, r.header)
	if mark.Misdirected || mark.Upstream != "" && mark.Upstream != c.Server.Name {
		return false, mark, c.misdirected()
	}
	return r.status == http.StatusOK, mark, nil
}

// misdirected says that another upstream has the address by now. It has not
// carried out the call.
func (c *Client) misdirected() error {
	return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: errMisdirected, Unsent: true}
}

// errMisdirected is the cause where an address is another's.
var errMisdirected = errors.New("the address is another upstream's")

func (c *Client) expect(r reply) error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest:
		return c.misdirected()
	}
	return &pimento.UnreachableError{Target: string(c.Server.Name), Cause: fmt.Errorf("unexpected status %d", r.status)}
}

// control makes a call that is neither counted nor placed as a request.
func (c *Client) control(ctx context.Context, method, path string, body []byte, wait time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	x, err := c.get(ctx, false)
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err, Unsent: true}
	}
	stop := context.AfterFunc(ctx, func() { x.Close() })
	r, keep, err := c.exchangeControl(x, method, path, body)
	if err != nil || !stop() || !keep {
		x.Close()
	} else {
		c.put(x)
	}
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: string(c.Server.Name), Cause: err}
	}
	return r, nil
}

func (c *Client) exchangeControl(x *conn, method, path string, body []byte) (reply, bool, error) {
	req, err := http.NewRequest(method, "http://"+c.Server.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, false, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header["User-Agent"] = nil
	c.Wire.WriteTarget(req.Header, &c.Server)
	if err := req.Write(x.w); err != nil {
		return reply{}, false, err
	}
	if err := x.w.Flush(); err != nil {
		return reply{}, false, err
	}
	res, err := http.ReadResponse(x.r, req)
	if err != nil {
		return reply{}, false, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxControlSize)); err != nil {
		return reply{}, false, err
	}
	return reply{status: res.StatusCode, header: res.Header}, !res.Close, nil
}
