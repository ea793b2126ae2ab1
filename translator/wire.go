// Package translator speaks the product's own wire with callers and upstreams.
// docs/WIRES.md has the whole of it.
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
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// maxIDLength is the longest Idempotency-Key in bytes.
	maxIDLength = 256
	// maxKeyLength is the longest Relay-Key in bytes.
	maxKeyLength = 1024

	// GrantPath is that of a call that gives keys.
	GrantPath = "/relay/grant"
	// ReleasePath is that of a call that takes keys back.
	ReleasePath = "/relay/release"
	// HealthPath is that of a probe.
	HealthPath = "/relay/health"
)

// Wire is the product's own wire.
type Wire struct{}

var (
	_ pimento.CallerWire   = Wire{}
	_ pimento.UpstreamWire = Wire{}
)

// ReadRequest implements pimento.CallerWire. Headers that only the system may
// set are taken away.
func (Wire) ReadRequest(h http.Header, now time.Time, r *pimento.Request) error {
	name, key, timeout := h.Get(pimento.HeaderIdempotencyKey), h.Get(pimento.HeaderKey), h.Get(pimento.HeaderTimeout)
	pimento.StripOwn(h)
	r.ID, r.Named = name, name != ""
	if !r.Named {
		r.ID = newID()
	}
	r.Deadline = now.Add(DefaultTimeout)
	if len(name) > maxIDLength || len(key) > maxKeyLength {
		r.ID = newID()
		return badRequest("Idempotency-Key has at most %d bytes and Relay-Key at most %d", maxIDLength, maxKeyLength)
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
	return normalize(r)
}

// normalize writes the first segment of a path, the category, in the one way
// in which routes have it.
func normalize(r *pimento.Request) error {
	path, query, _ := strings.Cut(r.Path, "?")
	segment, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	name, err := url.PathUnescape(segment)
	if err != nil {
		return badRequest("the path's first segment %q is not percent-encoded", segment)
	}
	r.Path = Prefix(pimento.CategoryName(name)) + rest
	if query != "" {
		r.Path += "?" + query
	}
	return nil
}

// Prefix returns the prefix of the paths of a category.
func Prefix(name pimento.CategoryName) string { return "/" + url.PathEscape(string(name)) + "/" }

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
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(max(out.RetryAfter, minReturn).Seconds(), 'f', 3, 64))
	}
	return status
}

// minReturn is the least that refused callers are told to wait.
const minReturn = 50 * time.Millisecond

// WriteRequest implements pimento.UpstreamWire.
func (Wire) WriteRequest(h http.Header, r *pimento.Request, to *pimento.Server, remaining time.Duration) {
	h.Set(pimento.HeaderRequestID, r.ID)
	h.Set(pimento.HeaderTimeout, remaining.String())
	h.Set(pimento.HeaderUpstream, string(to.Name))
	h.Set(pimento.HeaderPlace, strconv.Itoa(int(r.Key)))
}

// WriteTarget implements pimento.UpstreamWire.
func (Wire) WriteTarget(h http.Header, to *pimento.Server) {
	h.Set(pimento.HeaderUpstream, string(to.Name))
}

// ReadAnswer implements pimento.UpstreamWire. Headers that are for the system
// are taken away.
func (Wire) ReadAnswer(status int, h http.Header) pimento.AnswerMark {
	m := pimento.AnswerMark{
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
	pimento.StripOwn(h)
	return m
}

// GrantBody is the body of a grant and, without Hold and Handover, of a
// release.
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
		panic(err) // plain fields
	}
	return text
}

// ReadHandover implements pimento.UpstreamWire.
func (Wire) ReadHandover(h http.Header) string { return h.Get(pimento.HeaderHandover) }
