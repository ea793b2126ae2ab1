package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var t0 = time.Unix(1_800_000_000, 0)

// crash is a request that crashes an upstream at a time.
func crash(m *Machine, at time.Time, upstream pimento.UpstreamName, prints ...Print) {
	for _, p := range prints {
		m.Broke(at, upstream, p)
	}
	m.Down(at.Add(100*time.Millisecond), upstream)
	m.Restarted(at.Add(2*time.Second), upstream)
}

func TestCrashes(t *testing.T) {
	const bad, good = Print(1), Print(2)
	for _, c := range []struct {
		name    string
		play    func(m *Machine)
		blocked bool
		strikes int
	}{
		{"three crashes", func(m *Machine) {
			crash(m, t0, "a", bad)
			crash(m, t0, "b", bad)
			crash(m, t0, "a", bad)
		}, true, 3},
		{"two crashes", func(m *Machine) {
			crash(m, t0, "a", bad)
			crash(m, t0, "b", bad)
		}, false, 2},
		{"answered in between", func(m *Machine) {
			crash(m, t0, "a", bad)
			crash(m, t0, "b", bad)
			m.Answered("c", t0, bad)
			crash(m, t0, "b", bad)
		}, false, 3},
		{"broken connections of an upstream that goes on", func(m *Machine) {
			for range 5 {
				m.Broke(t0, "a", bad)
				m.Answered("a", t0.Add(time.Millisecond), good)
			}
			m.Down(t0.Add(time.Second), "a")
		}, false, 0},
		{"an answer that was on its way already", func(m *Machine) {
			for range 3 {
				m.Broke(t0, "a", bad)
				m.Answered("a", t0.Add(-time.Millisecond), good)
				m.Restarted(t0.Add(time.Second), "a")
			}
		}, true, 3},
		{"an upstream that is down much later", func(m *Machine) {
			for range 3 {
				m.Broke(t0, "a", bad)
				m.Down(t0.Add(confirmTime+time.Second), "a")
			}
		}, false, 0},
		{"one upstream that stays down", func(m *Machine) {
			for range 5 {
				m.Broke(t0, "a", bad)
				m.Down(t0, "a")
			}
		}, false, 1},
		{"many copies at one crash", func(m *Machine) {
			for range 5 {
				m.Broke(t0, "a", bad)
			}
			m.Down(t0, "a")
		}, false, 1},
		{"others beside it", func(m *Machine) {
			for range 3 {
				crash(m, t0, "a", good, bad)
				m.Answered("b", t0.Add(time.Second), good)
			}
		}, true, 6},
		{"no print", func(m *Machine) {
			for range 3 {
				crash(m, t0, "a", 0)
			}
		}, false, 0},
		{"told by others", func(m *Machine) { m.Block(t0, bad) }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			c.play(m)
			is.Equal(m.Blocked(t0.Add(2*time.Second), bad), c.blocked)
			is.True(!m.Blocked(t0.Add(2*time.Second), good))
			is.Equal(m.Wait(t0.Add(2*time.Second), bad) > doubtPause, c.blocked)
			is.Equal(len(m.Strikes()), c.strikes)
			is.Equal(len(m.Strikes()), 0)
			is.True(!m.Blocked(t0.Add(2*blockTime), bad)) // it may be tried again
		})
	}
}

// TestDoubt holds that a request whose connections broke as often as a request
// that crashes upstreams may crash them waits until that is known, and no
// longer.
func TestDoubt(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Broke(t0, "a", 1)
	m.Broke(t0, "b", 1)
	is.Equal(m.Wait(t0, 1), time.Duration(0))
	m.Broke(t0, "c", 1)
	is.Equal(m.Wait(t0, 1), doubtPause)
	is.Equal(m.Wait(t0, 2), time.Duration(0))
	m.Answered("b", t0.Add(time.Millisecond), 2) // only an answer was lost there
	is.Equal(m.Wait(t0, 1), time.Duration(0))
	m.Down(t0, "a")
	is.Equal(m.Wait(t0, 1), time.Duration(0))
	m.Broke(t0, "b", 1)
	is.Equal(m.Wait(t0, 1), doubtPause)
	is.Equal(m.Wait(t0.Add(confirmTime+time.Second), 1), time.Duration(0))
}

// TestBounds holds that what is remembered stays bounded.
func TestBounds(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 4 * maxPrints {
		m.Broke(t0, "a", Print(i+1))
		if i%3 == 0 {
			m.Down(t0, "a")
			m.Strikes()
		}
	}
	is.True(len(m.blames) <= maxPrints+1)
	is.True(len(m.suspects["a"]) <= maxPrints)
}
