package pimento

import (
	"fmt"
	"strings"
	"time"
)

// Limits bound the size and timing of callers' requests.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // of a connection without a request
}

// Manifest is the configuration that operators put in force. A process never
// returns to a lower Version.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Authenticated means that a request needs the API key of a customer, unless its route
	// is public.
	Authenticated bool
	Customers     []Customer
	// Notes are values that are not known here and were replaced by what is safe.
	Notes []FieldError
}

// Service returns the service called name.
func (m *Manifest) Service(name ServiceName) (Service, bool) {
	return find(m.Services, func(x Service) bool { return x.Name == name })
}

// Defaults sets omitted fields to their defaults and lowercases the routes' hosts.
func (m *Manifest) Defaults() {
	for i := range m.Routes {
		r := &m.Routes[i]
		r.Host = strings.ToLower(r.Host)
		if r.MaxAttempts == 0 {
			r.MaxAttempts = 1
		}
		if r.Timeout == 0 {
			r.Timeout = defaultRouteTimeout
		}
	}
	if m.Limits.HeaderBytes == 0 {
		m.Limits.HeaderBytes = defaultHeaderBytes
	}
	if m.Limits.BodyBytes == 0 {
		m.Limits.BodyBytes = defaultBodyBytes
	}
	if m.Limits.HeaderTimeout == 0 {
		m.Limits.HeaderTimeout = defaultHeaderTimeout
	}
	if m.Limits.IdleTimeout == 0 {
		m.Limits.IdleTimeout = defaultIdleTimeout
	}
}

const (
	defaultRouteTimeout  = 30 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 30
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// Validate returns all errors of a manifest.
func (m *Manifest) Validate() error {
	v := &ValidationError{Subject: "manifest"}
	checkUnique(v, "Service", m.Services, func(x Service) string { return string(x.Name) })
	checkUnique(v, "Route", m.Routes, func(x Route) string { return string(x.Name) })
	validateCustomers(v, m.Customers)
	for _, r := range m.Routes {
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			v.Add(fmt.Sprintf("Prefix of route %q", r.Name), r.Prefix, "a path that begins and ends with a slash")
		}
		switch r.Kind {
		case RouteIdempotent, RouteOnce, RouteUpload, RouteDownload, RouteByMethod:
		default:
			v.Add(fmt.Sprintf("Kind of route %q", r.Name), string(r.Kind), "Idempotent, Once, Upload, Download or ByMethod")
		}
		if len(r.Targets) == 0 {
			v.Add(fmt.Sprintf("Targets of route %q", r.Name), "", "one service or more")
		}
		weight := 0
		for _, t := range r.Targets {
			weight += t.Weight
			if _, ok := m.Service(t.Service); !ok {
				v.Add(fmt.Sprintf("Service of route %q", r.Name), string(t.Service), "a service of this manifest")
			}
			if t.Weight < 0 {
				v.Add(fmt.Sprintf("Weight of service %q in route %q", t.Service, r.Name), fmt.Sprint(t.Weight), "zero or more")
			}
		}
		if weight <= 0 && len(r.Targets) > 0 {
			v.Add(fmt.Sprintf("Weights of route %q", r.Name), fmt.Sprint(weight), "a sum above zero")
		}
	}
	return v.Err()
}
