package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/timekeeper"
)

// healthyUpstream is a Grantor whose upstream accepts every grant after a while.
type healthyUpstream struct{ took time.Duration }

// Grant implements Grantor.
func (u *healthyUpstream) Grant(ctx context.Context, _ pimento.Server, _ pimento.KeyGrant) error {
	sleep(ctx, u.took)
	return ctx.Err()
}

// Release implements Grantor.
func (u *healthyUpstream) Release(context.Context, pimento.Server, pimento.KeyRange, uint64, time.Duration) (string, error) {
	return "", nil
}

// Probe implements Grantor.
func (u *healthyUpstream) Probe(context.Context, pimento.Server, string) error { return nil }

// grantTest is a leader whose only upstream holds ranges of keys.
type grantTest struct {
	leader *Leader
}

func newGrantTest(t *testing.T, ranges int, took time.Duration) *grantTest {
	t.Helper()
	p := newPushTest(t)
	l := p.leader
	now := timekeeper.Now()
	run := pimento.Run{Upstream: "u1", Started: now.Add(-time.Minute)}
	l.Grantor = &healthyUpstream{took: took}
	l.KeeperTiming = keeper.DefaultTiming(pimento.DefaultBounds().MaxHold)
	l.keeper = keeper.New(l.KeeperTiming)
	size := (int(pimento.MaxKey) + 1) / ranges
	table := pimento.Table{Service: simService}
	for i := range ranges {
		to := (i+1)*size - 1
		if i == ranges-1 {
			to = int(pimento.MaxKey)
		}
		table.Holdings = append(table.Holdings, pimento.Holding{
			KeyRange: pimento.KeyRange{From: pimento.Key(i * size), To: pimento.Key(to)}, Fence: uint64(i + 1), Holder: run,
		})
	}
	l.assignment.Tables = []pimento.Table{table}
	l.keeper.Adopt(now, l.assignment)
	l.term.servers = map[pimento.UpstreamName]pimento.Server{run.Upstream: {Name: run.Upstream, Service: simService, Started: run.Started}}
	l.term.queues = make(map[pimento.UpstreamName]*queue)
	return &grantTest{leader: l}
}

// run steps the keeper for a while, with authority or without it.
func (g *grantTest) run(d time.Duration, authority bool) {
	l := g.leader
	for end := timekeeper.Now().Add(d); timekeeper.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := timekeeper.Now()
		l.authorityUntil.Store(0)
		if authority {
			l.authorityUntil.Store(now.Add(time.Second).UnixNano())
		}
		for _, c := range l.keeper.Step(now, g.input(now)) {
			l.enqueueCall(c)
		}
		l.startQueued()
		synctest.Wait()
		for len(l.inbox) > 0 {
			(<-l.inbox)()
			synctest.Wait()
		}
	}
}

// input is that of a process that was settled long ago. The keeper returns calls, so
// that their authority ends while they wait.
func (g *grantTest) input(now time.Time) keeper.Input {
	return keeper.Input{
		Authority: now.Add(time.Second), Settled: now.Add(-time.Hour),
		Ended:        func(pimento.Run) bool { return false },
		AddressKnown: func(pimento.Run) bool { return true },
	}
}

// unready returns how many ranges have no ready holder.
func (g *grantTest) unready() int {
	n := 0
	now := timekeeper.Now()
	for _, s := range g.leader.keeper.States(now, g.input(now)) {
		if !s.Ready {
			n++
		}
	}
	return n
}

// TestUnsentGrantLosesUpstream guards against upstreams that are taken for lost, and
// whose keys move, because this process had no authority to send their grants.
func TestUnsentGrantLosesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		restore := timekeeper.SetClock(time.Now)
		defer restore()
		g := newGrantTest(t, 1, time.Millisecond)
		g.run(3*time.Second, true)
		is.Equal(g.unready(), 0)
		g.run(2*time.Second, false)
		is.Equal(len(g.leader.keeper.LostRuns()), 0) // nothing was sent to it
	})
}

// TestGrantsOfManyRangesAreRenewed guards against keys that lapse at an upstream that
// answers, because the grants of its many ranges wait for each other.
func TestGrantsOfManyRangesAreRenewed(t *testing.T) {
	for _, c := range []struct {
		name   string
		ranges int
		took   time.Duration
	}{
		{"few ranges", 5, 100 * time.Millisecond},
		{"many ranges", 40, 100 * time.Millisecond},
		{"few ranges, slow answers", 9, 400 * time.Millisecond},
		{"many ranges, slow answers", 16, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				g := newGrantTest(t, c.ranges, c.took)
				g.run(10*time.Second, true)
				worst := 0
				for range 50 {
					g.run(100*time.Millisecond, true)
					worst = max(worst, g.unready())
				}
				if worst > 0 {
					t.Errorf("up to %d of %d ranges have no ready holder, though every grant is accepted within %s", worst, c.ranges, c.took)
				}
			})
		})
	}
}

// TestNewRangesDelayRenewals guards against keys that lapse at an upstream that answers,
// because its renewals wait for the first grants of many ranges that move to it.
func TestNewRangesDelayRenewals(t *testing.T) {
	const held = 40 // ranges; as many move to it
	for _, took := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				g := newGrantTest(t, 2*held, took)
				holdings := g.leader.assignment.Tables[0].Holdings
				holder := holdings[0].Holder
				for i := range holdings[held:] {
					holdings[held+i].Holder = pimento.Run{}
				}
				g.leader.keeper.Adopt(timekeeper.Now(), g.leader.assignment)
				g.run(10*time.Second, true)
				for i := range holdings[held:] {
					holdings[held+i].Holder = holder
					holdings[held+i].Fence += 2 * held
				}
				g.leader.keeper.Adopt(timekeeper.Now(), g.leader.assignment)
				worst := 0
				for range 50 {
					g.run(100*time.Millisecond, true)
					unready := 0
					now := timekeeper.Now()
					for _, s := range g.leader.keeper.States(now, g.input(now)) {
						if s.Fence <= held && !s.Ready {
							unready++
						}
					}
					worst = max(worst, unready)
				}
				if worst > 0 {
					t.Errorf("up to %d of %d ranges lapse, though every grant is accepted within %s", worst, held, took)
				}
			})
		})
	}
}
