// Package translator implements the project's own HTTP protocol for callers and
// upstreams, which docs/WIRES.md describes in full.
//
// A caller sends "METHOD /CATEGORY/PATH", with the category percent-encoded as
// one segment, and may set these headers:
//
//	Relay-Key        the key; required for a keyed service
//	Idempotency-Key  the ID of a request that may be sent again
//	Relay-Timeout    how long the caller waits, such as "2s"
//	Authorization    "Bearer KEY", if the sheet has customers
//
// Every answer has Relay-Outcome and Relay-Request-Id. Answered means that the
// upstream's answer follows, whole or visibly truncated; NotRun (status 503, or
// 4xx for an invalid request or one beyond a quota) that no upstream ran the request; Unknown (status
// 502 or 504) that one may have. Relay-Reason says why.
//
// # Usage
//
//	r := &router.Router{CallerWire: translator.Wire{}, UpstreamWire: translator.Wire{}, ...}
package translator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// DefaultTimeout applies to requests without a Relay-Timeout.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest Relay-Timeout that a caller may set.
	MaxTimeout = 10 * time.Minute
	// maxIDBytes is the longest Idempotency-Key.
	maxIDBytes = 256
	// maxKeyBytes is the longest Relay-Key.
	maxKeyBytes = 1024

	// GrantPath is the path of calls that grant keys.
	GrantPath = "/relay/grant"
	// ReleasePath is the path of calls that release keys.
	ReleasePath = "/relay/release"
	// HealthPath is the path of health probes.
	HealthPath = "/relay/health"
)

// Wire is the project's own protocol.
type Wire struct{}

var (
	_ pimento.CallerWire   = Wire{}
	_ pimento.UpstreamWire = Wire{}
)

// ReadRequest implements pimento.CallerWire. It removes headers that only the
// relay may set.
func (Wire) ReadRequest(h http.Header, now time.Time, r *pimento.Request) error {
	id, key, timeout := h.Get(pimento.HeaderIdempotencyKey), h.Get(pimento.HeaderKey), h.Get(pimento.HeaderTimeout)
	r.APIKey = pimento.ReadAPIKey(h.Values(pimento.HeaderAuthorization))
	pimento.StripInternal(h)
	r.ID, r.HasCallerID = id, id != ""
	if !r.HasCallerID {
		r.ID = newID()
	}
	r.Deadline = now.Add(DefaultTimeout)
	if len(id) > maxIDBytes || len(key) > maxKeyBytes {
		r.ID = newID()
		return badRequest("Idempotency-Key has at most %d bytes and Relay-Key at most %d", maxIDBytes, maxKeyBytes)
	}
	if timeout != "" {
		d, err := time.ParseDuration(timeout)
		if err != nil || d <= 0 || d > MaxTimeout {
			return badRequest("Relay-Timeout %q is not a duration up to %s", timeout, MaxTimeout)
		}
		r.Deadline = now.Add(d)
	}
	if key != "" {
		r.Key, r.Keyed = pimento.KeyOf(key), true
	}
	return normalizePath(r)
}

// normalizePath re-escapes the first segment of a path, the category, to match the
// prefix of its route.
func normalizePath(r *pimento.Request) error {
	path, query, _ := strings.Cut(r.Path, "?")
	segment, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	name, err := url.PathUnescape(segment)
	if err != nil {
		return badRequest("the path's first segment %q is not percent-encoded", segment)
	}
	r.Path = CategoryPrefix(pimento.CategoryName(name)) + rest
	if query != "" {
		r.Path += "?" + query
	}
	return nil
}

// CategoryPrefix returns the prefix of the paths of a category.
func CategoryPrefix(name pimento.CategoryName) string {
	return "/" + url.PathEscape(string(name)) + "/"
}

func badRequest(format string, args ...any) error {
	return pimento.NotRun(pimento.ReasonBadRequest, fmt.Sprintf(format, args...))
}

func newID() string {
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}

