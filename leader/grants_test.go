package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// TestNewGrantsLetHeldKeysLapse guards against keys that lapse at an upstream that answers
// every grant, because it gets those of lost upstreams before its own are renewed.
func TestNewGrantsLetHeldKeysLapse(t *testing.T) {
	for _, c := range []struct {
		held, orphans int
		took          time.Duration // of a grant
	}{
		{5, 10, 100 * time.Millisecond},
		{6, 10, 400 * time.Millisecond},
		{10, 30, 200 * time.Millisecond},
		{20, 60, 100 * time.Millisecond},
		{36, 36, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d held, %d orphans, %s a grant", c.held, c.orphans, c.took), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				g := newGrantTest(t, c.held+c.orphans, c.took)
				table := &g.leader.assignment.Tables[0]
				holder := table.Holdings[0].Holder
				for i := c.held; i < len(table.Holdings); i++ {
					table.Holdings[i].Holder = pimento.Run{}
				}
				g.leader.keeper.Adopt(timekeeper.Now(), g.leader.assignment)
				g.run(10*time.Second, true)
				for i := c.held; i < len(table.Holdings); i++ {
					h := &table.Holdings[i]
					h.Holder, h.Fence = holder, uint64(len(table.Holdings)+i)
				}
				g.leader.keeper.Adopt(timekeeper.Now(), g.leader.assignment)
				worst := 0
				for range 50 {
					g.run(100*time.Millisecond, true)
					worst = max(worst, g.unreadyBefore(table.Holdings[c.held].From))
				}
				if worst > 0 {
					t.Errorf("up to %d of %d ranges that were held have lapsed, though every grant is accepted within %s", worst, c.held, c.took)
				}
			})
		})
	}
}

// unreadyBefore returns how many ranges below a key have no ready holder.
func (g *grantTest) unreadyBefore(end pimento.Key) int {
	n := 0
	now := timekeeper.Now()
	for _, s := range g.leader.keeper.States(now, g.input(now)) {
		if s.From < end && !s.Ready {
			n++
		}
	}
	return n
}
