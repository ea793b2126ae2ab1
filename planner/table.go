package planner

import (
	"math"
	"slices"

	"pimentorelay.example/pimento"
)

// share is what one upstream bears and could bear.
type share struct {
	server   pimento.Server
	domain   pimento.DomainName
	capacity float64
	bears    float64 // part of the capacity that it bears now, at most 1
	weight   float64
}

// takes reports whether an upstream may be given more weight now. One that is
// cold takes no more than its part of the mean.
func (s *share) takes(extra, mean float64) bool {
	return s.bears >= 1 || s.over(extra) <= mean*s.bears
}

// over returns the weight of a share relative to its capacity.
func (s *share) over(extra float64) float64 { return (s.weight + extra) / s.capacity }

// builder works out the table of one service.
type builder struct {
	in      Input
	service pimento.Service
	shares  []*share
	slices  []pimento.Slice
	orphans []*pimento.Slice
}

// table returns the next table of a service.
func table(in Input, service pimento.Service) pimento.ServicePlan {
	b := &builder{in: in, service: service}
	b.slices = startSlices(in, service)
	b.addShares()
	if len(b.shares) > 0 {
		b.keepOwners()
		b.placeOrphans()
		b.balance()
		b.addStandbys()
	}
	return pimento.ServicePlan{Service: service.Name, Slices: b.slices}
}

// startSlices copies the prior table, or cuts the hash space evenly.
func startSlices(in Input, service pimento.Service) []pimento.Slice {
	if t, ok := in.Prior.Table(service.Name); ok && len(t.Slices) > 0 {
		out := make([]pimento.Slice, len(t.Slices))
		for i, s := range t.Slices {
			out[i] = pimento.Slice{Start: s.Start, Owners: slices.Clone(s.Owners)}
		}
		return out
	}
	n := uint64(slicesUnkeyed)
	if service.Sharing == pimento.SharingKeyed {
		n = slicesKeyed
	}
	out := make([]pimento.Slice, n)
	for i := range out {
		out[i].Start = uint64(i) * (math.MaxUint64/n + 1)
	}
	return out
}

// addShares finds the upstreams that may own slices.
func (b *builder) addShares() {
	for _, s := range b.in.Config.ServersOf(b.service.Name) {
		r, known := b.in.Reports[s.Name]
		if !b.in.Config.Eligible(s) || b.isLost(s.Name) {
			continue
		}
		bears := 1.0
		if known && r.Condition == pimento.ConditionCold {
			bears = float64(max(1, min(r.Limit, s.Slots))) / float64(s.Slots)
		}
		b.shares = append(b.shares, &share{server: s, domain: b.in.Config.DomainOf(s), capacity: float64(s.Slots), bears: bears})
	}
}

func (b *builder) weight(s *pimento.Slice) float64 {
	return baseWeight + b.in.Loads[pimento.SliceID{Service: b.service.Name, Start: s.Start}]
}

func (b *builder) share(name pimento.UpstreamName) *share {
	i := slices.IndexFunc(b.shares, func(x *share) bool { return x.server.Name == name })
	if i < 0 {
		return nil
	}
	return b.shares[i]
}

// keepOwners drops owners that may not have the slice. The owner of a slice
// whose owner was lost is the first that is left, since it stands by and may
// have taken over already. Slices whose owner goes by plan become orphans.
func (b *builder) keepOwners() {
	for i := range b.slices {
		s := &b.slices[i]
		planned := len(s.Owners) > 0 && b.share(s.Owners[0]) == nil && !b.isLost(s.Owners[0])
		s.Owners = slices.DeleteFunc(s.Owners, func(name pimento.UpstreamName) bool { return b.share(name) == nil })
		if planned || len(s.Owners) == 0 {
			b.orphans = append(b.orphans, s)
			continue
		}
		b.give(s, b.share(s.Owners[0]))
	}
}

func (b *builder) isLost(name pimento.UpstreamName) bool {
	r, known := b.in.Reports[name]
	return known && r.Condition == pimento.ConditionLost
}

