package leader

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/keeper"
)

// maxJoins bounds the ranges that disappear in one plan. Each joined range is granted anew.
const maxJoins = 64

// joinNeighbors joins ranges of keys that lie side by side and have one holder, under new
// fences. Moves split ranges, and each range is granted by itself.
func (l *Leader) joinNeighbors(now time.Time, in keeper.Input, next *pimento.Assignment) bool {
	joins := 0
	for i := range next.Tables {
		joins += l.joinTable(now, in, next, &next.Tables[i], maxJoins-joins)
	}
	return joins > 0
}

// joinTable joins at most a number of ranges of a table with those before them, and returns
// how many it has joined.
func (l *Leader) joinTable(now time.Time, in keeper.Input, next *pimento.Assignment, table *pimento.Table, most int) int {
	mayJoin := func(h pimento.Holding) bool { return l.keeper.MayJoin(now, in, table.Service, h) }
	joins, joined := 0, false // the last range of out is one that was joined
	out := make([]pimento.Holding, 0, len(table.Holdings))
	for _, h := range table.Holdings {
		n := len(out) - 1
		sameHolder := n >= 0 && !h.Holder.IsZero() && out[n].Holder.Same(h.Holder)
		if !sameHolder || joins == most || !mayJoin(h) || !joined && !mayJoin(out[n]) {
			out, joined = append(out, h), false
			continue
		}
		if !joined {
			out[n].Fence, joined = next.NextFence, true
			next.NextFence++
		}
		out[n].To = h.To
		joins++
	}
	table.Holdings = out
	return joins
}
