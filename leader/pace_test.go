package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// stepCounter is a Member that counts the steps of its leader.
type stepCounter struct {
	fixedMember
	steps int
}

// Versions implements Member. Each step calls it at least once.
func (c *stepCounter) Versions() messenger.Versions {
	c.steps++
	return c.fixedMember.Versions()
}

// callsPerStep is how often a step of a paced test calls Versions.
const callsPerStep = 2

// newPacedTest returns a leader that only steps and handles messages.
func newPacedTest(t *testing.T) (*Leader, *stepCounter) {
	t.Helper()
	l := newGrantTest(t, 1, time.Millisecond).leader
	member := &stepCounter{fixedMember: fixedMember{version: 1}}
	l.Member = member
	l.term.listing, l.term.writing, l.term.readingProcesses = true, true, true
	clear(l.term.members)
	return l, member
}

// runPaced runs the loop of such a leader in a bubble while test runs.
func runPaced(t *testing.T, test func(ctx context.Context, l *Leader, member *stepCounter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		restore := timekeeper.SetClock(time.Now)
		defer restore()
		l, member := newPacedTest(t)
		ctx, cancel := context.WithCancel(t.Context())
		go l.run(ctx)
		test(ctx, l, member)
		cancel()
		synctest.Wait()
	})
}

// TestMessagesShareStep guards against a leader that is too slow to lead since it does
// all of its periodic work after every message.
func TestMessagesShareStep(t *testing.T) {
	runPaced(t, func(ctx context.Context, l *Leader, member *stepCounter) {
		const duration, messages = 200 * time.Millisecond, 800
		handled := 0
		for range messages {
			l.post(ctx, func() { handled++ })
			time.Sleep(duration / messages)
		}
		synctest.Wait()
		is.New(t).Equal(handled, messages)
		if most := callsPerStep * int(duration/minStepPause+1); member.steps > most {
			t.Errorf("%d calls by steps within %s, want at most %d", member.steps, duration, most)
		}
	})
}

// TestStepFollowsMessageSoon guards against keys that are free and wait for a step.
func TestStepFollowsMessageSoon(t *testing.T) {
	runPaced(t, func(ctx context.Context, l *Leader, member *stepCounter) {
		time.Sleep(stepInterval + time.Millisecond)
		for range 20 {
			var before int
			l.post(ctx, func() { before = member.steps })
			time.Sleep(minStepPause + time.Millisecond)
			synctest.Wait()
			if member.steps == before {
				t.Fatalf("no step within %s of a message", minStepPause)
			}
		}
	})
}

// TestStepsWithoutMessages guards against a leader that steps only when it is asked to,
// and against one that drifts from its interval.
func TestStepsWithoutMessages(t *testing.T) {
	runPaced(t, func(_ context.Context, _ *Leader, member *stepCounter) {
		const steps = 50
		time.Sleep(steps*stepInterval + time.Millisecond)
		synctest.Wait()
		is.New(t).Equal(member.steps, steps*callsPerStep)
	})
}

// TestLeadersInOneBubble guards against a crash of the race detector, which ends the
// simulations: goroutines that run timers of channels at once break its stack of calls.
func TestLeadersInOneBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restore := timekeeper.SetClock(time.Now)
		defer restore()
		const leaders, duration = 16, time.Minute
		ctx, cancel := context.WithCancel(t.Context())
		for range leaders {
			l, _ := newPacedTest(t)
			go l.run(ctx)
			var post func()
			post = func() {
				if ctx.Err() != nil {
					return
				}
				time.AfterFunc(minStepPause, post)
				l.post(ctx, func() {})
			}
			post()
		}
		time.Sleep(duration)
		cancel()
		time.Sleep(minStepPause)
		synctest.Wait()
	})
}

func TestPace(t *testing.T) {
	at := time.Now()
	for _, c := range []struct {
		name  string
		took  time.Duration
		pause time.Duration
	}{
		{"a short step", 10 * time.Microsecond, minStepPause},
		{"a longer step", 5 * time.Millisecond, stepPauseFactor * 5 * time.Millisecond},
		{"a long step", time.Second, stepInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPace(at)
			defer p.timer.Stop()
			ended := at.Add(c.took)
			p.took(at, ended)
			is.True(!p.allows(ended.Add(c.pause - time.Nanosecond)))
			is.True(p.allows(ended.Add(c.pause)))
		})
	}
}

func TestDelayDecays(t *testing.T) {
	is := is.New(t)
	d := &delay{}
	at := time.Now()
	d.observe(at, 800*time.Millisecond)
	d.observe(at, time.Millisecond)
	is.Equal(d.value(at), 800*time.Millisecond)
	is.Equal(d.value(at.Add(delayDecay)), 400*time.Millisecond)
}

// TestSlowLeaderMovesNoKeysForBalance guards against ranges that are split again and
// again by a leader that is too slow to renew those that it has.
func TestSlowLeaderMovesNoKeysForBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPushTest(t).leader
		l.balancedAt = time.Now().Add(-balanceInterval)
		is.True(l.mayBalance(time.Now()))
		l.delay.observe(time.Now(), 2*maxBalanceDelay)
		is.True(!l.mayBalance(time.Now()))
		time.Sleep(delayDecay + time.Millisecond)
		is.True(l.mayBalance(time.Now()))
	})
}
