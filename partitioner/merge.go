package partitioner

import (
	"cmp"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	// mergeFrom is the number of ranges for each upstream from which on some are merged.
	mergeFrom = 3
	// minMerges, and a part of the upstreams if that is more, bound the ranges that move
	// to the holder of a neighbour in one plan.
	minMerges   = 4
	mergesShare = 0.2
	// maxMergeShare is the most load of such a range, as a part of the capacity of the
	// upstream that takes it.
	maxMergeShare = 0.1
	// minMergeUtilization is the mean utilization below which nothing is merged: where
	// little is asked for, keys come to rest.
	minMergeUtilization = 0.25
	// splitRangesPerUpstream, with splitRangesBase more, is the number of ranges for each
	// upstream from which on none is split: each one is granted by itself, again and
	// again.
	splitRangesPerUpstream = 4
	splitRangesBase        = 64
)

// maySplit reports whether a move may split a range.
func (p *planner) maySplit() bool {
	return len(p.in.Holdings)+len(p.moves) < splitRangesPerUpstream*len(p.upstreams)+splitRangesBase
}

// mergeCandidate is a range that may move to the holder of a neighbour.
type mergeCandidate struct {
	index int // of its holding
	load  float64
	to    *upstreamLoad
}

// merge moves narrow ranges with little load to the holder of a neighbouring range, with
// which the leader can join them. Without this the ranges would grow in number for as long
// as keys move.
func (p *planner) merge() {
	most := min(max(minMerges, int(mergesShare*float64(len(p.upstreams)))), len(p.in.Holdings)-mergeFrom*len(p.upstreams))
	if most <= 0 || meanUtilization(p.upstreams, 0) < minMergeUtilization {
		return
	}
	var list []mergeCandidate
	for i, h := range p.in.Holdings {
		if c, ok := p.mergeCandidate(i, h); ok {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b mergeCandidate) int { return cmp.Compare(a.load, b.load) })
	taken := make(map[int]bool) // holdings that move, and their neighbours
	for _, c := range list {
		if most == 0 {
			return
		}
		if taken[c.index] || !c.to.takes(c.load) {
			continue
		}
		taken[c.index-1], taken[c.index], taken[c.index+1] = true, true, true
		h := p.in.Holdings[c.index]
		p.upstream(h.Holder).load -= c.load
		c.to.load += c.load
		p.moves = append(p.moves, Move{KeyRange: h.KeyRange, Holder: c.to.Run, Reason: ReasonMerge})
		most--
	}
}

// takes reports whether an upstream may take a range of a load to merge it.
func (u *upstreamLoad) takes(load float64) bool {
	return load <= maxMergeShare*u.Capacity && u.load+load <= overloadUtilization*u.Capacity
}

// mergeCandidate returns where a range may go to be merged; false if it stays.
func (p *planner) mergeCandidate(i int, h Holding) (mergeCandidate, bool) {
	narrow := h.Len() <= pimento.AllKeys.Len()/(2*len(p.upstreams))
	if !h.Movable || h.Orphan || !narrow || p.upstream(h.Holder) == nil || p.isMoving(h.KeyRange) {
		return mergeCandidate{}, false
	}
	c := mergeCandidate{index: i, load: p.rangeLoad(h.KeyRange)}
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.in.Holdings) {
			continue
		}
		n := p.in.Holdings[j]
		to := p.upstream(n.Holder)
		if n.Orphan || to == nil || n.Holder.Same(h.Holder) || p.isMoving(n.KeyRange) || !to.takes(c.load) {
			continue
		}
		if c.to == nil || to.utilization() < c.to.utilization() {
			c.to = to
		}
	}
	return c, c.to != nil
}

// isMoving reports whether a part of a range already moves in this plan.
func (p *planner) isMoving(r pimento.KeyRange) bool {
	return slices.ContainsFunc(p.moves, func(m Move) bool { return m.Overlaps(r) })
}