// WriteAnswer implements pimento.CallerWire.
func (Wire) WriteAnswer(h http.Header, r *pimento.Request) {
	h.Set(pimento.HeaderRequestID, r.ID)
	h.Set(pimento.HeaderOutcome, string(pimento.OutcomeAnswered))
}

// WriteRefusal implements pimento.CallerWire.
func (Wire) WriteRefusal(h http.Header, r *pimento.Request, out *pimento.OutcomeError) int {
	h.Set(pimento.HeaderRequestID, r.ID)
	h.Set(pimento.HeaderOutcome, string(out.Outcome))
	h.Set(pimento.HeaderReason, string(out.Reason))
	status := out.Status()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set(pimento.HeaderRetryAfter, strconv.FormatFloat(max(out.RetryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	}
	return status
}

// minRetryAfter is the least Retry-After of a refusal.
const minRetryAfter = 50 * time.Millisecond

// WriteRequest implements pimento.UpstreamWire.
func (Wire) WriteRequest(h http.Header, r *pimento.Request, to *pimento.Server, remaining time.Duration) {
	h.Set(pimento.HeaderRequestID, r.ID)
	h.Set(pimento.HeaderTimeout, remaining.String())
	h.Set(pimento.HeaderUpstream, string(to.Name))
	h.Set(pimento.HeaderKeyPosition, strconv.Itoa(int(r.Key)))
	if r.Authenticated {
		h.Del(pimento.HeaderAuthorization)
	}
	if r.Customer != nil {
		h.Set(pimento.HeaderCustomer, string(r.Customer.Name))
	}
}

// WriteTarget implements pimento.UpstreamWire.
func (Wire) WriteTarget(h http.Header, to *pimento.Server) {
	h.Set(pimento.HeaderUpstream, string(to.Name))
}

// ReadAnswer implements pimento.UpstreamWire. It removes headers that are meant
// for the relay.
func (Wire) ReadAnswer(status int, h http.Header) pimento.AnswerMetadata {
	m := pimento.AnswerMetadata{
		ID: h.Get(pimento.HeaderRequestID), Upstream: pimento.UpstreamName(h.Get(pimento.HeaderUpstream)),
		NotRun:      h.Get(pimento.HeaderOutcome) == string(pimento.OutcomeNotRun),
		Misdirected: status == http.StatusMisdirectedRequest,
	}
	m.NotRun = m.NotRun || m.Misdirected
	_, err := fmt.Sscanf(h.Get(pimento.HeaderLoad), "%d,%d,%d", &m.Load.InFlight, &m.Load.Waiting, &m.Load.Slots)
	m.HasLoad = err == nil
	if d, err := time.ParseDuration(h.Get(pimento.HeaderCold)); err == nil {
		m.ColdFor = d
	}
	m.Limit = pimento.ReadLimitNotice(h.Values(pimento.HeaderLimit))
	m.Leaving = pimento.ReadLeaving(h.Values(pimento.HeaderLeaving))
	if status == http.StatusServiceUnavailable {
		m.Pause = pimento.ReadPauseNotice(h.Values(pimento.HeaderRetryAfter))
	}
	pimento.StripInternal(h)
	return m
}

// GrantBody is the body of a grant and, with Hold and Handover zero, of a release.
type GrantBody struct {
	From     pimento.Key
	To       pimento.Key
	Fence    uint64
	Hold     pimento.Span
	Handover string
}

// Grant implements pimento.UpstreamWire.
func (Wire) Grant(g pimento.KeyGrant) (string, []byte) {
	return GrantPath, encode(GrantBody{From: g.Range.From, To: g.Range.To, Fence: g.Fence, Hold: pimento.Span(g.Hold), Handover: g.Handover})
}

// Release implements pimento.UpstreamWire.
func (Wire) Release(r pimento.KeyRange, fence uint64) (string, []byte) {
	return ReleasePath, encode(GrantBody{From: r.From, To: r.To, Fence: fence})
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return text
}

// ReadHandover implements pimento.UpstreamWire.
func (Wire) ReadHandover(h http.Header) string { return h.Get(pimento.HeaderHandover) }
