// Package partitioner decides which upstream should hold which keys. It is
// pure: what is known of keys, load and upstreams comes in, moves go out.
//
// Keys without a holder are spread over the upstreams by what each bears. Keys
// with one move only where that lowers the load of an overloaded upstream by
// more than it disturbs: the narrowest range that carries the excess, so that
// a hot range is split down to single keys and cold keys stay where they are.
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
	// baseLoad is the load that all keys together are counted with beside
	// what was measured, as a part of the capacity. It spreads keys that have
	// not been asked for yet.
	baseLoad = 0.05
	// calmUse is the part of its capacity up to which an upstream is left
	// alone.
	calmUse = 0.6
	// excessUse is how far above the mean use an upstream must be before keys
	// move from it.
	excessUse = 0.15
	// maxMoves bounds the ranges that move for balance in one plan.
	maxMoves = 24
	// idleExcess is how many times the mean use an upstream may have before keys
	// move from it while none is asked for, when a move disturbs nobody.
	idleExcess = 1.15
	// minLoad is the least load in requests a second that is worth a move.
	minLoad = 0.4
	// joinKeys is the part of its share of the keys below which an upstream
	// counts as one that has just joined and takes its part.
	joinKeys = 0.1
)

// Holding is a range of keys as it stands.
type Holding struct {
	pimento.KeyRange
	Holder pimento.Run // zero: nobody
	// Movable means that the range may go to another upstream now.
	Movable bool
	// Orphan means that the holder cannot keep the range.
	Orphan bool
}

// Upstream is one that may hold keys.
type Upstream struct {
	pimento.Run
	Capacity float64 // requests a second that it bears now
}

// Input is what a plan is made from.
type Input struct {
	Holdings  []Holding // sorted, covering all keys
	Upstreams []Upstream
	Loads     map[pimento.Key]float64 // requests a second
	// Balance allows moves of keys that have a good holder.
	Balance bool
}

// Reason says why keys go to another holder.
type Reason string

// The reasons.
const (
	ReasonOrphan  Reason = "Orphan"  // the holder cannot keep them, or there was none
	ReasonBalance Reason = "Balance" // the holder has too much load
	ReasonJoin    Reason = "Join"    // the new holder has next to no keys
)

// Move sends a range of keys to another holder.
type Move struct {
	pimento.KeyRange
	Holder pimento.Run
	Reason Reason
}

// share is an upstream with what it holds.
type share struct {
	Upstream
	load   float64
	keys   int
	pieces []pimento.KeyRange // that may move
}

func (s *share) use() float64 { return s.load / s.Capacity }

// plan is a plan in the making.
type plan struct {
	in     Input
	keys   []pimento.Key // with load, sorted
	loads  []float64     // of keys
	base   float64       // load of each key beside what was measured
	shares []*share
	moves  []Move
}

// Plan returns the ranges that should go to other holders, in the order in
// which they matter.
func Plan(in Input) []Move {
	p := &plan{in: in}
	for _, u := range in.Upstreams {
		if u.Capacity > 0 {
			p.shares = append(p.shares, &share{Upstream: u})
		}
	}
	if len(p.shares) == 0 {
		return nil
	}
	slices.SortFunc(p.shares, func(a, b *share) int { return cmp.Compare(a.Upstream.Run.Upstream, b.Upstream.Run.Upstream) })
	p.weigh()
	orphans := p.hold()
	p.place(orphans)
	if in.Balance {
		p.balance()
	}
	return p.moves
}

// weigh sorts the measured loads and works out that of a key without any.
func (p *plan) weigh() {
	for k := range p.in.Loads {
		p.keys = append(p.keys, k)
	}
	slices.Sort(p.keys)
	total, most := 0.0, 0.0
	for _, s := range p.shares {
		total += s.Capacity
		most = max(most, s.Capacity)
	}
	for _, k := range p.keys {
		// What no upstream bears cannot be shared out.
		p.loads = append(p.loads, min(p.in.Loads[k], most))
	}
	p.base = baseLoad * total / float64(pimento.AllKeys.Len())
}

// load returns the load of a range.
func (p *plan) load(r pimento.KeyRange) float64 {
	sum := p.base * float64(r.Len())
	i, _ := slices.BinarySearch(p.keys, r.From)
	for ; i < len(p.keys) && p.keys[i] <= r.To; i++ {
		sum += p.loads[i]
	}
	return sum
}

func (p *plan) share(r pimento.Run) *share {
	i := slices.IndexFunc(p.shares, func(s *share) bool { return s.Run.Same(r) })
	if i < 0 {
		return nil
	}
	return p.shares[i]
}

// hold counts what each upstream holds and returns the ranges that need
// another holder.
func (p *plan) hold() []pimento.KeyRange {
	var orphans []pimento.KeyRange
	for _, h := range p.in.Holdings {
		s := p.share(h.Holder)
		if h.Orphan || s == nil {
			if h.Movable {
				orphans = append(orphans, h.KeyRange)
			}
			continue
		}
		s.load += p.load(h.KeyRange)
		s.keys += h.Len()
		if h.Movable {
			s.pieces = append(s.pieces, h.KeyRange)
		}
	}
	return orphans
}

// mean returns the use that upstreams would have if they shared evenly what
// they hold and the extra load.
func mean(list []*share, extra float64) float64 {
	load, capacity := extra, 0.0
	for _, s := range list {
		load += s.load
		capacity += s.Capacity
	}
	return load / capacity
}

