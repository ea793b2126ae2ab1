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

// apply carries out moves and returns the table as it stands then.
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

// loadsOf sums the loads of the holders.
func loadsOf(holdings []Holding, loads map[pimento.Key]float64) map[pimento.UpstreamName]float64 {
	out := make(map[pimento.UpstreamName]float64)
	for k, l := range loads {
		out[find(holdings, k).Holder.Upstream] += l
	}
	return out
}

func nobody() []Holding { return []Holding{{KeyRange: pimento.AllKeys, Orphan: true, Movable: true}} }

// TestFirstPlan holds that keys without a holder are all given out, in even
// shares, by what each upstream bears.
func TestFirstPlan(t *testing.T) {
	is := is.New(t)
	list := upstreams(4, 20)
	list[3].Capacity = 40
	table := apply(nobody(), Plan(Input{Holdings: nobody(), Upstreams: list}))
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

// TestHotKeys holds the load pattern that a few neighbouring keys take most of
// the requests: they are shared out until no upstream carries more than it
// bears, and next to no other keys move.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	list := upstreams(8, 20)
	table := apply(nobody(), Plan(Input{Holdings: nobody(), Upstreams: list}))
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
		if load > 20*(0.5+excessUse)+2 { // the mean, the excess that is borne, and one key
			t.Errorf("%s carries %.0f", name, load)
		}
	}
	is.True(moved < 200)
}

// TestOneHotKey holds that a single key that is more than one upstream bears is
// not passed round.
func TestOneHotKey(t *testing.T) {
	is := is.New(t)
	list := upstreams(4, 20)
	table := apply(nobody(), Plan(Input{Holdings: nobody(), Upstreams: list}))
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

// TestHopelessKeyBesideHotKeys holds the load pattern that one key gets more
// than any upstream bears while others grow hot too: nothing can be done for the
// first, which must not keep the others from being shared out, nor from the keys
// that its holder has besides.
func TestHopelessKeyBesideHotKeys(t *testing.T) {
	is := is.New(t)
	const hopeless = 7
	list := upstreams(8, 20)
	table := apply(nobody(), Plan(Input{Holdings: nobody(), Upstreams: list}))
	loads := map[pimento.Key]float64{hopeless: 300}
	for k := range 30 {
		loads[pimento.Key(100+k)] = 0.5   // beside the hopeless key
		loads[pimento.Key(40000+k)] = 2.5 // all at another upstream
	}
	for range 10 {
		table = apply(table, Plan(Input{Holdings: table, Upstreams: list, Loads: loads, Balance: true}))
	}
	worst := find(table, hopeless).Holder
	for name, load := range loadsOf(table, loads) {
		if name == worst.Upstream {
			is.True(load < 300+20*calmUse) // next to nothing besides
			continue
		}
		// 90 of the 140 requests a second that the others bear.
		if load > 20*(90.0/140+excessUse)+2.5 {
			t.Errorf("%s carries %.1f", name, load)
		}
	}
}

// TestPlanProperties holds for drawn inputs: nothing moves that may not, no
// range goes to an upstream that is not there, no range moves twice, and keys
// that nobody can hold go on at once.
func TestPlanProperties(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(12)
		list := upstreams(n, 5+rng.Float64()*40)
		table := apply(nobody(), Plan(Input{Holdings: nobody(), Upstreams: list}))
		gone := rng.IntN(n)
		loads := make(map[pimento.Key]float64)
		for range rng.IntN(300) {
			loads[pimento.Key(rng.IntN(int(pimento.MaxKey)+1))] += rng.ExpFloat64()
		}
		for i := range table {
			table[i].Orphan = table[i].Holder.Same(run(gone))
			table[i].Movable = rng.IntN(4) > 0
		}
		left := append(append([]Upstream(nil), list[:gone]...), list[gone+1:]...)
		moves := Plan(Input{Holdings: table, Upstreams: left, Loads: loads, Balance: rng.IntN(2) == 0})
		check(t, seed, table, left, moves)
	}
}

func check(t *testing.T, seed uint64, table []Holding, left []Upstream, moves []Move) {
	t.Helper()
	for i, m := range moves {
		there := false
		for _, u := range left {
			there = there || u.Run.Same(m.Holder)
		}
		if !there {
			t.Errorf("seed %d: %v goes to %v, which is not there", seed, m.KeyRange, m.Holder)
		}
		for _, o := range moves[:i] {
			if o.Overlaps(m.KeyRange) {
				t.Errorf("seed %d: %v and %v overlap", seed, o.KeyRange, m.KeyRange)
			}
		}
		for _, h := range table {
			if h.Overlaps(m.KeyRange) && !h.Movable {
				t.Errorf("seed %d: %v moves, which may not", seed, h.KeyRange)
			}
		}
	}
	for _, h := range apply(table, moves) {
		if was := find(table, h.From); was.Orphan && was.Movable && h.Holder.Same(was.Holder) {
			t.Errorf("seed %d: %v stays with one that is gone", seed, h.KeyRange)
		}
	}
}
