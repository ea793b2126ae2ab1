// Package receiver takes requests from callers over HTTP/1.1 and passes each
// to the dispatcher of the upstream that owns its key.
//
// A caller sends "METHOD /CATEGORY/PATH", with the category percent-encoded as
// one segment, and may set these headers:
//
//	Relay-Key        the key; needed for a service that is divided by key
//	Idempotency-Key  names a request that may be sent again
//	Relay-Timeout    how long the caller waits, such as "2s"
//
// Every answer carries Relay-Outcome and Relay-Request-Id. Answered means that
// the upstream's answer follows, whole or cut off visibly; NotRun (status 503,
// or 4xx for a faulty request) that no upstream ran the request; Unknown
// (status 502 or 504) that one may have. Relay-Reason says why.
//
// A request that was not run is tried again until its deadline, wherever its
// key is owned by then. One that may have run is tried again only if it is
// idempotent and its body is still at hand.
//
// # Usage
//
//	r := &receiver.Receiver{Self: id, Router: router, Local: d, Peers: carrier}
//	http.Serve(listener, r)
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/recorder"
)

const (
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// inlineSize is the largest body in bytes that travels with its request.
	inlineSize = 16 << 10
	// maxIDLength is the longest Idempotency-Key in bytes.
	maxIDLength = 256
	// maxKeyLength is the longest Relay-Key in bytes.
	maxKeyLength = 1024
	// minRetry and maxRetry bound the pause between two tries.
	minRetry = 5 * time.Millisecond
	maxRetry = 60 * time.Millisecond
	// configWait is how long a request waits for a process that cannot tell
	// which configuration is in force.
	configWait = 2 * time.Second
	// retryAfter is what refused callers are told to wait.
	retryAfter = time.Second
)

// Local dispatches requests in this process.
type Local interface {
	Serve(ctx context.Context, from pimento.ProcessID, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error)
}

// Peers passes requests to other processes.
type Peers interface {
	Serve(ctx context.Context, peer pimento.Process, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error)
}

// Router finds the process that dispatches a request now.
type Router interface {
	// Route returns the dispatcher. It sets head.Upstream where any upstream
	// of the service will do. False: nobody has the right now.
	Route(head *pimento.RequestHead) (pimento.Process, bool)
	// Config returns the configuration in force, false if this process cannot
	// tell whether it is.
	Config() (*pimento.Config, bool)
}

// Receiver is the HTTP handler for callers. Set the exported fields before use.
type Receiver struct {
	Self   pimento.Process
	Router Router
	Local  Local
	Peers  Peers
	Book   *deduper.Book // as a witness
	Events *recorder.Recorder
	Meter  *Meter
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	started := time.Now()
	head, body, err := r.parse(req)
	w.Header().Set(pimento.HeaderRequestID, head.ID)
	if err != nil {
		r.refuse(w, &head, err, started)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), head.Deadline)
	defer cancel()
	answer, err := r.forward(ctx, head, body)
	if err != nil {
		r.refuse(w, &head, err, started)
		return
	}
	defer answer.Body.Close()
	r.respond(w, answer, started)
}

// respond writes the answer. If its body is cut, the connection is cut too, so
// that the caller cannot take a part for the whole.
func (r *Receiver) respond(w http.ResponseWriter, answer pimento.Answer, started time.Time) {
	h := w.Header()
	for name, values := range answer.Head.Header {
		h[name] = values
	}
	h.Set(pimento.HeaderRequestID, answer.Head.ID)
	h.Set(pimento.HeaderOutcome, string(pimento.OutcomeAnswered))
	if answer.Head.BodyLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Head.BodyLength, 10))
	}
	w.WriteHeader(answer.Head.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		r.Meter.Cut()
		panic(http.ErrAbortHandler)
	}
	r.Meter.Ended(pimento.OutcomeAnswered, "", started)
}

// refuse tells the caller the outcome of a request without an answer.
func (r *Receiver) refuse(w http.ResponseWriter, head *pimento.RequestHead, err error, started time.Time) {
	var out *pimento.OutcomeError
	if !errors.As(err, &out) {
		out = pimento.Unknown(pimento.ReasonPeerLost, err.Error())
	}
	number := pimento.EventRequestNotRun
	if out.Outcome == pimento.OutcomeUnknown {
		number = pimento.EventRequestUnknown
	}
	r.Events.Emit(number, "Request", head.ID, "Category", head.Category, "Reason", out.Reason, "Detail", out.Detail)
	r.Meter.Ended(out.Outcome, out.Reason, started)
	w.Header().Set(pimento.HeaderOutcome, string(out.Outcome))
	w.Header().Set(pimento.HeaderReason, string(out.Reason))
	status := statusOf(out)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	http.Error(w, out.Error(), status)
}

