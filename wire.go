package pimento

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is everything of a caller's request but its body.
type Request struct {
	ID         string
	Route      *Route
	Service    ServiceName
	Key        Key
	Keyed      bool // Key was sent
	Named      bool // the caller gave the ID, so it may send the request again
	Method     string
	Path       string // with query, as it came
	Host       string
	Header     http.Header
	BodyLength int64 // bytes, -1 if not known beforehand
	Deadline   time.Time
	GoalAt     time.Time // an answer until then has its full worth
	Print      uint64    // tells what is asked for; see SetPrint
}

// SetPrint sets Print from what a caller sends again when it asks for the same
// once more: method, host, path and the beginning of the body.
func (r *Request) SetPrint(begin []byte) {
	h := xxhash.New()
	for _, part := range []string{r.Method, hostName(r.Host), r.Path, strconv.FormatInt(r.BodyLength, 10)} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\n")
	}
	_, _ = h.Write(begin)
	r.Print = max(h.Sum64(), 1)
}

// CallerWire translates between callers' messages and the domain.
type CallerWire interface {
	// ReadRequest fills in ID, Key, Keyed and Deadline from the header of a
	// request that arrived at now. The error is an *OutcomeError.
	ReadRequest(h http.Header, now time.Time, r *Request) error
	// WriteAnswer sets what the header of an upstream's answer is to say
	// besides.
	WriteAnswer(h http.Header, r *Request)
	// WriteRefusal sets the header of an answer to a request that ended
	// without one of an upstream, and returns its status.
	WriteRefusal(h http.Header, r *Request, out *OutcomeError) int
}

// AnswerMark is what the header of an upstream's answer says besides the
// answer itself.
type AnswerMark struct {
	ID          string // of the request that is answered
	Upstream    UpstreamName
	NotRun      bool // the upstream did not run the request
	Misdirected bool // the upstream is not the one, or does not hold the key
	Load        LoadReport
	HasLoad     bool
	IdleTimeout time.Duration // after which the upstream closes the connection; zero: not told
	ColdFor     time.Duration // how long the upstream stays cold
}

// UpstreamWire translates between upstreams' messages and the domain.
type UpstreamWire interface {
	// WriteRequest sets the header of a request for an upstream that may work
	// on it for remaining.
	WriteRequest(h http.Header, r *Request, to *Server, remaining time.Duration)
	// WriteTarget sets what keeps any other upstream from carrying out a call,
	// should the address be another's by now.
	WriteTarget(h http.Header, to *Server)
	// ReadAnswer reads what an answer says besides the answer itself.
	ReadAnswer(status int, h http.Header) AnswerMark
	// Grant returns path and JSON body of the call that grants keys.
	Grant(g KeyGrant) (path string, body []byte)
	// Release returns path and JSON body of the call that takes keys back.
	Release(r KeyRange, fence uint64) (path string, body []byte)
	// ReadHandover returns the handover that the answer to a release bears.
	ReadHandover(h http.Header) string
}

// KeyGrant gives keys to an upstream. Sent again, it renews the grant.
type KeyGrant struct {
	Range    KeyRange
	Fence    uint64
	Hold     time.Duration // from its arrival
	Handover string        // of the upstream that held the keys before; may be empty
}
