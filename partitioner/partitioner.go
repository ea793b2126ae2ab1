// Package partitioner decides which upstream should hold which keys. It is
// pure: it plans moves from the given holdings, loads and upstreams.
//
// Keys without a holder are spread over the upstreams by capacity. A move
// disturbs requests, so keys with a holder move only to relieve an overloaded
// upstream or to fill a new one, in narrow ranges that have the excess load: a
// hot range is split down to single keys and cold keys stay where they are.
//
// # Usage
//
//	moves := partitioner.Plan(partitioner.Input{...})
package partitioner

import (
	"cmp"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	// baseLoadFraction is the load assumed for all keys together, beside the
	// measured one, as a fraction of the total capacity. It spreads keys that
	// have not been requested yet.
	baseLoadFraction = 0.05
	// overloadUtilization is the utilization up to which an upstream never
	// counts as overloaded while any load is measured, and up to which it takes
	// load from one that does: up to the mean, most would have no room for a key.
	overloadUtilization = 0.6
	// overloadMargin is how far above the mean utilization an upstream must be
	// to count as overloaded.
	overloadMargin = 0.15
	// minBalanceMoves, and a part of the upstreams if that is more, bound the ranges that
	// move for balance in one plan. Hot keys of many upstreams need many holders.
	minBalanceMoves   = 24
	balanceMovesShare = 0.3
	// idleOverloadRatio is the ratio to the mean utilization above which keys
	// move from an upstream while no load is measured, when a move delays no
	// request.
	idleOverloadRatio = 1.15
	// minMoveLoad is the least load in requests a second that justifies a move.
	minMoveLoad = 0.4
	// joinFraction is the fraction of its fair share of the keys, and of the
	// mean utilization, below which an upstream counts as new.
	joinFraction = 0.1
)

// Holding is a range of keys with its present holder.
type Holding struct {
	pimento.KeyRange
	Holder pimento.Run // zero: none
	// Movable means that the range may go to another upstream now.
	Movable bool
	// Orphan means that the holder cannot keep the range.
	Orphan bool
}

// Upstream is one that may hold keys.
type Upstream struct {
	pimento.Run
	Capacity float64 // requests a second that it can handle now
}

// Input is what a plan is made from.
type Input struct {
	Holdings  []Holding // sorted, covering all keys
	Upstreams []Upstream
	Loads     map[pimento.Key]float64 // requests a second
	// Balance allows moves of keys whose holder can keep them.
	Balance bool
}

// Reason says why keys go to another holder.
type Reason string

// The reasons.
const (
	ReasonOrphan  Reason = "Orphan"  // the holder cannot keep them, or there was none
	ReasonBalance Reason = "Balance" // the holder has too much load
	ReasonJoin    Reason = "Join"    // the new holder has almost no keys
	ReasonMerge   Reason = "Merge"   // the new holder has neighbouring keys
)

// Move assigns a range of keys to another holder.
type Move struct {
	pimento.KeyRange
	Holder pimento.Run
	Reason Reason
}

// upstreamLoad is an upstream with its load and keys as planned so far.
type upstreamLoad struct {
	Upstream
	load     float64
	keyCount int
	movable  []pimento.KeyRange
}

func (u *upstreamLoad) utilization() float64 { return u.load / u.Capacity }

// planner holds the state of one call of Plan.
type planner struct {
	in          Input
	loadedKeys  []pimento.Key // with measured load, sorted
	keyLoads    []float64     // of loadedKeys
	baseKeyLoad float64       // load assumed for each key beside the measured one
	upstreams   []*upstreamLoad
	moves       []Move
}

// Plan returns the moves of keys that need another holder, followed by those
// for balance.
func Plan(in Input) []Move {
	p := &planner{in: in}
	for _, u := range in.Upstreams {
		if u.Capacity > 0 {
			p.upstreams = append(p.upstreams, &upstreamLoad{Upstream: u})
		}
	}
	if len(p.upstreams) == 0 {
		return nil
	}
	slices.SortFunc(p.upstreams, func(a, b *upstreamLoad) int { return cmp.Compare(a.Upstream.Run.Upstream, b.Upstream.Run.Upstream) })
	p.prepareLoads()
	orphans := p.addHoldings()
	p.assignOrphans(orphans)
	if in.Balance {
		p.balance()
		p.merge()
	}
	return p.moves
}

// prepareLoads sorts the measured loads by key and sets the base load of a key.
func (p *planner) prepareLoads() {
	for k := range p.in.Loads {
		p.loadedKeys = append(p.loadedKeys, k)
	}
	slices.Sort(p.loadedKeys)
	totalCapacity, maxCapacity := 0.0, 0.0
	for _, u := range p.upstreams {
		totalCapacity += u.Capacity
		maxCapacity = max(maxCapacity, u.Capacity)
	}
	for _, k := range p.loadedKeys {
		// Load of one key beyond the largest capacity cannot be balanced.
		p.keyLoads = append(p.keyLoads, min(p.in.Loads[k], maxCapacity))
	}
	p.baseKeyLoad = baseLoadFraction * totalCapacity / float64(pimento.AllKeys.Len())
}

