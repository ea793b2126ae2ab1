// Package appointer decides which processes dispatch which pools. It is pure.
//
// Each pool has a preference list: its dispatcher, then the backups. A pool
// keeps its dispatcher as long as that is active, and the first backup succeeds
// it, since that one already knows the keys. The processes of a list are spread
// over failure domains, and pools over processes.
//
// # Usage
//
//	pools := appointer.PreferenceLists(prior, sizes, members)
package appointer

import (
	"cmp"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	// poolSize is the most upstreams that one pool should have.
	poolSize = 24
	// listLength is the number of processes in a preference list.
	listLength = 3
)

// ServiceSize is a service with the number of its upstreams.
type ServiceSize struct {
	Service   pimento.ServiceName
	Upstreams int // zero: none, or none is known yet
}

// PreferenceLists returns the pools with their preference lists. A list is shorter
// than listLength only if too few members are active.
func PreferenceLists(prior []pimento.Pool, sizes []ServiceSize, members []pimento.Member) []pimento.Pool {
	b := &builder{dispatched: make(map[pimento.ProcessID]int), prior: prior}
	for _, m := range members {
		if !m.Idle {
			b.active = append(b.active, m)
		}
	}
	for _, s := range sizes {
		for i := range b.poolCount(s) {
			p := pimento.Pool{Service: s.Service, Index: i, PreferenceList: b.activeList(s.Service, i)}
			if len(p.PreferenceList) > 0 {
				b.dispatched[p.PreferenceList[0]]++
			}
			b.pools = append(b.pools, p)
		}
	}
	for i := range b.pools {
		b.extendList(&b.pools[i])
		b.updateGeneration(&b.pools[i])
	}
	return b.pools
}

// builder holds the state of one call of PreferenceLists.
type builder struct {
	prior      []pimento.Pool
	active     []pimento.Member
	dispatched map[pimento.ProcessID]int // number of pools by dispatcher
	pools      []pimento.Pool
}

// poolCount returns how many pools a service has. It keeps a prior number that
// is off by one, except one pool where two are needed, since requests in
// flight still use the prior number. It also keeps that number while no upstream
// is known, as by a new leader.
func (b *builder) poolCount(s ServiceSize) int {
	want := max(1, (s.Upstreams+poolSize-1)/poolSize)
	have := 0
	for _, p := range b.prior {
		if p.Service == s.Service {
			have++
		}
	}
	if have > 0 && s.Upstreams == 0 {
		return have
	}
	if have > 0 && want <= have+1 && want >= have-1 && (have > 1 || want == 1) {
		return have
	}
	return want
}

func (b *builder) activeMember(id pimento.ProcessID) (pimento.Member, bool) {
	i := slices.IndexFunc(b.active, func(m pimento.Member) bool { return m.ID == id })
	if i < 0 {
		return pimento.Member{}, false
	}
	return b.active[i], true
}

// activeList returns the active processes of a pool's prior list.
func (b *builder) activeList(service pimento.ServiceName, index int) []pimento.ProcessID {
	for _, p := range b.prior {
		if p.Service != service || p.Index != index {
			continue
		}
		var list []pimento.ProcessID
		for _, id := range p.PreferenceList {
			if _, ok := b.activeMember(id); ok {
				list = append(list, id)
			}
		}
		return list
	}
	return nil
}

// updateGeneration increments the generation of a list that has changed.
// NearSince keeps the generation since when each of the first two has been among
// them.
func (b *builder) updateGeneration(p *pimento.Pool) {
	var old pimento.Pool
	for _, other := range b.prior {
		if other.Service == p.Service && other.Index == p.Index {
			old = other
		}
	}
	p.Generation, p.NearSince = old.Generation, old.NearSince
	if slices.Equal(p.PreferenceList, old.PreferenceList) {
		return
	}
	p.Generation++
	for i := range p.NearSince {
		p.NearSince[i] = p.Generation
		if i >= len(p.PreferenceList) {
			continue
		}
		if k := slices.Index(old.PreferenceList, p.PreferenceList[i]); k >= 0 && k < len(old.NearSince) {
			p.NearSince[i] = old.NearSince[k]
		}
	}
}

// extendList appends processes up to listLength: those of failure domains that
// are not in the list first, and among these the ones with the fewest pools.
func (b *builder) extendList(p *pimento.Pool) {
	first := len(p.PreferenceList) == 0
	for len(p.PreferenceList) < listLength {
		next, ok := b.bestMember(p.PreferenceList, first)
		if !ok {
			return
		}
		p.PreferenceList = append(p.PreferenceList, next.ID)
		if first {
			b.dispatched[next.ID]++
			first = false
		}
	}
}

func (b *builder) bestMember(list []pimento.ProcessID, first bool) (pimento.Member, bool) {
	cost := func(m pimento.Member) int {
		c := b.dispatched[m.ID]
		if first {
			c *= 2
		}
		for _, id := range list {
			if other, ok := b.activeMember(id); ok && other.Domain == m.Domain {
				c += sameDomainCost
			}
		}
		return c
	}
	var candidates []pimento.Member
	for _, m := range b.active {
		if !slices.Contains(list, m.ID) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return pimento.Member{}, false
	}
	return slices.MinFunc(candidates, func(x, y pimento.Member) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(x.Host, y.Host))
	}), true
}

// sameDomainCost is how many more pools a process may dispatch before one from
// a failure domain that is already in the list is preferred to it.
const sameDomainCost = 1000
