package pimento

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route.
type RouteName string

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "Once"
	// RouteUpload requests run at most once and have large bodies.
	RouteUpload RouteKind = "Upload"
	// RouteByMethod requests run at most once unless their method is
	// idempotent (RFC 9110, section 9.2.2).
	RouteByMethod RouteKind = "ByMethod"
)

// Target is a service with its share of a route's requests.
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
	MaxAttempts int           // upstreams that one request may be sent to
	Timeout     time.Duration // longest time that a caller is kept waiting
	Goal        time.Duration // time within which an answer has its full worth
	Priority    int           // the lower the more urgent
	Strip       bool          // the prefix is not passed on
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent(method string) bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteByMethod && IsIdempotent(method)
}

// RouteTable finds the route of a request. It does not change once built.
type RouteTable struct {
	hosts map[string][]*Route // by falling length of the prefix
}

// NewRouteTable returns a table of routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{hosts: make(map[string][]*Route)}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path, among
// those of the host and, after them, those of any host. The path is as it came
// on the wire, without a query.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	host = hostName(host)
	for _, name := range []string{host, ""} {
		for _, r := range t.hosts[name] {
			if strings.HasPrefix(path, r.Prefix) {
				return r, true
			}
		}
	}
	return nil, false
}

// hostName returns the name in a Host header, in lower case and without a port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