// rangeLoad returns the load of a range, base load included.
func (p *planner) rangeLoad(r pimento.KeyRange) float64 {
	sum := p.baseKeyLoad * float64(r.Len())
	i, _ := slices.BinarySearch(p.loadedKeys, r.From)
	for ; i < len(p.loadedKeys) && p.loadedKeys[i] <= r.To; i++ {
		sum += p.keyLoads[i]
	}
	return sum
}

func (p *planner) upstream(run pimento.Run) *upstreamLoad {
	i := slices.IndexFunc(p.upstreams, func(u *upstreamLoad) bool { return u.Run.Same(run) })
	if i < 0 {
		return nil
	}
	return p.upstreams[i]
}

// addHoldings adds up what each upstream holds and returns the movable ranges
// that need another holder.
func (p *planner) addHoldings() []pimento.KeyRange {
	var orphans []pimento.KeyRange
	for _, h := range p.in.Holdings {
		u := p.upstream(h.Holder)
		if h.Orphan || u == nil {
			if h.Movable {
				orphans = append(orphans, h.KeyRange)
			}
			continue
		}
		u.load += p.rangeLoad(h.KeyRange)
		u.keyCount += h.Len()
		if h.Movable {
			u.movable = append(u.movable, h.KeyRange)
		}
	}
	return orphans
}

// meanUtilization returns the utilization that upstreams would have if they
// shared their load and the extra load evenly.
func meanUtilization(list []*upstreamLoad, extra float64) float64 {
	load, capacity := extra, 0.0
	for _, u := range list {
		load += u.load
		capacity += u.Capacity
	}
	return load / capacity
}

// assignOrphans assigns ranges without a holder. Each goes to the upstream
// that is furthest below the mean utilization in load; what would lift that
// one above the mean is split off and assigned next.
func (p *planner) assignOrphans(orphans []pimento.KeyRange) {
	extra := 0.0
	for _, r := range orphans {
		extra += p.rangeLoad(r)
	}
	mean := meanUtilization(p.upstreams, extra)
	for _, r := range orphans {
		for {
			to := slices.MaxFunc(p.upstreams, func(a, b *upstreamLoad) int {
				return cmp.Compare(mean*a.Capacity-a.load, mean*b.Capacity-b.load)
			})
			head, rest, more := p.split(r, mean*to.Capacity-to.load)
			to.load += p.rangeLoad(head)
			to.keyCount += head.Len()
			p.moves = append(p.moves, Move{KeyRange: head, Holder: to.Run, Reason: ReasonOrphan})
			if !more {
				break
			}
			r = rest
		}
	}
}

// split splits a range after the first keys whose load is at most maxLoad, at
// least one key. It reports whether there is a rest.
func (p *planner) split(r pimento.KeyRange, maxLoad float64) (head, rest pimento.KeyRange, more bool) {
	if !p.maySplit() || p.rangeLoad(r) <= maxLoad*splitTolerance || r.Len() == 1 {
		return r, pimento.KeyRange{}, false
	}
	sum, k := 0.0, r.From
	i, _ := slices.BinarySearch(p.loadedKeys, r.From)
	for {
		keyLoad := p.baseKeyLoad
		if i < len(p.loadedKeys) && p.loadedKeys[i] == k {
			keyLoad += p.keyLoads[i]
			i++
		}
		if k > r.From && sum+keyLoad > maxLoad {
			break
		}
		sum += keyLoad
		if k+1 >= r.To {
			break
		}
		k++
	}
	end := max(k, r.From+1) - 1
	if k == r.From {
		end = r.From
	}
	return pimento.KeyRange{From: r.From, To: end}, pimento.KeyRange{From: end + 1, To: r.To}, true
}

// splitTolerance is the factor by which the load of a range may exceed the
// limit before the range is split.
const splitTolerance = 1.05

// hasJustJoined reports whether an upstream is new: it holds almost no keys
// and has almost no load.
func (p *planner) hasJustJoined(u *upstreamLoad, mean float64) bool {
	capacity := 0.0
	for _, x := range p.upstreams {
		capacity += x.Capacity
	}
	fairKeys := u.Capacity / capacity * float64(pimento.AllKeys.Len())
	return float64(u.keyCount) < joinFraction*fairKeys && u.utilization() < joinFraction*mean
}

