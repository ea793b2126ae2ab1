package avoider

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var start = time.Unix(1000, 0)

// at returns a time some seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// runAt returns the run of upstream u that started then.
func runAt(seconds float64) pimento.Run { return pimento.Run{Upstream: "u", Started: at(seconds)} }

func leaving(written float64) Notice { return Notice{WrittenAt: at(written), Leaving: true} }

func pausing(written float64, pause time.Duration) Notice {
	return Notice{WrittenAt: at(written), Pause: pimento.PauseNotice{Named: true, For: pause}}
}

// TestLeavingRunIsBarredInTime guards against a bar that a later answer puts off.
func TestLeavingRunIsBarredInTime(t *testing.T) {
	is := is.New(t)
	b := &Book{LeavingDelay: time.Second}
	is.Equal(b.Observe(at(0), runAt(-9), leaving(0)), []Change{{Kind: ChangeLeaving, Run: runAt(-9)}})
	is.True(b.IsLeaving(runAt(-9)))
	is.Equal(len(b.Observe(at(0.9), runAt(-9), leaving(0.9))), 0)
	is.Equal(len(b.Bars(at(0.9))), 0)
	bar, barred := b.Bar(at(1), runAt(-9))
	is.True(barred)
	is.True(bar.Until.IsZero())
	_, barred = b.Bar(at(1e6), runAt(-9))
	is.True(barred)
	is.Equal(len(b.Bars(at(1))), 1)
}

// TestLaterEndOfTwoPausesCounts guards against a pause that a shorter one ends, and one
// that ends a little too early because clocks differ.
func TestLaterEndOfTwoPausesCounts(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second time.Duration // named at 0 and at 1 s
		until         float64
	}{
		{"the first is longer", 4 * time.Second, time.Second, 4.08},
		{"the second is longer", 2 * time.Second, 2 * time.Second, 3.04},
		{"the second is zero", 4 * time.Second, 0, 4.08},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Book{}
			is.Equal(len(b.Observe(at(0), runAt(-9), pausing(0, c.first))), 1)
			is.Equal(len(b.Observe(at(1), runAt(-9), pausing(1, c.second))), 0)
			is.Equal(b.PausedUntil(at(1), runAt(-9)), at(c.until))
			is.Equal(len(b.Tick(at(c.until-0.01))), 0)
			is.Equal(b.Tick(at(c.until)), []Change{{Kind: ChangeEnded, Run: runAt(-9)}})
			is.True(b.PausedUntil(at(c.until), runAt(-9)).IsZero())
			is.Equal(len(b.Tick(at(c.until))), 0)
		})
	}
}

// TestInvalidPauseChangesNothing guards against a faulty time that stops an upstream, and
// against one log line for each answer.
func TestInvalidPauseChangesNothing(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	n := Notice{WrittenAt: at(0), Pause: pimento.PauseNotice{Invalid: `"-1"`}}
	is.Equal(b.Observe(at(0), runAt(-9), n), []Change{{Kind: ChangeInvalid, Run: runAt(-9), Invalid: `"-1"`}})
	is.Equal(len(b.Observe(at(0), runAt(-9), n)), 0)
	is.Equal(len(b.Bars(at(0))), 0)
}

// TestOnlyNewStartEndsBar guards against a bar that ends because an upstream's name comes
// back, and one that outlives its run.
func TestOnlyNewStartEndsBar(t *testing.T) {
	for _, c := range []struct {
		name    string
		written float64 // when the request was written to whose answer says so
		lists   [][]pimento.Run
		run     pimento.Run // afterwards
		barred  bool
	}{
		{"same run", 0, [][]pimento.Run{{runAt(-9)}}, runAt(-9), true},
		{"its entry was gone for a while", 0, [][]pimento.Run{{}, {runAt(-9)}}, runAt(-9), true},
		{"new run", 0, [][]pimento.Run{{runAt(1)}}, runAt(1), false},
		{"new run that is not listed yet", 0, [][]pimento.Run{{runAt(-9)}}, runAt(1), false},
		{"the new run had answered before it was listed", 2, [][]pimento.Run{{runAt(-9)}, {runAt(1)}}, runAt(1), true},
		{"a permit for the run before", 2, [][]pimento.Run{{runAt(1)}}, runAt(-9), true},
		{"older list after that", 2, [][]pimento.Run{{runAt(1)}, {runAt(-9)}}, runAt(1), true},
		{"the run after that", 2, [][]pimento.Run{{runAt(1)}, {runAt(5)}}, runAt(5), false},
	} {
		for _, n := range []Notice{leaving(c.written), pausing(c.written, time.Hour)} {
			t.Run(fmt.Sprintf("%s, leaving %t", c.name, n.Leaving), func(t *testing.T) {
				is := is.New(t)
				b := &Book{}
				b.Observe(at(c.written), runAt(-9), n)
				for i, list := range c.lists {
					b.Retain(at(c.written+float64(i+1)), list)
				}
				_, barred := b.Bar(at(c.written+10), c.run)
				is.Equal(barred, c.barred)
			})
		}
	}
}

// TestLateAnswerOfFormerRun guards against an answer of a run that has ended and bars its
// successor.
func TestLateAnswerOfFormerRun(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	b.Retain(at(2), []pimento.Run{runAt(1)})
	b.Observe(at(2), runAt(-9), leaving(0.5))
	_, barred := b.Bar(at(3), runAt(1))
	is.True(!barred)
	b.Observe(at(4), runAt(1), pausing(4, time.Second))
	b.Observe(at(4), runAt(-9), leaving(0.5))
	is.True(!b.IsLeaving(runAt(1)))
}

// TestBookIsBounded guards against a book that grows with every upstream there ever was.
func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	for i := range maxEntries + 10 {
		run := pimento.Run{Upstream: pimento.UpstreamName(fmt.Sprint(i)), Started: at(0)}
		b.Observe(at(float64(i)), run, leaving(float64(i)))
	}
	is.Equal(len(b.entries), maxEntries)
	b.Retain(at(maxEntries+forgetAfter.Seconds()+20), nil)
	is.Equal(len(b.entries), 0)
}
