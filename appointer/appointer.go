// Package appointer decides which processes dispatch which pools. It is pure.
//
// A pool keeps its dispatcher as long as that is active, and the one next in
// line follows it, since that one has heard of the keys already. Lines spread
// over failure domains, and pools over processes.
//
// # Usage
//
//	pools := appointer.Lines(prior, sizes, members)
package appointer

import (
	"cmp"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	// poolSize is the most upstreams that one pool should have.
	poolSize = 24
	// lineLength is how many processes stand in a pool's line.
	lineLength = 3
)

// Size is a service with the number of its upstreams.
type Size struct {
	Service   pimento.ServiceName
	Upstreams int
}

// Lines returns the pools with their lines.
func Lines(prior []pimento.Pool, sizes []Size, members []pimento.Member) []pimento.Pool {
	b := &builder{load: make(map[pimento.ProcessID]int), prior: prior}
	for _, m := range members {
		if !m.Idle {
			b.active = append(b.active, m)
		}
	}
	for _, s := range sizes {
		for i := range b.count(s) {
			p := pimento.Pool{Service: s.Service, Index: i, Line: b.survivors(s.Service, i)}
			if len(p.Line) > 0 {
				b.load[p.Line[0]]++
			}
			b.pools = append(b.pools, p)
		}
	}
	for i := range b.pools {
		b.fill(&b.pools[i])
		b.number(&b.pools[i])
	}
	return b.pools
}

// builder is the work on one set of lines.
type builder struct {
	prior  []pimento.Pool
	active []pimento.Member
	load   map[pimento.ProcessID]int // pools that a process dispatches
	pools  []pimento.Pool
}

// count returns how many pools a service has. It changes only where the
// upstreams have outgrown it, since requests under way know the old one.
func (b *builder) count(s Size) int {
	want := max(1, (s.Upstreams+poolSize-1)/poolSize)
	have := 0
	for _, p := range b.prior {
		if p.Service == s.Service {
			have++
		}
	}
	if have > 0 && want <= have+1 && want >= have-1 && (have > 1 || want == 1) {
		return have
	}
	return want
}

func (b *builder) member(id pimento.ProcessID) (pimento.Member, bool) {
	i := slices.IndexFunc(b.active, func(m pimento.Member) bool { return m.ID == id })
	if i < 0 {
		return pimento.Member{}, false
	}
	return b.active[i], true
}

// survivors returns the part of a pool's line that is still active.
func (b *builder) survivors(service pimento.ServiceName, index int) []pimento.ProcessID {
	for _, p := range b.prior {
		if p.Service != service || p.Index != index {
			continue
		}
		var line []pimento.ProcessID
		for _, id := range p.Line {
			if _, ok := b.member(id); ok {
				line = append(line, id)
			}
		}
		return line
	}
	return nil
}

// number counts the round of a line.
func (b *builder) number(p *pimento.Pool) {
	var before pimento.Pool
	for _, o := range b.prior {
		if o.Service == p.Service && o.Index == p.Index {
			before = o
		}
	}
	p.Round, p.Near = before.Round, before.Near
	if slices.Equal(p.Line, before.Line) {
		return
	}
	p.Round++
	for i := range p.Near {
		p.Near[i] = p.Round
		if i >= len(p.Line) {
			continue
		}
		if k := slices.Index(before.Line, p.Line[i]); k >= 0 && k < len(before.Near) {
			p.Near[i] = before.Near[k]
		}
	}
}

// fill appends processes to a line until it is long enough: those in failure
// domains that the line lacks first, then those with the fewest pools.
func (b *builder) fill(p *pimento.Pool) {
	first := len(p.Line) == 0
	for len(p.Line) < lineLength {
		best, ok := b.best(p.Line, first)
		if !ok {
			return
		}
		p.Line = append(p.Line, best.ID)
		if first {
			b.load[best.ID]++
			first = false
		}
	}
}

func (b *builder) best(line []pimento.ProcessID, first bool) (pimento.Member, bool) {
	cost := func(m pimento.Member) int {
		c := b.load[m.ID]
		if first {
			c *= 2
		}
		for _, id := range line {
			if o, ok := b.member(id); ok && o.Domain == m.Domain {
				c += domainCost
			}
		}
		return c
	}
	var able []pimento.Member
	for _, m := range b.active {
		if !slices.Contains(line, m.ID) {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return pimento.Member{}, false
	}
	return slices.MinFunc(able, func(x, y pimento.Member) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(x.Host, y.Host))
	}), true
}

// domainCost is how many pools a process may dispatch before one of a failure
// domain that stands in the line already is taken instead.
const domainCost = 1000
