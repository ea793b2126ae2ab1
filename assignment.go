package pimento

import (
	"slices"
	"sort"
	"time"
)

// Assignment is the single entry of the store that holds all decisions: which
// process leads, which processes dispatch, and which upstream holds which keys.
// Every change is one conditional write.
type Assignment struct {
	Term    Term
	Members []Member
	Pools   []Pool
	Tables  []Table
	// NextFence is greater than every fence that was ever written.
	NextFence uint64
	// WriteID is the ID of the last write, by which its writer finds out whether
	// a write without an answer took effect.
	WriteID string `json:"Write"`
	// Version grows by one with each write of one leader. With the epoch it orders
	// assignments; revisions do so only within one era of the store.
	Version uint64 `json:",omitempty"`
	// Era is that of the store when this was written; zero is the first one. In a store
	// of a later era it is a copy, and later assignments may have been lost.
	Era uint64 `json:",omitempty"`
	// Restored means that the tables come from such a copy: until the grants of all
	// earlier leaders have expired, other upstreams may hold any keys.
	Restored bool `json:",omitempty"`
	// RevokeFence is above all fences that leaders may have given before Restored was set,
	// and below those given since.
	RevokeFence uint64 `json:",omitempty"`
}

const (
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// epochsPerEra and fencesPerEra are the numbers kept for each era of the store,
	// so that those given in lost writes are not given again. Together with the
	// highest era they stay below 2^53, up to which JSON numbers are exact.
	epochsPerEra = 1 << 32
	fencesPerEra = 1 << 40
	// fencesPerEpoch is the same for each term that begins from a copy.
	fencesPerEpoch = 1 << 28
)

// WrittenIn returns the era in which the assignment was written.
func (a *Assignment) WrittenIn() uint64 { return max(a.Era, firstEra) }

// IsNewerThan reports whether a was decided after o.
func (a *Assignment) IsNewerThan(o *Assignment) bool {
	if a.Term.Epoch != o.Term.Epoch {
		return a.Term.Epoch > o.Term.Epoch
	}
	return a.Version > o.Version
}

// EnterEra prepares an assignment for a write in an era of the store: its fences, and
// the epoch of a term that is new in it, are above those of all earlier eras.
func (a *Assignment) EnterEra(era uint64, newTerm bool) {
	if era <= a.WrittenIn() && !newTerm {
		return
	}
	era = max(era, firstEra)
	a.Era = max(a.Era, era)
	if newTerm {
		a.Term.Epoch = max(a.Term.Epoch, (era-firstEra)*epochsPerEra)
	}
	a.NextFence = max(a.NextFence, (era-firstEra)*fencesPerEra)
}

// RestoreFromCopy makes an assignment out of one that may be older than the newest:
// what it says of holders counts only once all grants of earlier leaders have ended.
// Its term must be that of the leader that writes it, and its Era the present one.
func (a *Assignment) RestoreFromCopy() {
	a.Restored = true
	base := (a.WrittenIn() - firstEra) * epochsPerEra
	a.NextFence = max(a.NextFence, (a.WrittenIn()-firstEra)*fencesPerEra+(a.Term.Epoch-min(a.Term.Epoch, base))*fencesPerEpoch)
	a.RevokeFence = a.NextFence
	a.NextFence++
	for i := range a.Tables {
		for j := range a.Tables[i].Holdings {
			h := &a.Tables[i].Holdings[j]
			h.Fence, h.Former = a.NextFence, Run{}
			a.NextFence++
		}
	}
	for i := range a.Pools {
		p := &a.Pools[i]
		p.Generation = max(p.Generation, a.Term.Epoch) + 1
		p.NearSince = [2]uint64{p.Generation, p.Generation}
	}
}

// Member is a process of the relay.
type Member struct {
	Process
	// Idle members get no pools to dispatch: they do not answer or are leaving.
	Idle bool
}

// Pool is a part of a service's upstreams that one process dispatches. An
// upstream belongs to the pool with the Index PoolOf(name, pools of the service).
type Pool struct {
	Service ServiceName
	Index   int
	// PreferenceList is first the dispatcher, then its backups.
	PreferenceList []ProcessID `json:"Line"`
	// Generation grows by one with every change of the list.
	Generation uint64 `json:"Round"`
	// NearSince is, for each of the first two processes, the generation since
	// which it has been one of the first two.
	NearSince [2]uint64 `json:"Near"`
}

// Table assigns the keys of a service to upstreams. Its holdings are sorted and
// cover all keys.
type Table struct {
	Service  ServiceName
	Holdings []Holding
}

// Run is one run of an upstream, from its start to its end.
type Run struct {
	Upstream UpstreamName
	Started  time.Time
}

// IsZero reports whether the run names no upstream.
func (r Run) IsZero() bool { return r.Upstream == "" }

// Same reports whether r and o are the same run.
func (r Run) Same(o Run) bool { return r.Upstream == o.Upstream && r.Started.Equal(o.Started) }

// Holding is a range of keys that a run of an upstream holds, or is to hold
// once Former no longer holds it.
type Holding struct {
	KeyRange
	Fence  uint64
	Holder Run // zero: none
	Former Run // zero: no earlier holder can still hold the keys
}

// Clone returns a copy whose lists can be modified, except for the preference
// lists and the sets in Term.Prior, which it shares with a.
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

// Ranges returns the number of holdings in all tables.
func (a *Assignment) Ranges() int {
	n := 0
	for _, t := range a.Tables {
		n += len(t.Holdings)
	}
	return n
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

// PoolOf returns the index of an upstream's pool among count pools.
func PoolOf(name UpstreamName, count int) int {
	if count <= 1 {
		return 0
	}
	return int(KeyOf(string(name))) % count
}

// Validate returns all errors of an assignment read from the store.
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
