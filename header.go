package pimento

import (
	"net/http"
	"strings"
)

// The headers of the product's own wire. Those of callers are HeaderKey,
// HeaderIdempotencyKey and HeaderTimeout; those towards callers HeaderOutcome,
// HeaderReason and HeaderRequestID; the others are between the system and
// upstreams.
const (
	HeaderKey            = "Relay-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Relay-Timeout"
	HeaderOutcome        = "Relay-Outcome"
	HeaderReason         = "Relay-Reason"
	HeaderRequestID      = "Relay-Request-Id"
	HeaderPlace          = "Relay-Place"    // of the key, 0 to 65535
	HeaderUpstream       = "Relay-Upstream" // the only one that may run the request
	HeaderLoad           = "Relay-Load"     // running, waiting, slots
	HeaderCold           = "Relay-Cold"     // how long the upstream stays cold
	HeaderHandover       = "Relay-Handover"
)

// headerPrefix is common to the system's own headers.
const headerPrefix = "Relay-"

// hopHeaders belong to one connection and are not passed on (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes from h the headers that concern one connection only.
func StripConnection(h http.Header) {
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripOwn removes from h the headers that only the system itself may set.
func StripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) || name == HeaderIdempotencyKey {
			delete(h, name)
		}
	}
}