// balance moves narrow ranges from the most to the least utilized upstream
// while the first is overloaded or the second is new. An upstream that cannot
// be relieved, such as the holder of a key with more load than any upstream can
// handle, is left out, or it would block the relief of all others.
func (p *planner) balance() {
	list := slices.Clone(p.upstreams)
	orphanMoves := len(p.moves)
	idle := len(p.loadedKeys) == 0
	most := max(minBalanceMoves, int(balanceMovesShare*float64(len(list))))
	for len(list) > 1 && len(p.moves)-orphanMoves < most {
		mean := meanUtilization(list, 0)
		from := slices.MaxFunc(list, func(a, b *upstreamLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
		to := slices.MinFunc(list, func(a, b *upstreamLoad) int { return cmp.Compare(a.utilization(), b.utilization()) })
		overloaded := from.utilization() > max(overloadUtilization, mean+overloadMargin) || idle && from.utilization() > mean*idleOverloadRatio
		joining := p.hasJustJoined(to, mean)
		if !overloaded && !joining {
			return
		}
		target := mean
		if from.utilization() > overloadUtilization {
			target = max(mean, overloadUtilization)
		}
		want, reason := min(from.load-mean*from.Capacity, target*to.Capacity-to.load), ReasonBalance
		if joining {
			want, reason = max(want, mean*to.Capacity/joinParts), ReasonJoin
		}
		if want < minMoveLoad && !joining && !idle || !p.moveLoad(from, to, want, reason) {
			list = slices.DeleteFunc(list, func(u *upstreamLoad) bool { return u == from })
		}
	}
}

// joinParts is the number of parts in which a new upstream gets its share of
// the load.
const joinParts = 3

// moveLoad moves the best range for the wanted load. It reports false if there
// is none or if the target would end up as utilized as the source is now.
func (p *planner) moveLoad(from, to *upstreamLoad, want float64, reason Reason) bool {
	r, i, ok := p.bestRange(from, want)
	if !ok {
		return false
	}
	load := p.rangeLoad(r)
	if (to.load+load)/to.Capacity >= from.utilization() {
		return false
	}
	from.load -= load
	to.load += load
	from.keyCount -= r.Len()
	to.keyCount += r.Len()
	whole := from.movable[i]
	from.movable = slices.Delete(from.movable, i, i+1)
	if whole.From < r.From {
		from.movable = append(from.movable, pimento.KeyRange{From: whole.From, To: r.From - 1})
	}
	if r.To < whole.To {
		from.movable = append(from.movable, pimento.KeyRange{From: r.To + 1, To: whole.To})
	}
	p.moves = append(p.moves, Move{KeyRange: r, Holder: to.Run, Reason: reason})
	return true
}

// bestRange returns the part of a movable range that has at most the wanted
// load, or a single key with less than twice that, and the most load for its
// width, together with the index of the movable range. If there is none, it
// returns the first keys of the widest movable range.
func (p *planner) bestRange(from *upstreamLoad, want float64) (pimento.KeyRange, int, bool) {
	var best pimento.KeyRange
	bestIndex, bestScore := -1, 0.0
	consider := func(r pimento.KeyRange, load float64, index int) {
		score := load * load / float64(r.Len()+scoreWidthOffset)
		if score > bestScore {
			best, bestIndex, bestScore = r, index, score
		}
	}
	maySplit := p.maySplit()
	for n, r := range from.movable {
		i, _ := slices.BinarySearch(p.loadedKeys, r.From)
		lo, sum := i, 0.0
		for hi := i; maySplit && hi < len(p.loadedKeys) && p.loadedKeys[hi] <= r.To; hi++ {
			sum += p.keyLoads[hi]
			for lo < hi && sum > want {
				sum -= p.keyLoads[lo]
				lo++
			}
			if sum <= want || lo == hi && sum < 2*want {
				consider(pimento.KeyRange{From: p.loadedKeys[lo], To: p.loadedKeys[hi]}, sum, n)
			}
		}
		if p.rangeLoad(r) <= want {
			consider(r, p.rangeLoad(r), n)
		}
	}
	if bestIndex < 0 && len(from.movable) > 0 && want > 0 && maySplit {
		return p.splitWidest(from, want)
	}
	return best, bestIndex, bestIndex >= 0
}

// scoreWidthOffset, in keys, is added to the width of a range in its score, so
// that among narrow ranges the load decides and fewer moves are needed.
const scoreWidthOffset = 512

// splitWidest returns the first keys of the widest movable range, up to the
// wanted load, and the index of that range.
func (p *planner) splitWidest(from *upstreamLoad, want float64) (pimento.KeyRange, int, bool) {
	n := 0
	for i, r := range from.movable {
		if r.Len() > from.movable[n].Len() {
			n = i
		}
	}
	head, _, _ := p.split(from.movable[n], want)
	return head, n, true
}
