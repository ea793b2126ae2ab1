package pimento

import (
	"net/http"
	"strings"
)

// The headers of the project's own protocol. Callers send HeaderKey,
// HeaderIdempotencyKey and HeaderTimeout and receive HeaderOutcome, HeaderReason
// and HeaderRequestID; the others are exchanged with upstreams.
const (
	HeaderKey            = "Relay-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Relay-Timeout"
	HeaderOutcome        = "Relay-Outcome"
	HeaderReason         = "Relay-Reason"
	HeaderRequestID      = "Relay-Request-Id"
	HeaderKeyPosition    = "Relay-Place"    // position of the key, 0 to 65535
	HeaderUpstream       = "Relay-Upstream" // the only one that may run the request
	HeaderLoad           = "Relay-Load"     // running, waiting, slots
	HeaderCold           = "Relay-Cold"     // how long the upstream stays cold
	HeaderLimit          = "Relay-Limit"    // requests a second from all processes together
	HeaderHandover       = "Relay-Handover"
	HeaderLeaving        = "Relay-Leaving" // 1: the upstream leaves
	HeaderRetryAfter     = "Retry-After"   // seconds; of a status 429 or 503
	HeaderAuthorization  = "Authorization" // the API key of a caller: Bearer KEY
	HeaderCustomer       = "Relay-Customer"
)

// headerPrefix is common to the headers of the project's own protocol.
const headerPrefix = "Relay-"

// hopByHopHeaders belong to one connection and are not passed on (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers from h.
func StripHopByHop(h http.Header) {
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// StripInternal removes the headers from h that only pimentorelay itself may set.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) || name == HeaderIdempotencyKey {
			delete(h, name)
		}
	}
}