func (b *builder) give(s *pimento.Slice, to *share) {
	to.weight += b.weight(s)
}

// placeOrphans gives each orphan to the least loaded of its standbys, or of
// all upstreams where the standbys would bear more than their share.
func (b *builder) placeOrphans() {
	total, capacity := 0.0, 0.0
	for i := range b.slices {
		total += b.weight(&b.slices[i])
	}
	for _, x := range b.shares {
		capacity += x.capacity
	}
	for _, s := range b.orphans {
		w := b.weight(s)
		cost := func(x *share) (float64, bool) { return x.over(w), slices.Contains(s.Owners, x.server.Name) }
		to, ok := least(b.shares, cost)
		if !ok || to.over(w) > total/capacity {
			to, _ = least(b.shares, func(x *share) (float64, bool) { return x.over(w), true })
		}
		s.Owners = append([]pimento.UpstreamName{to.server.Name}, without(s.Owners, to.server.Name)...)
		b.give(s, to)
	}
}

// balance moves a few slices from the most to the least loaded upstream.
func (b *builder) balance() {
	if !b.in.Balance {
		return
	}
	for range movesPerPlan {
		mean := b.mean()
		from, _ := least(b.shares, func(x *share) (float64, bool) { return -x.over(0), true })
		idle, ok := least(b.shares, func(x *share) (float64, bool) { return x.over(0), x.takes(baseWeight, mean) })
		uneven := from.over(0) > mean*maxShare || ok && idle.over(0) < mean*minShare
		if !uneven || !b.moveOne(from, mean) {
			return
		}
	}
}

// mean returns the weight per capacity over all shares.
func (b *builder) mean() float64 {
	weight, capacity := 0.0, 0.0
	for _, x := range b.shares {
		weight += x.weight
		capacity += x.capacity
	}
	return weight / capacity
}

// moveOne moves the slice that brings source and target closest together, if
// any move lowers the higher of the two.
func (b *builder) moveOne(from *share, mean float64) bool {
	to, _ := least(b.shares, func(x *share) (float64, bool) { return x.over(0), x != from && x.takes(baseWeight, mean) })
	if to == nil {
		return false
	}
	best, ok := least(b.slices, func(s pimento.Slice) (float64, bool) {
		w := b.weight(&s)
		peak := max(from.over(-w), to.over(w))
		return peak, s.Owners[0] == from.server.Name && peak < from.over(0) && to.takes(w, mean)
	})
	if !ok {
		return false
	}
	i := slices.IndexFunc(b.slices, func(s pimento.Slice) bool { return s.Start == best.Start })
	w := b.weight(&b.slices[i])
	from.weight -= w
	to.weight += w
	b.slices[i].Owners = append([]pimento.UpstreamName{to.server.Name}, without(b.slices[i].Owners, to.server.Name)...)
	return true
}

func without(list []pimento.UpstreamName, name pimento.UpstreamName) []pimento.UpstreamName {
	return slices.DeleteFunc(slices.Clone(list), func(x pimento.UpstreamName) bool { return x == name })
}

// addStandbys fills the owners up, each in a failure domain of its own where
// possible. Standbys of before are kept.
func (b *builder) addStandbys() {
	pending := make(map[pimento.UpstreamName]int)
	for i := range b.slices {
		s := &b.slices[i]
		s.Owners = s.Owners[:min(len(s.Owners), 1+standbys)]
		for len(s.Owners) <= standbys {
			next, ok := least(b.shares, func(x *share) (int, bool) {
				return b.overlap(s, x)*1000 + pending[x.server.Name], !slices.Contains(s.Owners, x.server.Name)
			})
			if !ok {
				break
			}
			s.Owners = append(s.Owners, next.server.Name)
			pending[next.server.Name]++
		}
	}
}

// overlap counts the owners of a slice in the failure domain of a share.
func (b *builder) overlap(s *pimento.Slice, x *share) int {
	n := 0
	for _, name := range s.Owners {
		if owner := b.share(name); owner != nil && owner.domain == x.domain {
			n++
		}
	}
	return n
}
