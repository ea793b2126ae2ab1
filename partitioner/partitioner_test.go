package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var started = time.Unix(1_800_000_000, 0)

func run(i int) pimento.Run {
	return pimento.Run{Upstream: pimento.UpstreamName(fmt.Sprintf("u%02d", i)), Started: started}
}

func upstreams(n int, capacity float64) []Upstream {
	var out []Upstream
	for i := range n {
		out = append(out, Upstream{Run: run(i), Capacity: capacity})
	}
	return out
}

// apply returns the table after the moves, with all holdings movable.
func apply(holdings []Holding, moves []Move) []Holding {
	var out []Holding
	for key := 0; key <= int(pimento.MaxKey); {
		k := pimento.Key(key)
		h := find(holdings, k)
		end := h.To
		next := Holding{KeyRange: pimento.KeyRange{From: k, To: end}, Holder: h.Holder, Movable: true}
		for _, m := range moves {
			switch {
			case m.Contains(k):
				next.Holder, next.To = m.Holder, min(next.To, m.To)
			case m.From > k && m.From <= next.To:
				next.To = m.From - 1
			}
		}
		out = append(out, next)
		key = int(next.To) + 1
	}
	return out
}

func find(holdings []Holding, k pimento.Key) Holding {
	for _, h := range holdings {
		if h.Contains(k) {
			return h
		}
	}
	return Holding{}
}

// loadsOf returns the load of each holder.
func loadsOf(holdings []Holding, loads map[pimento.Key]float64) map[pimento.UpstreamName]float64 {
	out := make(map[pimento.UpstreamName]float64)
	for k, l := range loads {
		out[find(holdings, k).Holder.Upstream] += l
	}
	return out
}

func unheld() []Holding { return []Holding{{KeyRange: pimento.AllKeys, Orphan: true, Movable: true}} }

// TestFirstPlan checks that all keys without a holder are assigned, in
// proportion to the capacity of the upstreams.
func TestFirstPlan(t *testing.T) {
	is := is.New(t)
	list := upstreams(4, 20)
	list[3].Capacity = 40
	table := apply(unheld(), Plan(Input{Holdings: unheld(), Upstreams: list}))
	keys := make(map[pimento.UpstreamName]int)
	for _, h := range table {
		is.True(!h.Holder.IsZero())
		keys[h.Holder.Upstream] += h.Len()
	}
	is.Equal(len(keys), 4)
	share := float64(pimento.AllKeys.Len()) / 5
	for _, u := range list {
		want := share * u.Capacity / 20
		is.True(float64(keys[u.Run.Upstream]) > 0.9*want && float64(keys[u.Run.Upstream]) < 1.1*want)
	}
}

// TestHotKeys covers the load pattern where a few neighbouring keys get most of
// the requests: they are spread until no upstream is overloaded, and almost no
// other keys move.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	list := upstreams(8, 20)
	table := apply(unheld(), Plan(Input{Holdings: unheld(), Upstreams: list}))
	loads := make(map[pimento.Key]float64)
	for k := range 40 {
		loads[pimento.Key(1000+k)] = 2 // 80 of 160 requests a second, all at one upstream
	}
	moved := 0
	for range 10 {
		moves := Plan(Input{Holdings: table, Upstreams: list, Loads: loads, Balance: true})
		for _, m := range moves {
			is.Equal(m.Reason, ReasonBalance)
			moved += m.Len()
		}
		table = apply(table, moves)
	}
	for name, load := range loadsOf(table, loads) {
		if load > 20*(0.5+overloadMargin)+2 { // the mean, the tolerated excess, and one key
			t.Errorf("upstream %s has a load of %.0f requests a second, above the limit", name, load)
		}
	}
	is.True(moved < 200)
}