func statusOf(out *pimento.OutcomeError) int {
	switch {
	case out.Reason == pimento.ReasonBadRequest || out.Reason == pimento.ReasonBodyCut:
		return http.StatusBadRequest
	case out.Reason == pimento.ReasonNoRoute:
		return http.StatusNotFound
	case out.Outcome == pimento.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case out.Reason == pimento.ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// parse reads what the request asks for.
func (r *Receiver) parse(req *http.Request) (pimento.RequestHead, pimento.Body, error) {
	head := pimento.RequestHead{
		ID: newID(), Method: req.Method, Idempotent: pimento.IsIdempotent(req.Method),
		Class: pimento.ClassInteractive, BodyLength: req.ContentLength, Deadline: time.Now().Add(DefaultTimeout),
	}
	if id := req.Header.Get(pimento.HeaderIdempotencyKey); id != "" {
		head.ID, head.CallerID = id, true
	}
	if len(head.ID) > maxIDLength || len(req.Header.Get(pimento.HeaderKey)) > maxKeyLength {
		head.ID = newID()
		return head, pimento.Body{}, badRequest("Idempotency-Key has at most %d bytes and Relay-Key at most %d", maxIDLength, maxKeyLength)
	}
	if text := req.Header.Get(pimento.HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > MaxTimeout {
			return head, pimento.Body{}, badRequest("Relay-Timeout %q is not a duration up to %s", text, MaxTimeout)
		}
		head.Deadline = time.Now().Add(d)
	}
	if err := r.address(req, &head); err != nil {
		return head, pimento.Body{}, err
	}
	head.Header = req.Header.Clone()
	pimento.StripHeader(head.Header)
	body, err := takeBody(req, &head)
	return head, body, err
}

func badRequest(format string, args ...any) error {
	return pimento.NotRun(pimento.ReasonBadRequest, fmt.Sprintf(format, args...))
}

// awaitConfig returns the configuration in force. A process that has lost its
// authority may get it back soon, so the request waits a while.
func (r *Receiver) awaitConfig(ctx context.Context, deadline time.Time) (*pimento.Config, bool) {
	if limit := time.Now().Add(configWait); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		if config, ok := r.Router.Config(); ok || !sleep(ctx, maxRetry) {
			return config, ok
		}
	}
}

// address finds service, path and place of the key.
func (r *Receiver) address(req *http.Request, head *pimento.RequestHead) error {
	config, ok := r.awaitConfig(req.Context(), head.Deadline)
	if !ok {
		return pimento.NotRun(pimento.ReasonNoAuthority, "this process cannot tell which configuration is in force")
	}
	segment, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), "/"), "/")
	name, err := url.PathUnescape(segment)
	if err != nil {
		return badRequest("the path's first segment %q is not percent-encoded", segment)
	}
	head.Category = pimento.CategoryName(name)
	category, ok := config.Category(head.Category)
	if !ok {
		return pimento.NotRun(pimento.ReasonNoRoute, fmt.Sprintf("category %q does not exist", name))
	}
	service, ok := config.Service(category.Service)
	if !ok {
		return pimento.NotRun(pimento.ReasonNoRoute, fmt.Sprintf("category %q has no service", name))
	}
	head.Service = service.Name
	head.Path = "/" + rest
	if req.URL.RawQuery != "" {
		head.Path += "?" + req.URL.RawQuery
	}
	key := req.Header.Get(pimento.HeaderKey)
	if service.Sharing == pimento.SharingKeyed && key == "" {
		return badRequest("service %q is divided by key, and Relay-Key is missing", service.Name)
	}
	if service.Sharing == pimento.SharingUnkeyed {
		key = head.ID
	}
	head.KeyHash = pimento.HashKey(key)
	return nil
}

// takeBody reads a short body whole, so that it can be sent again.
func takeBody(req *http.Request, head *pimento.RequestHead) (pimento.Body, error) {
	if head.BodyLength == 0 {
		return pimento.Body{}, nil
	}
	if head.BodyLength > inlineSize {
		head.Class = pimento.ClassUpload
		return pimento.Body{Stream: req.Body}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(req.Body, inlineSize+1))
	if err != nil {
		return pimento.Body{}, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	if len(prefix) > inlineSize {
		head.Class = pimento.ClassUpload
		return pimento.Body{Stream: io.MultiReader(strings.NewReader(string(prefix)), req.Body)}, nil
	}
	head.BodyLength = int64(len(prefix))
	return pimento.Body{Inline: prefix}, nil
}

func newID() string {
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}
