package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var t0 = time.Unix(1_800_000_000, 0)

// crash breaks the connections of requests to an upstream, which then goes down
// and restarts.
func crash(m *Machine, at time.Time, upstream pimento.UpstreamName, fingerprints ...Fingerprint) {
	for _, p := range fingerprints {
		m.ConnectionBroke(at, upstream, p)
	}
	m.Down(at.Add(100*time.Millisecond), upstream)
	m.Restarted(at.Add(2*time.Second), upstream)
}

func TestCrashes(t *testing.T) {
	const bad, good = Fingerprint(1), Fingerprint(2)
	for _, c := range []struct {
		name    string
		run     func(m *Machine)
		blocked bool
		reports int
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
		{"broken connections of an upstream that stays up", func(m *Machine) {
			for range 5 {
				m.ConnectionBroke(t0, "a", bad)
				m.Answered("a", t0.Add(time.Millisecond), good)
			}
			m.Down(t0.Add(time.Second), "a")
		}, false, 0},
		{"an answer to a request sent before the break", func(m *Machine) {
			for range 3 {
				m.ConnectionBroke(t0, "a", bad)
				m.Answered("a", t0.Add(-time.Millisecond), good)
				m.Restarted(t0.Add(time.Second), "a")
			}
		}, true, 3},
		{"an upstream that is down after the confirm window", func(m *Machine) {
			for range 3 {
				m.ConnectionBroke(t0, "a", bad)
				m.Down(t0.Add(confirmWindow+time.Second), "a")
			}
		}, false, 0},
		{"one upstream that stays down", func(m *Machine) {
			for range 5 {
				m.ConnectionBroke(t0, "a", bad)
				m.Down(t0, "a")
			}
		}, false, 1},
		{"many copies of a request at one crash", func(m *Machine) {
			for range 5 {
				m.ConnectionBroke(t0, "a", bad)
			}
			m.Down(t0, "a")
		}, false, 1},
		{"another request at the same crashes", func(m *Machine) {
			for range 3 {
				crash(m, t0, "a", good, bad)
				m.Answered("b", t0.Add(time.Second), good)
			}
		}, true, 6},
		{"no fingerprint", func(m *Machine) {
			for range 3 {
				crash(m, t0, "a", 0)
			}
		}, false, 0},
		{"blocked by another process", func(m *Machine) { m.Block(t0, bad) }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			c.run(m)
			is.Equal(m.Blocked(t0.Add(2*time.Second), bad), c.blocked)
			is.True(!m.Blocked(t0.Add(2*time.Second), good))
			is.Equal(m.RetryAfter(t0.Add(2*time.Second), bad) > unconfirmedRetryAfter, c.blocked)
			is.Equal(len(m.CrashReports()), c.reports)
			is.Equal(len(m.CrashReports()), 0)
			is.True(!m.Blocked(t0.Add(2*blockDuration), bad)) // the block expires
		})
	}
}

// TestWaitWhileCrashIsUnconfirmed checks that a request whose broken connections
// would reach CrashLimit if each was a crash is refused until they are confirmed or
// ruled out, and no longer.
func TestWaitWhileCrashIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ConnectionBroke(t0, "a", 1)
	m.ConnectionBroke(t0, "b", 1)
	is.Equal(m.RetryAfter(t0, 1), time.Duration(0))
	m.ConnectionBroke(t0, "c", 1)
	is.Equal(m.RetryAfter(t0, 1), unconfirmedRetryAfter)
	is.Equal(m.RetryAfter(t0, 2), time.Duration(0))
	m.Answered("b", t0.Add(time.Millisecond), 2) // only an answer was lost there
	is.Equal(m.RetryAfter(t0, 1), time.Duration(0))
	m.Down(t0, "a")
	is.Equal(m.RetryAfter(t0, 1), time.Duration(0))
	m.ConnectionBroke(t0, "b", 1)
	is.Equal(m.RetryAfter(t0, 1), unconfirmedRetryAfter)
	is.Equal(m.RetryAfter(t0.Add(confirmWindow+time.Second), 1), time.Duration(0))
}

// TestStateIsBounded checks that suspects and crash counts stay bounded.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 4 * maxFingerprints {
		m.ConnectionBroke(t0, "a", Fingerprint(i+1))
		if i%3 == 0 {
			m.Down(t0, "a")
			m.CrashReports()
		}
	}
	is.True(len(m.crashes) <= maxFingerprints+1)
	is.True(len(m.suspects["a"]) <= maxFingerprints)
}
