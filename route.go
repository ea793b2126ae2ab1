package pimento

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route.
type RouteName string

// RouteKind says which requests of a route may run more than once.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "Once"
	// RouteUpload requests run at most once and have large bodies.
	RouteUpload RouteKind = "Upload"
	// RouteDownload requests may run more than once and have large answers.
	RouteDownload RouteKind = "Download"
	// RouteByMethod requests run at most once unless their method is
	// idempotent (RFC 9110, section 9.2.2).
	RouteByMethod RouteKind = "ByMethod"
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service ServiceName
	Weight  int // relative to the other targets of the route
}

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name        RouteName
	Host        string // without a port, in lower case; empty: any
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Targets     []Target
	MaxAttempts int           // attempts per request, including the first
	Timeout     time.Duration // longest time that a caller is kept waiting
	Goal        time.Duration // time within which an answer has its full utility
	Priority    int           // lower values are more urgent
	Strip       bool          // remove the prefix before forwarding
	Public      bool          // callers need no API key
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent(method string) bool {
	switch r.Kind {
	case RouteIdempotent, RouteDownload:
		return true
	case RouteByMethod:
		return IsIdempotent(method)
	default:
		return false
	}
}

// RouteTable finds the route of a request. It does not change once built.
type RouteTable struct {
	byHost map[string][]*Route // sorted by descending prefix length
}

// NewRouteTable returns a table of routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{byHost: make(map[string][]*Route)}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest matching prefix among those of the
// host, or else among those of any host. The path is as received, without a query.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	host = normalizeHost(host)
	for _, name := range []string{host, ""} {
		for _, r := range t.byHost[name] {
			if strings.HasPrefix(path, r.Prefix) {
				return r, true
			}
		}
	}
	return nil, false
}

// normalizeHost returns the name in a Host header in lower case, without a port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
