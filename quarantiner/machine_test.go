package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var t0 = time.Unix(1_800_000_000, 0)

// at returns the time some seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// runAt returns the run of an upstream that started some seconds after t0.
func runAt(name pimento.UpstreamName, seconds float64) Run {
	return Run{Upstream: name, Started: at(seconds).UnixMilli()}
}

// list passes a machine the only upstream that there is.
func list(m *Machine, now time.Time, run Run, leaving bool) {
	m.Listed(now, map[pimento.UpstreamName]Listing{run.Upstream: {Started: run.Started, Leaving: leaving}})
}

// crash breaks the connections of requests to an upstream that started 100 s before,
// and which then goes down and restarts.
func crash(m *Machine, now time.Time, name pimento.UpstreamName, fingerprints ...Fingerprint) {
	run := Run{Upstream: name, Started: now.Add(-100 * time.Second).UnixMilli()}
	for _, p := range fingerprints {
		m.ConnectionBroke(now, run, p)
	}
	m.Down(now.Add(100*time.Millisecond), run)
	list(m, now.Add(2*time.Second), Run{Upstream: name, Started: now.Add(time.Second).UnixMilli()}, false)
}

// TestCrashes checks, 20 s after t0, which crashes count and how many facts they are.
func TestCrashes(t *testing.T) {
	const bad, good = Fingerprint(1), Fingerprint(2)
	a := runAt("a", -100)
	for _, c := range []struct {
		name  string
		run   func(m *Machine)
		count int // crashes that count
		facts int
	}{
		{"three crashes", func(m *Machine) {
			crash(m, at(0), "a", bad)
			crash(m, at(3), "b", bad)
			crash(m, at(6), "a", bad)
		}, 3, 3},
		{"two crashes", func(m *Machine) {
			crash(m, at(0), "a", bad)
			crash(m, at(3), "b", bad)
		}, 2, 2},
		{"a copy is answered in between", func(m *Machine) {
			crash(m, at(0), "a", bad)
			crash(m, at(3), "b", bad)
			m.Answered(at(7), runAt("c", 0), at(6), bad)
			crash(m, at(8), "b", bad)
		}, 1, 3},
		{"a copy that was sent before the crash is answered", func(m *Machine) {
			for i := range 3 {
				crash(m, at(float64(3*i)), "a", bad)
				m.Answered(at(float64(3*i+2)), runAt("c", 0), at(-1), bad)
			}
		}, 3, 3},
		{"an upstream fails a copy in between", func(m *Machine) {
			for i := range 3 {
				crash(m, at(float64(3*i)), "a", bad)
				m.Answered(at(float64(3*i)+2.9), runAt("c", 0), at(float64(3*i)+2.8), 0)
			}
		}, 3, 3},
		{"broken connections of an upstream that stays up", func(m *Machine) {
			for i := range 5 {
				m.ConnectionBroke(at(float64(i)), a, bad)
				m.Answered(at(float64(i)+0.2), a, at(float64(i)+0.1), good)
			}
			m.Down(at(9), a)
			list(m, at(10), runAt("a", 8), false)
		}, 0, 0},
		{"an answer to a request sent before the break", func(m *Machine) {
			for i := range 3 {
				run := runAt("a", float64(3*i))
				m.ConnectionBroke(at(float64(3*i+1)), run, bad)
				m.Answered(at(float64(3*i+1)), run, at(float64(3*i)), good)
				list(m, at(float64(3*i+2)), runAt("a", float64(3*i+3)), false)
			}
		}, 3, 3},
		{"the next run answers before it is known", func(m *Machine) {
			for i := range 3 {
				run := runAt("a", float64(4*i))
				m.ConnectionBroke(at(float64(4*i+1)), run, bad)
				m.Answered(at(float64(4*i)+2.1), run, at(float64(4*i+2)), good)
				list(m, at(float64(4*i+3)), runAt("a", float64(4*i)+1.5), false)
			}
		}, 3, 3},
		{"the next run answers while its entry is gone", func(m *Machine) {
			m.ConnectionBroke(at(1), a, bad)
			m.Answered(at(2.1), a, at(2), good)
			list(m, at(3), runAt("b", 0), false)
			list(m, at(4), runAt("a", 1.5), false)
		}, 1, 1},
		{"an upstream that is found down long after the break", func(m *Machine) {
			for i := range 3 {
				m.ConnectionBroke(at(float64(i)), runAt("a", float64(i)), bad)
				m.Down(at(15), runAt("a", float64(i)))
			}
		}, 3, 3},
		{"an upstream whose entry is removed long after the break", func(m *Machine) {
			m.ConnectionBroke(at(0), a, bad)
			list(m, at(15), runAt("b", 0), false)
		}, 1, 1},
		{"an upstream that leaves", func(m *Machine) {
			list(m, at(0), a, false)
			m.ConnectionBroke(at(1), a, bad)
			list(m, at(2), a, true)
			m.Down(at(3), a)
			list(m, at(4), runAt("b", 0), false)
		}, 0, 0},
		{"an older list", func(m *Machine) {
			m.ConnectionBroke(at(1), a, bad)
			list(m, at(2), runAt("a", -200), false)
		}, 0, 0},
		{"no answer, and then another run", func(m *Machine) {
			for i := range 3 {
				m.Unanswered(at(float64(3*i)), runAt("a", float64(3*i-1)), bad)
				list(m, at(float64(3*i+2)), runAt("a", float64(3*i+2)), false)
			}
		}, 3, 3},
		{"no answer of an upstream that answers others", func(m *Machine) {
			m.Unanswered(at(0), a, bad)
			m.Answered(at(2), a, at(1), good)
			list(m, at(9), runAt("a", 8), false)
		}, 0, 0},
		{"a break at the next run before it is known", func(m *Machine) {
			m.ConnectionBroke(at(0), a, bad)
			m.Down(at(0.1), a)
			m.ConnectionBroke(at(5), a, bad)
			list(m, at(6), runAt("a", 3), false)
			list(m, at(9), runAt("a", 8), false)
		}, 2, 2},
		{"one upstream that stays down", func(m *Machine) {
			for range 5 {
				m.ConnectionBroke(t0, a, bad)
				m.Down(t0, a)
			}
		}, 1, 1},
		{"many copies of a request at one crash", func(m *Machine) {
			for range 5 {
				m.ConnectionBroke(t0, a, bad)
			}
			m.Down(t0, a)
		}, 1, 1},
		{"another request at the same crashes", func(m *Machine) {
			for i := range 3 {
				crash(m, at(float64(3*i)), "a", good, bad)
				m.Answered(at(float64(3*i)+2.9), runAt("b", 0), at(float64(3*i)+2.5), good)
			}
		}, 3, 6},
		{"no fingerprint", func(m *Machine) {
			for i := range 3 {
				crash(m, at(float64(3*i)), "a", 0)
			}
		}, 0, 0},
		{"told by another process, twice", func(m *Machine) {
			facts := []Fact{{Fingerprint: bad, Run: a}, {Fingerprint: bad, Run: runAt("b", 0)}, {Fingerprint: bad, Run: runAt("a", 0)}}
			m.Merge(at(0), facts)
			m.Merge(at(1), facts)
		}, 3, 0},
		{"told by another process and seen here", func(m *Machine) {
			m.ConnectionBroke(at(0), a, bad)
			m.Merge(at(1), []Fact{{Fingerprint: bad, Run: a}})
		}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			c.run(m)
			now := at(20)
			is.Equal(m.Crashes(bad), c.count)
			is.Equal(m.Blocked(now, bad), c.count >= CrashLimit)
			is.Equal(m.Blocked(now, good), false)
			is.Equal(m.RetryAfter(now, bad) > unconfirmedRetryAfter, c.count >= CrashLimit)
			is.Equal(len(m.Reports(now, 0)), c.facts)
			is.True(!m.Blocked(at(20).Add(2*blockDuration), bad)) // the block ends
		})
	}
}

