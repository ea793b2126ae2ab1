package pimento

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request without its body.
type Request struct {
	ID          string
	Route       *Route
	Service     ServiceName
	Key         Key
	Keyed       bool // the caller sent a key
	HasCallerID bool // the caller set the ID, so it may send the request again
	APIKey      APIKey
	// Authenticated means that the manifest in force has customers: upstreams get the name
	// of Customer, whatever the caller sent, and no API key.
	Authenticated bool
	Customer      *Customer // that holds APIKey; nil: none
	// Check is called right before the request is written to an upstream. Its error, an
	// *OutcomeError with outcome NotRun, stops that. It may be nil.
	Check      func() error
	Method     string
	Path       string // with query, as received
	Host       string
	Header     http.Header
	BodyLength int64     // bytes, -1 if unknown
	ArrivedAt  time.Time // end of its header; zero: unknown
	Deadline   time.Time
	GoalAt     time.Time // an answer until then has its full utility
	// Fingerprint is set by SetFingerprint. It is zero while the body awaits a 100
	// Continue: the first read of the body sets it.
	Fingerprint uint64
}

// RecordID returns the ID under which the request is recorded. Customers that use the same
// ID do not get the answers of each other.
func (r *Request) RecordID() string {
	if r.Customer == nil {
		return r.ID
	}
	return string(r.Customer.Name) + "/" + r.ID
}

// SetFingerprint sets the fingerprint from what is the same when a caller retries
// a request: method, host, path, and the beginning of the body. The length of a long
// body is known or not, as the body is framed, so it does not count.
func (r *Request) SetFingerprint(bodyStart []byte) {
	h := xxhash.New()
	for _, part := range []string{r.Method, normalizeHost(r.Host), r.Path} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\n")
	}
	_, _ = h.Write(bodyStart)
	r.Fingerprint = max(h.Sum64(), 1)
}

// CallerWire translates between the protocol of callers and the domain types.
type CallerWire interface {
	// ReadRequest fills in ID, HasCallerID, APIKey, Key, Keyed and Deadline from the
	// header of a request that arrived at now. It may remove headers and
	// normalize Path. The error is an *OutcomeError.
	ReadRequest(h http.Header, now time.Time, r *Request) error
	// WriteAnswer adds the headers of the callers' protocol to an upstream's
	// answer.
	WriteAnswer(h http.Header, r *Request)
	// WriteRefusal sets the header of the response to a request without an
	// answer of an upstream, and returns its status.
	WriteRefusal(h http.Header, r *Request, out *OutcomeError) int
}

// AnswerMetadata is the metadata in the header of an upstream's answer.
type AnswerMetadata struct {
	ID          string // of the request that is answered
	Upstream    UpstreamName
	NotRun      bool // the upstream did not run the request
	Misdirected bool // the request was for another upstream, or the upstream does not hold the key
	// FalsePromise means that the status tells callers that the request was not run, and
	// the upstream does not say so.
	FalsePromise bool
	Load         LoadReport
	HasLoad      bool
	IdleTimeout  time.Duration // after which the upstream closes the connection; zero: unspecified
	ColdFor      time.Duration // how long the upstream stays cold
	Limit        LimitNotice
	Leaving      bool        // the upstream leaves and will end soon
	Pause        PauseNotice // of a status 503
}

// UpstreamWire translates between the protocol of upstreams and the domain types.
type UpstreamWire interface {
	// WriteRequest sets the header of a request for an upstream that may work
	// on it for remaining. If the request is authenticated, it removes the API key and
	// sets the customer.
	WriteRequest(h http.Header, r *Request, to *Server, remaining time.Duration)
	// WriteTarget names the only upstream that may carry out a call, since its
	// address may belong to another by now.
	WriteTarget(h http.Header, to *Server)
	// ReadAnswer reads the metadata of an answer.
	ReadAnswer(status int, h http.Header) AnswerMetadata
	// Grant returns path and JSON body of the call that grants keys.
	Grant(g KeyGrant) (path string, body []byte)
	// Release returns path and JSON body of the call that revokes keys.
	Release(r KeyRange, fence uint64) (path string, body []byte)
	// ReadHandover returns the handover in the answer to a release.
	ReadHandover(h http.Header) string
}

// KeyGrant grants keys to an upstream. Sending it again renews the grant.
type KeyGrant struct {
	Range KeyRange
	Fence uint64
	Hold  time.Duration // from its arrival at the upstream
	// SendBefore is when the grant must not be sent any more, on the clock of package
	// timekeeper; zero: it may be sent at any time.
	SendBefore time.Time
	Handover   string // of the upstream that held the keys before; may be empty
}
