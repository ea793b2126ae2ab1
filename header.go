package pimento

import (
	"net/http"
	"strings"
)

// The headers that the system reads and writes. Those of callers are
// HeaderKey, HeaderIdempotencyKey, HeaderTimeout; those towards callers are
// HeaderOutcome, HeaderReason and HeaderRequestID; the others are for
// upstreams.
const (
	HeaderKey            = "Relay-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Relay-Timeout"
	HeaderOutcome        = "Relay-Outcome"
	HeaderReason         = "Relay-Reason"
	HeaderRequestID      = "Relay-Request-Id"
	HeaderKeyHash        = "Relay-Key-Hash"
	HeaderFence          = "Relay-Fence"
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

// StripHeader removes from h what must not be passed on: headers of one
// connection and headers that only the system itself may set.
func StripHeader(h http.Header) {
	StripConnection(h)
	for name := range h {
		// net/http sends a request with an idempotency key a second time when
		// a connection breaks. The upstream gets HeaderRequestID instead.
		if strings.HasPrefix(name, headerPrefix) || strings.HasSuffix(name, HeaderIdempotencyKey) {
			delete(h, name)
		}
	}
}