// TestWaitWhileCrashIsUnconfirmed checks that a request whose broken connections
// would reach CrashLimit if each was a crash is refused until they are confirmed or
// ruled out, no matter how long that takes, and no longer.
func TestWaitWhileCrashIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	m := New()
	a, b, c := runAt("a", 0), runAt("b", 0), runAt("c", 0)
	m.ConnectionBroke(at(1), a, 1)
	m.ConnectionBroke(at(1), a, 1)
	m.ConnectionBroke(at(1), b, 1)
	m.Unanswered(at(1), runAt("d", 0), 1)
	is.Equal(m.RetryAfter(at(1), 1), time.Duration(0))
	m.ConnectionBroke(at(1), c, 1)
	is.Equal(m.RetryAfter(at(1), 1), unconfirmedRetryAfter)
	is.Equal(m.RetryAfter(at(1), 2), time.Duration(0))
	m.Answered(at(1.2), b, at(1.1), 2) // only an answer was lost there
	is.Equal(m.RetryAfter(at(1.2), 1), time.Duration(0))
	m.Down(at(1.3), a)
	is.Equal(m.RetryAfter(at(1.3), 1), time.Duration(0))
	m.ConnectionBroke(at(1.4), b, 1)
	is.Equal(m.RetryAfter(at(1.4), 1), unconfirmedRetryAfter)
	is.Equal(m.RetryAfter(at(500), 1), unconfirmedRetryAfter)
	is.Equal(len(m.OpenRuns()), 2)
	m.Answered(at(501), b, at(500.5), 2)
	is.Equal(m.RetryAfter(at(501), 1), time.Duration(0))
}