// TestOneHotKey checks that a single key with more load than any upstream can
// handle does not keep moving between upstreams.
func TestOneHotKey(t *testing.T) {
	is := is.New(t)
	list := upstreams(4, 20)
	table := apply(unheld(), Plan(Input{Holdings: unheld(), Upstreams: list}))
	loads := map[pimento.Key]float64{7: 50}
	total := 0
	for range 10 {
		moves := Plan(Input{Holdings: table, Upstreams: list, Loads: loads, Balance: true})
		for _, m := range moves {
			if m.Contains(7) {
				total++
			}
		}
		table = apply(table, moves)
	}
	is.True(total <= 1)
}

// TestKeyAboveCapacityBesideHotKeys covers the load pattern where one key has
// more load than any upstream can handle while other keys are hot too. The
// holder of the first cannot be relieved of it, which must not keep the other
// hot keys, nor the holder's other keys, from being spread.
func TestKeyAboveCapacityBesideHotKeys(t *testing.T) {
	is := is.New(t)
	const overloadedKey = 7
	list := upstreams(8, 20)
	table := apply(unheld(), Plan(Input{Holdings: unheld(), Upstreams: list}))
	loads := map[pimento.Key]float64{overloadedKey: 300}
	for k := range 30 {
		loads[pimento.Key(100+k)] = 0.5   // near the overloaded key
		loads[pimento.Key(40000+k)] = 2.5 // all at another upstream
	}
	for range 10 {
		table = apply(table, Plan(Input{Holdings: table, Upstreams: list, Loads: loads, Balance: true}))
	}
	holder := find(table, overloadedKey).Holder
	for name, load := range loadsOf(table, loads) {
		if name == holder.Upstream {
			is.True(load < 300+20*overloadUtilization) // other load below overloadUtilization
			continue
		}
		// The others have 90 requests a second of a capacity of 140.
		if load > 20*(90.0/140+overloadMargin)+2.5 {
			t.Errorf("upstream %s has a load of %.1f requests a second, above the limit", name, load)
		}
	}
}

// TestPlanProperties checks with random inputs that only movable ranges move,
// each at most once and to a known upstream, and that all movable keys of a lost
// holder get another one in the same plan.
func TestPlanProperties(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(12)
		list := upstreams(n, 5+rng.Float64()*40)
		table := apply(unheld(), Plan(Input{Holdings: unheld(), Upstreams: list}))
		lost := rng.IntN(n)
		loads := make(map[pimento.Key]float64)
		for range rng.IntN(300) {
			loads[pimento.Key(rng.IntN(int(pimento.MaxKey)+1))] += rng.ExpFloat64()
		}
		for i := range table {
			table[i].Orphan = table[i].Holder.Same(run(lost))
			table[i].Movable = rng.IntN(4) > 0
		}
		remaining := append(append([]Upstream(nil), list[:lost]...), list[lost+1:]...)
		moves := Plan(Input{Holdings: table, Upstreams: remaining, Loads: loads, Balance: rng.IntN(2) == 0})
		checkMoves(t, seed, table, remaining, moves)
	}
}

func checkMoves(t *testing.T, seed uint64, table []Holding, remaining []Upstream, moves []Move) {
	t.Helper()
	for i, m := range moves {
		known := false
		for _, u := range remaining {
			known = known || u.Run.Same(m.Holder)
		}
		if !known {
			t.Errorf("seed %d: %v moves to %v, which is not an available upstream", seed, m.KeyRange, m.Holder)
		}
		for _, o := range moves[:i] {
			if o.Overlaps(m.KeyRange) {
				t.Errorf("seed %d: moves of %v and %v overlap", seed, o.KeyRange, m.KeyRange)
			}
		}
		for _, h := range table {
			if h.Overlaps(m.KeyRange) && !h.Movable {
				t.Errorf("seed %d: %v moves but is not movable", seed, h.KeyRange)
			}
		}
	}
	for _, h := range apply(table, moves) {
		if before := find(table, h.From); before.Orphan && before.Movable && h.Holder.Same(before.Holder) {
			t.Errorf("seed %d: %v stays with its lost holder", seed, h.KeyRange)
		}
	}
}
