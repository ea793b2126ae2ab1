package pimento

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Outcome is how a request ended, as its caller is told.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the upstream's whole answer follows.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeNotRun means that no upstream ran the request.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "Unknown"
)

// Reason says why a request got no answer.
type Reason string

// The reasons. docs/EVENTS.md tells operators what to do about each.
const (
	ReasonNoRoute       Reason = "NoRoute"
	ReasonBadRequest    Reason = "BadRequest"
	ReasonNoOwner       Reason = "NoOwner"
	ReasonNotHolder     Reason = "NotHolder"
	ReasonNoAuthority   Reason = "NoAuthority"
	ReasonPeerLost      Reason = "PeerLost"
	ReasonUpstreamLost  Reason = "UpstreamLost"
	ReasonRefused       Reason = "Refused"
	ReasonQueueFull     Reason = "QueueFull"
	ReasonTimeout       Reason = "Timeout"
	ReasonRecordLost    Reason = "RecordLost"
	ReasonAnswerNotKept Reason = "AnswerNotKept"
	ReasonBodyCut       Reason = "BodyCut"
	ReasonWrongAnswer   Reason = "WrongAnswer"

	ReasonNoManifest     Reason = "NoManifest"
	ReasonHeaderTooLarge Reason = "HeaderTooLarge"
	ReasonBodyTooLarge   Reason = "BodyTooLarge"
	ReasonCallerSlow     Reason = "CallerSlow"
	ReasonCallerGone     Reason = "CallerGone"
	ReasonMisdirected    Reason = "Misdirected"
	ReasonOverloaded     Reason = "Overloaded"
	ReasonShutdown       Reason = "Shutdown"
	ReasonRetryBudget    Reason = "RetryBudget"
)

// Class orders requests that wait for the same upstream.
type Class string

// The classes, the more urgent first.
const (
	ClassInteractive Class = "Interactive"
	ClassUpload      Class = "Upload"
)

// RequestHead is everything of a request but its body.
type RequestHead struct {
	ID         string
	Category   CategoryName
	Service    ServiceName
	Upstream   UpstreamName // set where any upstream of the service will do
	KeyHash    uint64
	Idempotent bool
	CallerID   bool // the ID came from the caller, so a duplicate can follow
	Class      Class
	Method     string
	Path       string
	Header     http.Header
	BodyLength int64     // bytes, -1 if not known beforehand
	Deadline   time.Time `cbor:"-"` // sent as remaining time
}

// AnswerHead is everything of an answer but its body.
type AnswerHead struct {
	ID         string
	Status     int
	Header     http.Header
	BodyLength int64 // bytes, -1 if not known beforehand
}

// Body is the body of a request. Inline is the whole of a short one; a longer
// one is read from Stream, only after the request was admitted.
type Body struct {
	Inline []byte
	Stream io.Reader
}

// Reader returns the body from its beginning. A stream can be read once.
func (b Body) Reader() io.Reader {
	if b.Stream != nil {
		return b.Stream
	}
	return bytes.NewReader(b.Inline)
}

// IsIdempotent reports whether a method may be run again without harm (RFC
// 9110, section 9.2.2).
func IsIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	default:
		return false
	}
}