// TestCrashSeenTwiceCountsOnce checks that a crash that another process has found is no
// open suspicion here any more, and that a later break at the same name is one.
func TestCrashSeenTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	m := New()
	a, b := runAt("a", 0), runAt("b", 0)
	m.ConnectionBroke(at(1), a, 1)
	m.ConnectionBroke(at(1), b, 1)
	m.Merge(at(2), []Fact{{Fingerprint: 1, Run: a}, {Fingerprint: 1, Run: b}})
	is.Equal(m.RetryAfter(at(2), 1), time.Duration(0))
	is.True(!m.HasSuspicions())
	m.ConnectionBroke(at(4), a, 1) // the next run, which is not known yet
	m.Merge(at(5), []Fact{{Fingerprint: 1, Run: a, Age: 3 * time.Second}})
	is.Equal(m.RetryAfter(at(5), 1), unconfirmedRetryAfter)
}

// TestBlockThatEndsKeepsItsCrashes checks that one more crash after a block blocks the
// request again, for twice as long.
func TestBlockThatEndsKeepsItsCrashes(t *testing.T) {
	is := is.New(t)
	m := New()
	now, duration := t0, blockDuration
	for i := range 12 {
		if i >= CrashLimit {
			is.True(m.RetryAfter(now, 1) > 0)
			is.Equal(m.RetryAfter(now, 1), duration)
			now = now.Add(duration + time.Second)
			is.Equal(m.RetryAfter(now, 1), time.Duration(0))
			duration = min(2*duration, maxBlockDuration)
		}
		run := Run{Upstream: "a", Started: int64(i)}
		m.ConnectionBroke(now, run, 1)
		m.Down(now, run)
	}
}

// TestCrashesAtOnceBlockOnce checks that the crashes of many upstreams at one moment do
// not lengthen a block.
func TestCrashesAtOnceBlockOnce(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 10 {
		m.ConnectionBroke(t0, Run{Upstream: "a", Started: int64(i)}, 1)
		m.Down(t0, Run{Upstream: "a", Started: int64(i)})
	}
	is.Equal(m.RetryAfter(t0, 1), blockDuration)
}

// TestStateIsBounded checks that suspicions and facts stay bounded, and that those of a
// refused request are kept.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	const bad = Fingerprint(1 << 40)
	for i := range CrashLimit {
		m.ConnectionBroke(t0, Run{Upstream: "a", Started: int64(i)}, bad)
		m.Down(t0, Run{Upstream: "a", Started: int64(i)})
	}
	for i := range 4 * max(maxFacts, maxSuspicions) {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		m.ConnectionBroke(now, runAt("b", 0), Fingerprint(2*i+1))
		m.ConnectionBroke(now, runAt("c", float64(i)), Fingerprint(2*i+2))
		m.Down(now, runAt("c", float64(i)))
		is.True(m.book.size <= maxFacts)
		is.True(m.suspicions.size <= maxSuspicions)
		if i >= maxFacts {
			is.True(m.book.size >= maxFacts*3/4) // never all at once
		}
	}
	is.True(m.Blocked(t0.Add(20*time.Second), bad))
	is.Equal(len(m.Reports(t0.Add(20*time.Second), 0)), maxTold)
}
