// Package storer is the client of the platform's object API over HTTP.
//
// Versions travel as entity tags and conditions as If-Match and If-None-Match
// (RFC 9110); a watch is a long poll. docs/WIRES.md has the whole wire.
//
// # Usage
//
//	client := &storer.Client{Base: "http://192.0.2.7:8400", Process: id}
//	object, err := client.Get(ctx, pimento.ObjectPlan)
//
// A call that gets no answer returns *pimento.UnreachableError; whether a write
// took effect is then unknown, and the caller reads the object back.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"pimentorelay.example/pimento"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 2 * time.Second
	// watchTimeout bounds one poll of a watch.
	watchTimeout = 30 * time.Second
	// maxAnswerSize is the largest answer in bytes that is read.
	maxAnswerSize = 64 << 20
)

// Client implements pimento.Platform.
type Client struct {
	Base string // URL without a path
	HTTP *http.Client
}

var _ pimento.Platform = (*Client)(nil)

// call is one request to the platform.
type call struct {
	method  string
	path    string
	query   any
	based   *uint64
	value   []byte
	timeout time.Duration
}

// reply is an answer that was read whole.
type reply struct {
	status  int
	version uint64
	body    []byte
}

// Get implements pimento.Platform.
func (c *Client) Get(ctx context.Context, key string) (pimento.Object, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key), timeout: callTimeout})
	if err != nil {
		return pimento.Object{}, fmt.Errorf("Client.Get: %w", err)
	}
	return r.object(key)
}

// Put implements pimento.Platform.
func (c *Client) Put(ctx context.Context, key string, based uint64, value []byte) (uint64, error) {
	r, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(key), based: &based, value: value, timeout: callTimeout})
	if err != nil {
		return 0, fmt.Errorf("Client.Put: %w", err)
	}
	return r.version, r.check(key, based)
}

// Delete implements pimento.Platform.
func (c *Client) Delete(ctx context.Context, key string, based uint64) error {
	r, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(key), based: &based, timeout: callTimeout})
	if err != nil {
		return fmt.Errorf("Client.Delete: %w", err)
	}
	return r.check(key, based)
}

// List implements pimento.Platform.
func (c *Client) List(ctx context.Context, prefix string) ([]pimento.Object, error) {
	var out []pimento.Object
	query := struct {
		Prefix string `url:"prefix"`
	}{prefix}
	if err := c.getJSON(ctx, call{method: http.MethodGet, path: "/objects", query: query, timeout: callTimeout}, &out); err != nil {
		return nil, fmt.Errorf("Client.List: %w", err)
	}
	return out, nil
}

// Watch implements pimento.Platform. It polls until the object has changed or
// ctx ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (pimento.Object, error) {
	query := struct {
		After uint64 `url:"after"`
	}{after}
	for {
		r, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key), query: query, timeout: watchTimeout})
		if err != nil {
			return pimento.Object{}, fmt.Errorf("Client.Watch: %w", err)
		}
		if r.status != http.StatusNotModified {
			return r.object(key)
		}
	}
}

// Hosts implements pimento.Platform.
func (c *Client) Hosts(ctx context.Context) ([]pimento.HostName, error) {
	var out []pimento.HostName
	if err := c.getJSON(ctx, call{method: http.MethodGet, path: "/hosts", timeout: callTimeout}, &out); err != nil {
		return nil, fmt.Errorf("Client.Hosts: %w", err)
	}
	return out, nil
}

func (c *Client) getJSON(ctx context.Context, in call, out any) error {
	r, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return &pimento.UnreachableError{Target: "platform", Cause: fmt.Errorf("status %d", r.status)}
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return &pimento.UnreachableError{Target: "platform", Cause: err}
	}
	return nil
}

func (c *Client) do(ctx context.Context, in call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, in.timeout)
	defer cancel()
	req, err := c.request(ctx, in)
	if err != nil {
		return reply{}, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: "platform", Cause: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerSize))
	if err != nil {
		return reply{}, &pimento.UnreachableError{Target: "platform", Cause: err}
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return reply{}, &pimento.UnreachableError{Target: "platform", Cause: errors.New(res.Status)}
	}
	version, err := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		version = 0
	}
	return reply{status: res.StatusCode, version: version, body: body}, nil
}

func (c *Client) request(ctx context.Context, in call) (*http.Request, error) {
	s := sling.New().Base(c.Base)
	switch in.method {
	case http.MethodPut:
		s.Put(in.path)
	case http.MethodDelete:
		s.Delete(in.path)
	default:
		s.Get(in.path)
	}
	if in.query != nil {
		s.QueryStruct(in.query)
	}
	if in.value != nil {
		s.Body(bytes.NewReader(in.value))
	}
	if in.based != nil && *in.based == 0 {
		s.Set("If-None-Match", "*")
	}
	if in.based != nil && *in.based > 0 {
		s.Set("If-Match", strconv.Quote(strconv.FormatUint(*in.based, 10)))
	}
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

// object turns an answer to a read into an object.
func (r reply) object(key string) (pimento.Object, error) {
	switch {
	case r.status == http.StatusNotFound:
		return pimento.Object{}, &pimento.NotFoundError{Object: key}
	case r.status != http.StatusOK || r.version == 0:
		return pimento.Object{}, &pimento.UnreachableError{Target: "platform", Cause: fmt.Errorf("status %d without a version", r.status)}
	}
	return pimento.Object{Key: key, Version: r.version, Value: r.body}, nil
}

// check turns the answer to a conditional write into an error.
func (r reply) check(key string, based uint64) error {
	switch r.status {
	case http.StatusNoContent, http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return &pimento.ConflictError{Object: key, Based: based, Current: r.version}
	default:
		return fmt.Errorf("object %q: the platform refused the write with status %d: %s", key, r.status, bytes.TrimSpace(r.body))
	}
}

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}
