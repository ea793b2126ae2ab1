package pimento

import (
	"slices"
	"sort"
	"time"
)

// Assignment is the one entry of the store that holds all decisions: who
// leads, which processes dispatch, and which upstream holds which keys. Every
// change is one conditional write.
type Assignment struct {
	Term    Term
	Members []Member
	Pools   []Pool
	Tables  []Table
	// NextFence is above every fence that was ever written.
	NextFence uint64
	// Write names the write that made this state, so that its writer can tell
	// whether a write without an answer took effect.
	Write string
}

// Member is a process of the system.
type Member struct {
	Process
	// Idle members get no dispatching: they are silent or about to leave.
	Idle bool
}

// Pool is a part of a service's upstreams that one process dispatches. Line
// names it and, after it, those that stand in for it. An upstream belongs to
// the pool of its service at place PoolOf(name, pools of the service).
type Pool struct {
	Service ServiceName
	Index   int
	Line    []ProcessID
	// Round counts the changes of the line.
	Round uint64
	// Near is, for the first two in line, the round since when each has been
	// one of the first two.
	Near [2]uint64
}

// Table says which upstreams hold the keys of a service. Its holdings are
// sorted and cover all keys.
type Table struct {
	Service  ServiceName
	Holdings []Holding
}

// Run is one life of an upstream, from a start to its end.
type Run struct {
	Upstream UpstreamName
	Started  time.Time
}

// IsZero reports whether the run names no upstream.
func (r Run) IsZero() bool { return r.Upstream == "" }

// Same reports whether two runs are one.
func (r Run) Same(o Run) bool { return r.Upstream == o.Upstream && r.Started.Equal(o.Started) }

// Holding is a range of keys that a run of an upstream holds, or is to hold
// once Former holds it no more.
type Holding struct {
	KeyRange
	Fence  uint64
	Holder Run // zero: nobody
	Former Run // zero: nobody else can hold the keys
}

// Clone returns a copy whose lists can be changed.
func (a *Assignment) Clone() Assignment {
	out := *a
	out.Term.Confirmers = slices.Clone(a.Term.Confirmers)
	out.Term.Prior = slices.Clone(a.Term.Prior)
	out.Members = slices.Clone(a.Members)
	out.Pools = slices.Clone(a.Pools)
	out.Tables = make([]Table, len(a.Tables))
	for i, t := range a.Tables {
		out.Tables[i] = Table{Service: t.Service, Holdings: slices.Clone(t.Holdings)}
	}
	return out
}

// Member returns the member with an ID.
func (a *Assignment) Member(id ProcessID) (Member, bool) {
	return find(a.Members, func(m Member) bool { return m.ID == id })
}

// Table returns the table of a service, or nil.
func (a *Assignment) Table(service ServiceName) *Table {
	i := slices.IndexFunc(a.Tables, func(t Table) bool { return t.Service == service })
	if i < 0 {
		return nil
	}
	return &a.Tables[i]
}

// PoolsOf returns the pools of a service in their order.
func (a *Assignment) PoolsOf(service ServiceName) []Pool {
	var out []Pool
	for _, p := range a.Pools {
		if p.Service == service {
			out = append(out, p)
		}
	}
	return out
}

// Index returns the position of the holding with a key. The table must cover
// all keys.
func (t *Table) Index(k Key) int {
	return sort.Search(len(t.Holdings), func(i int) bool { return t.Holdings[i].From > k }) - 1
}

// PoolOf returns the place of an upstream's pool among count pools.
func PoolOf(name UpstreamName, count int) int {
	if count <= 1 {
		return 0
	}
	return int(KeyOf(string(name))) % count
}

// Validate gathers what is wrong with an assignment that came from outside.
func (a *Assignment) Validate() error {
	v := &ValidationError{Subject: "assignment"}
	if a.Term.Epoch == 0 {
		v.Add("Epoch", "0", "one or more")
	}
	for _, id := range a.Term.Confirmers {
		if _, ok := a.Member(id); !ok {
			v.Add("Confirmers", string(id), "a member")
		}
	}
	for _, t := range a.Tables {
		next := 0
		for _, h := range t.Holdings {
			if int(h.From) != next || h.To < h.From {
				v.Add("Holdings", string(t.Service)+" "+h.KeyRange.String(), "ranges that cover all keys once, in order")
			}
			if h.Fence >= a.NextFence {
				v.Add("Fence", h.KeyRange.String(), "below NextFence")
			}
			next = int(h.To) + 1
		}
		if next != int(MaxKey)+1 {
			v.Add("Holdings", string(t.Service), "ranges that cover all keys once, in order")
		}
	}
	return v.Err()
}
