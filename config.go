package pimento

import (
	"fmt"
	"net/netip"
	"time"
)

// CategoryName is an opaque name chosen by operators. It may look like an error,
// such as "TIMEOUT 504", and is never interpreted.
type CategoryName string

// ServiceName names a service.
type ServiceName string

// DomainName names a failure domain.
type DomainName string

// HostName names a host.
type HostName string

// UpstreamName names one server of a service.
type UpstreamName string

// Sharing says whether the upstreams of a service own keys exclusively.
type Sharing string

// The ways of sharing.
const (
	SharingKeyed   Sharing = "Keyed"
	SharingUnkeyed Sharing = "Unkeyed"
)

// Fencing says whether the upstreams of a service check grants. Those of a keyed
// service must, since only that keeps a key with one owner.
type Fencing string

// The kinds of fencing.
const (
	FencingChecked   Fencing = "Checked"
	FencingUnchecked Fencing = "Unchecked"
)

// State says whether a failure domain, a host or an upstream takes work.
type State string

// The states. A domain is In or Out; a host or an upstream is Arriving (present)
// or Leaving. An upstream is Unseen while the process that lists it does not know its run.
const (
	StateIn       State = "In"
	StateOut      State = "Out"
	StateArriving State = "Arriving"
	StateLeaving  State = "Leaving"
	StateUnseen   State = "Unseen"
)

// Category assigns a ticket category to a service.
type Category struct {
	Name    CategoryName
	Service ServiceName
	Public  bool `json:",omitempty"` // callers need no API key
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name       ServiceName
	Sharing    Sharing
	Fencing    Fencing
	HealthPath string
	// Connections is the most that one upstream accepts from all callers.
	Connections int
	ColdFor     time.Duration // how long an upstream is cold after its start
	ColdRate    float64       // requests per second that a cold upstream can handle
	WarmFor     time.Duration // how long keys are slow after a move without a handover
}

// Domain is a failure domain.
type Domain struct {
	Name  DomainName
	State State
}

// Host is a machine that runs an upstream or a process of the relay.
type Host struct {
	Name   HostName
	Domain DomainName
	State  State
}

// Server is one upstream, as operators configured it or as it registered itself.
type Server struct {
	Name        UpstreamName
	Service     ServiceName
	Host        HostName
	Address     netip.AddrPort
	Slots       int
	Connections int
	Domain      DomainName
	State       State     // StateArriving or StateLeaving
	Started     time.Time // on the upstream's clock; a later start is another run
	WarmAt      time.Time // until then the upstream is cold
}

// Config is the content of one configuration sheet.
type Config struct {
	Categories []Category
	Services   []Service
	Domains    []Domain
	Hosts      []Host
	Servers    []Server
	// Customers are those whose callers may use categories that are not public; none: all
	// callers may use all.
	Customers []Customer `json:",omitempty"`
}

// Category returns the category called name.
func (c *Config) Category(name CategoryName) (Category, bool) {
	return find(c.Categories, func(x Category) bool { return x.Name == name })
}

// Service returns the service called name.
func (c *Config) Service(name ServiceName) (Service, bool) {
	return find(c.Services, func(x Service) bool { return x.Name == name })
}

// Host returns the host called name.
func (c *Config) Host(name HostName) (Host, bool) {
	return find(c.Hosts, func(x Host) bool { return x.Name == name })
}

// Domain returns the failure domain called name.
func (c *Config) Domain(name DomainName) (Domain, bool) {
	return find(c.Domains, func(x Domain) bool { return x.Name == name })
}

// Server returns the upstream called name.
func (c *Config) Server(name UpstreamName) (Server, bool) {
	return find(c.Servers, func(x Server) bool { return x.Name == name })
}

// Eligible reports whether the host and failure domain of a server take work.
func (c *Config) Eligible(s Server) bool {
	h, ok := c.Host(s.Host)
	if !ok || h.State != StateArriving {
		return false
	}
	d, ok := c.Domain(h.Domain)
	return ok && d.State == StateIn
}

// DomainOf returns the failure domain of a server.
func (c *Config) DomainOf(s Server) DomainName {
	h, _ := c.Host(s.Host)
	return h.Domain
}

// ServersOf returns the upstreams of a service.
func (c *Config) ServersOf(service ServiceName) []Server {
	var out []Server
	for _, s := range c.Servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// Validate returns all references without a target, all empty or duplicate names,
// duplicate addresses, and keyed services without checked fencing.
func (c *Config) Validate() error {
	v := &ValidationError{Subject: "configuration"}
	checkUnique(v, "Category", c.Categories, func(x Category) string { return string(x.Name) })
	checkUnique(v, "Service", c.Services, func(x Service) string { return string(x.Name) })
	checkUnique(v, "Domain", c.Domains, func(x Domain) string { return string(x.Name) })
	checkUnique(v, "Host", c.Hosts, func(x Host) string { return string(x.Name) })
	checkUnique(v, "Upstream", c.Servers, func(x Server) string { return string(x.Name) })
	checkUnique(v, "Address", c.Servers, func(x Server) string { return x.Address.String() })
	validateCustomers(v, c.Customers)
	for _, x := range c.Categories {
		if _, ok := c.Service(x.Service); !ok {
			v.Add(fmt.Sprintf("Service of category %q", x.Name), string(x.Service), "a service of this sheet")
		}
	}
	for _, x := range c.Services {
		if x.Sharing == SharingKeyed && x.Fencing == FencingUnchecked {
			v.Add(fmt.Sprintf("Fencing of service %q", x.Name), string(x.Fencing), "Checked, because the service is keyed")
		}
	}
	for _, x := range c.Hosts {
		if _, ok := c.Domain(x.Domain); !ok {
			v.Add(fmt.Sprintf("Domain of host %q", x.Name), string(x.Domain), "a failure domain of this sheet")
		}
	}
	for _, x := range c.Servers {
		if _, ok := c.Service(x.Service); !ok {
			v.Add(fmt.Sprintf("Service of upstream %q", x.Name), string(x.Service), "a service of this sheet")
		}
		if _, ok := c.Host(x.Host); !ok {
			v.Add(fmt.Sprintf("Host of upstream %q", x.Name), string(x.Host), "a host of this sheet")
		}
	}
	return v.Err()
}

func checkUnique[T any](v *ValidationError, field string, items []T, name func(T) string) {
	seen := make(map[string]bool, len(items))
	for _, x := range items {
		n := name(x)
		if n == "" || seen[n] {
			v.Add(field, n, "a unique name that is not empty")
		}
		seen[n] = true
	}
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, x := range items {
		if match(x) {
			return x, true
		}
	}
	var zero T
	return zero, false
}
