// Package requester is the client of one upstream over HTTP/1.1.
//
// # Usage
//
//	client := requester.New(server, verify)
//	answer, err := client.Serve(ctx, head, fence, body)
//
// An error of Serve is an *pimento.OutcomeError: NotRun where the request
// certainly did not run (no connection, a refusal that says so), Unknown
// where it may have. An answer that carries another request's ID is Unknown
// with ReasonWrongAnswer and never reaches the caller.
package requester

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"pimentorelay.example/pimento"
)

const (
	// controlTimeout bounds grants, probes and reports.
	controlTimeout = 150 * time.Millisecond
	// connectTimeout bounds a new connection.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
	// controlConnections is the most connections for grants and probes.
	controlConnections = 2
	// maxControlSize is the largest control answer in bytes.
	maxControlSize = 1 << 20
)

// Client implements pimento.Upstream.
type Client struct {
	Name    pimento.UpstreamName
	Address netip.AddrPort

	verify   func(pimento.GrantAnswer) error
	requests *http.Client
	controls *http.Client
}

var _ pimento.Upstream = (*Client)(nil)

// New returns a client that holds at most the given number of connections for
// requests. Each new one is first asked for the upstream's health, and used
// only if verify accepts the answer. A connection does not outlive the run of
// the upstream, so no request reaches a run that was not accepted.
func New(server pimento.Server, verify func(pimento.GrantAnswer) error) *Client {
	c := &Client{Name: server.Name, Address: server.Address, verify: verify}
	dialer := &net.Dialer{Timeout: connectTimeout}
	c.controls = newHTTP(controlConnections, dialer.DialContext)
	c.requests = newHTTP(server.Connections, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := c.inspect(conn); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	})
	return c
}

// inspect asks for the upstream's health on a new connection.
func (c *Client) inspect(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodGet, c.base()+"/health", nil)
	if err != nil {
		return err
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxControlSize))
	if err != nil {
		return err
	}
	var answer pimento.GrantAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	if err := c.verify(answer); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newHTTP(connections int, dial dialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			WriteBufferSize:     32 << 10,
			ReadBufferSize:      32 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Grant implements pimento.Upstream.
func (c *Client) Grant(ctx context.Context, grant pimento.Grant) (pimento.GrantAnswer, error) {
	var out pimento.GrantAnswer
	if err := c.control(ctx, http.MethodPost, "/grant", grant, &out); err != nil {
		return out, fmt.Errorf("Client.Grant: %w", err)
	}
	return out, nil
}

// Drain implements pimento.Upstream.
func (c *Client) Drain(ctx context.Context, ranges []pimento.Range) (int, error) {
	var out struct{ InFlight int }
	if err := c.control(ctx, http.MethodPost, "/drain", ranges, &out); err != nil {
		return 0, fmt.Errorf("Client.Drain: %w", err)
	}
	return out.InFlight, nil
}

// Health implements pimento.Upstream.
func (c *Client) Health(ctx context.Context) (pimento.GrantAnswer, error) {
	var out pimento.GrantAnswer
	if err := c.control(ctx, http.MethodGet, "/health", nil, &out); err != nil {
		return out, fmt.Errorf("Client.Health: %w", err)
	}
	return out, nil
}

// Load implements pimento.Upstream.
func (c *Client) Load(ctx context.Context) (pimento.LoadReport, error) {
	var out pimento.LoadReport
	if err := c.control(ctx, http.MethodGet, "/load", nil, &out); err != nil {
		return out, fmt.Errorf("Client.Load: %w", err)
	}
	return out, nil
}

func (c *Client) base() string { return "http://" + c.Address.String() }

func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	s := sling.New().Base(c.base()).Get(path)
	if method == http.MethodPost {
		s = sling.New().Base(c.base()).Post(path).BodyJSON(in)
	}
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := c.controls.Do(req.WithContext(ctx))
	if err != nil {
		return &pimento.UnreachableError{Target: string(c.Name), Cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &pimento.UnreachableError{Target: string(c.Name), Cause: errors.New(res.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxControlSize)).Decode(out); err != nil {
		return &pimento.UnreachableError{Target: string(c.Name), Cause: err}
	}
	return nil
}

// Serve implements pimento.Upstream.
func (c *Client) Serve(ctx context.Context, head pimento.RequestHead, fence uint64, body io.Reader) (pimento.Answer, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := c.request(ctx, head, fence, body)
	if err != nil {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonBadRequest, err.Error())
	}
	res, err := c.requests.Do(req)
	if err != nil && !sent.Load() {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonUpstreamLost, err.Error())
	}
	if err != nil {
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	if err := verify(head, res); err != nil {
		res.Body.Close()
		return pimento.Answer{}, err
	}
	return pimento.Answer{Head: answerHead(head, res), Body: res.Body}, nil
}

func (c *Client) request(ctx context.Context, head pimento.RequestHead, fence uint64, body io.Reader) (*http.Request, error) {
	// The wrapper hides that the body could be read again: net/http would send
	// the request a second time on another connection, past the limiter.
	req, err := http.NewRequestWithContext(ctx, head.Method, c.base()+"/serve"+head.Path, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	req.Header = head.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.ContentLength = head.BodyLength
	req.Header.Set(pimento.HeaderRequestID, head.ID)
	req.Header.Set(pimento.HeaderKeyHash, strconv.FormatUint(head.KeyHash, 16))
	req.Header.Set(pimento.HeaderFence, strconv.FormatUint(fence, 10))
	req.Header.Set(pimento.HeaderTimeout, time.Until(head.Deadline).String())
	return req, nil
}

// verify refuses an answer that says "not run" or belongs to another request.
func verify(head pimento.RequestHead, res *http.Response) error {
	if res.Header.Get(pimento.HeaderOutcome) == string(pimento.OutcomeNotRun) {
		return pimento.NotRun(pimento.ReasonRefused, res.Status)
	}
	if got := res.Header.Get(pimento.HeaderRequestID); got != head.ID {
		return pimento.Unknown(pimento.ReasonWrongAnswer, fmt.Sprintf("the answer carries ID %q", got))
	}
	return nil
}

func answerHead(head pimento.RequestHead, res *http.Response) pimento.AnswerHead {
	header := res.Header.Clone()
	pimento.StripHeader(header)
	return pimento.AnswerHead{ID: head.ID, Status: res.StatusCode, Header: header, BodyLength: res.ContentLength}
}