// place deals out ranges without a holder: each goes to the upstream that
// lacks most, as far as it lacks.
func (p *plan) place(orphans []pimento.KeyRange) {
	extra := 0.0
	for _, r := range orphans {
		extra += p.load(r)
	}
	mean := mean(p.shares, extra)
	for _, r := range orphans {
		for {
			to := slices.MaxFunc(p.shares, func(a, b *share) int {
				return cmp.Compare(mean*a.Capacity-a.load, mean*b.Capacity-b.load)
			})
			piece, rest, more := p.cut(r, mean*to.Capacity-to.load)
			to.load += p.load(piece)
			to.keys += piece.Len()
			p.moves = append(p.moves, Move{KeyRange: piece, Holder: to.Run, Reason: ReasonOrphan})
			if !more {
				break
			}
			r = rest
		}
	}
}

// cut splits a range after the keys that carry at most the given load, at
// least one.
func (p *plan) cut(r pimento.KeyRange, load float64) (piece, rest pimento.KeyRange, more bool) {
	if p.load(r) <= load*cutSlack || r.Len() == 1 {
		return r, pimento.KeyRange{}, false
	}
	sum, k := 0.0, r.From
	i, _ := slices.BinarySearch(p.keys, r.From)
	for {
		step := p.base
		if i < len(p.keys) && p.keys[i] == k {
			step += p.loads[i]
			i++
		}
		if k > r.From && sum+step > load {
			break
		}
		sum += step
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

// cutSlack is how much more than it lacks an upstream takes before a range is
// cut for it.
const cutSlack = 1.05

// joins reports whether an upstream has just joined, so that it holds next to
// no keys and carries next to no load.
func (p *plan) joins(s *share, mean float64) bool {
	capacity := 0.0
	for _, x := range p.shares {
		capacity += x.Capacity
	}
	fair := s.Capacity / capacity * float64(pimento.AllKeys.Len())
	return float64(s.keys) < joinKeys*fair && s.use() < joinKeys*mean
}

// balance moves narrow ranges from upstreams with too much load to those with
// the least. One that cannot be relieved, such as the holder of a key that is
// more than any upstream bears, is left out, so that it holds up no other.
func (p *plan) balance() {
	list := slices.Clone(p.shares)
	before := len(p.moves)
	idle := len(p.keys) == 0
	for len(list) > 1 && len(p.moves)-before < maxMoves {
		mean := mean(list, 0)
		from := slices.MaxFunc(list, func(a, b *share) int { return cmp.Compare(a.use(), b.use()) })
		to := slices.MinFunc(list, func(a, b *share) int { return cmp.Compare(a.use(), b.use()) })
		over := from.use() > max(calmUse, mean+excessUse) || idle && from.use() > mean*idleExcess
		joins := p.joins(to, mean)
		if !over && !joins {
			return
		}
		want, reason := min(from.load-mean*from.Capacity, mean*to.Capacity-to.load), ReasonBalance
		if joins {
			want, reason = max(want, mean*to.Capacity/joinParts), ReasonJoin
		}
		if want < minLoad && !joins && !idle || !p.shift(from, to, want, reason) {
			list = slices.DeleteFunc(list, func(s *share) bool { return s == from })
		}
	}
}

// joinParts is in how many parts an upstream that joins is given its keys.
const joinParts = 3

// shift moves the narrowest range that carries about the wanted load, and
// reports whether there is one.
func (p *plan) shift(from, to *share, want float64, reason Reason) bool {
	r, i, ok := p.narrowest(from, want)
	if !ok {
		return false
	}
	load := p.load(r)
	if (to.load+load)/to.Capacity >= from.use() {
		return false
	}
	from.load -= load
	to.load += load
	from.keys -= r.Len()
	to.keys += r.Len()
	piece := from.pieces[i]
	from.pieces = slices.Delete(from.pieces, i, i+1)
	if piece.From < r.From {
		from.pieces = append(from.pieces, pimento.KeyRange{From: piece.From, To: r.From - 1})
	}
	if r.To < piece.To {
		from.pieces = append(from.pieces, pimento.KeyRange{From: r.To + 1, To: piece.To})
	}
	p.moves = append(p.moves, Move{KeyRange: r, Holder: to.Run, Reason: reason})
	return true
}

// narrowest returns the range within one piece of an upstream that carries at
// most the wanted load, by the most load for each key. Where even the least
// key carries more, that key is returned.
func (p *plan) narrowest(from *share, want float64) (pimento.KeyRange, int, bool) {
	var best pimento.KeyRange
	bestPiece, bestScore := -1, 0.0
	consider := func(r pimento.KeyRange, load float64, piece int) {
		score := load * load / float64(r.Len()+narrowKeys)
		if score > bestScore {
			best, bestPiece, bestScore = r, piece, score
		}
	}
	for n, piece := range from.pieces {
		i, _ := slices.BinarySearch(p.keys, piece.From)
		lo, sum := i, 0.0
		for hi := i; hi < len(p.keys) && p.keys[hi] <= piece.To; hi++ {
			sum += p.loads[hi]
			for lo < hi && sum > want {
				sum -= p.loads[lo]
				lo++
			}
			if sum <= want || lo == hi && sum < 2*want {
				consider(pimento.KeyRange{From: p.keys[lo], To: p.keys[hi]}, sum, n)
			}
		}
		if p.load(piece) <= want {
			consider(piece, p.load(piece), n)
		}
	}
	if bestPiece < 0 && len(from.pieces) > 0 && want > 0 {
		return p.part(from, want)
	}
	return best, bestPiece, bestPiece >= 0
}

// narrowKeys weighs the width of a range against the load that it carries.
const narrowKeys = 512

// part cuts a range without measured load from the widest piece.
func (p *plan) part(from *share, want float64) (pimento.KeyRange, int, bool) {
	n := 0
	for i, r := range from.pieces {
		if r.Len() > from.pieces[n].Len() {
			n = i
		}
	}
	piece, _, _ := p.cut(from.pieces[n], want)
	return piece, n, true
}
