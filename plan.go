package pimento

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Slice is a range of key hashes of one service, from Start to the Start of
// the next slice. Owners are upstreams in order of preference: the first that
// is not lost owns the slice, the others stand by.
type Slice struct {
	Start  uint64
	Owners []UpstreamName
}

// ServicePlan is the table of one service. Slices are sorted by Start and the
// first starts at zero.
type ServicePlan struct {
	Service ServiceName
	Slices  []Slice
}

// DispatcherPlan names the processes that may speak to an upstream, in order:
// the first that is not suspected has the right, the others stand by.
type DispatcherPlan struct {
	Upstream    UpstreamName
	Dispatchers []ProcessID
}

// Plan is the one object that holds all decisions. Every change is one
// conditional write that raises Epoch by one.
type Plan struct {
	Epoch           uint64
	Writer          ProcessID
	ConfigVersion   uint64
	Config          Config
	Processes       []Process
	Confirmers      []ProcessID
	PriorConfirmers []ProcessID // of the epoch before, less those that ended
	Upstreams       []DispatcherPlan
	Services        []ServicePlan
}

// SliceID names a slice within a plan.
type SliceID struct {
	Service ServiceName
	Start   uint64
}

// HashKey places a key in the hash space (xxHash64).
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Process returns the process with the given ID.
func (p *Plan) Process(id ProcessID) (Process, bool) {
	return find(p.Processes, func(x Process) bool { return x.ID == id })
}

// Dispatchers returns the dispatchers of an upstream in order.
func (p *Plan) Dispatchers(name UpstreamName) []ProcessID {
	d, _ := find(p.Upstreams, func(x DispatcherPlan) bool { return x.Upstream == name })
	return d.Dispatchers
}

// Table returns the table of a service.
func (p *Plan) Table(service ServiceName) (ServicePlan, bool) {
	return find(p.Services, func(x ServicePlan) bool { return x.Service == service })
}

// Lookup returns the slice that holds a hash.
func (p *Plan) Lookup(service ServiceName, hash uint64) (SliceID, bool) {
	t, ok := p.Table(service)
	if !ok || len(t.Slices) == 0 {
		return SliceID{}, false
	}
	return SliceID{Service: service, Start: t.Slices[t.Index(hash)].Start}, true
}

// Index returns the position of the slice that holds a hash.
func (t *ServicePlan) Index(hash uint64) int {
	return sort.Search(len(t.Slices), func(i int) bool { return t.Slices[i].Start > hash }) - 1
}

// End returns the last hash of the slice at position i.
func (t *ServicePlan) End(i int) uint64 {
	if i+1 < len(t.Slices) {
		return t.Slices[i+1].Start - 1
	}
	return math.MaxUint64
}

// Majority returns how many of n make a majority.
func Majority(n int) int { return n/2 + 1 }

// Blocked reports whether the members for which out holds leave too few
// others for a majority of list. An empty list is never blocked.
func Blocked(list []ProcessID, out func(ProcessID) bool) bool {
	left := 0
	for _, id := range list {
		if !out(id) {
			left++
		}
	}
	return len(list) > 0 && left < Majority(len(list))
}

// Withdrawn is the set of rights that no longer hold within one epoch.
type Withdrawn struct {
	Processes []ProcessID
	Upstreams []UpstreamName
}

// HasProcess reports whether a process's rights are withdrawn.
func (w *Withdrawn) HasProcess(id ProcessID) bool { return slices.Contains(w.Processes, id) }

// HasUpstream reports whether an upstream's rights are withdrawn.
func (w *Withdrawn) HasUpstream(name UpstreamName) bool { return slices.Contains(w.Upstreams, name) }

// Dispatcher returns the first dispatcher of an upstream that is not
// withdrawn, and its place in the list.
func (p *Plan) Dispatcher(name UpstreamName, w *Withdrawn) (ProcessID, int, bool) {
	for i, id := range p.Dispatchers(name) {
		if !w.HasProcess(id) {
			return id, i, true
		}
	}
	return "", 0, false
}

// Owner returns the first owner of a slice that is not withdrawn.
func (s *Slice) Owner(w *Withdrawn) (UpstreamName, bool) {
	for _, name := range s.Owners {
		if !w.HasUpstream(name) {
			return name, true
		}
	}
	return "", false
}

// Fence returns the number that a dispatcher at place rank, which took an
// upstream over in this epoch, writes into its grants. It grows with every
// change of dispatcher.
func (p *Plan) Fence(rank int) uint64 { return p.Epoch<<8 | uint64(min(rank, 255)) }

// Validate gathers what is wrong with a plan that came from outside.
func (p *Plan) Validate() error {
	v := &ValidationError{Subject: "plan"}
	if p.Epoch == 0 {
		v.Add("Epoch", "0", "one or more")
	}
	for _, id := range p.Confirmers {
		if _, ok := p.Process(id); !ok {
			v.Add("Confirmers", string(id), "a listed process")
		}
	}
	for _, t := range p.Services {
		if len(t.Slices) > 0 && t.Slices[0].Start != 0 {
			v.Add("Services", string(t.Service), "a table whose first slice starts at zero")
		}
		if !slices.IsSortedFunc(t.Slices, func(a, b Slice) int {
			if a.Start < b.Start {
				return -1
			}
			return 1
		}) {
			v.Add("Services", string(t.Service), "slices sorted by Start, each once")
		}
	}
	return v.Err()
}
