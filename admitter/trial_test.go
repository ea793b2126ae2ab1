package admitter

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestEachDispatcherTriesACopyAfterABlock guards against a request that has crashed three
// upstreams and that, when its refusal ends, several processes try at the same time.
func TestEachDispatcherTriesACopyAfterABlock(t *testing.T) {
	old := slices.Clone(threeCrashes)
	for i := range old {
		old[i].Age = 90 * time.Second
	}
	for _, c := range []struct {
		name   string
		pools  int
		linked bool // the processes reach one another
	}{{"FourPools", 4, true}, {"NobodyReachesAnother", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			n := newBudgetNetwork(9, 58)
			var dispatchers []pimento.ProcessID
			for i := range c.pools {
				dispatchers = append(dispatchers, processAt(i))
			}
			n.appoint(dispatchers)
			for id, a := range n.nodes {
				n.setDown(id, !c.linked)
				a.MergeCrashFacts(old)
			}
			copies, refused := 0, 0
			for i := range 4 * len(n.nodes) {
				_, err := n.acquire(t, processAt(i%len(n.nodes)))
				var out *pimento.OutcomeError
				switch {
				case err == nil:
					copies++
				case errors.As(err, &out) && out.Reason == pimento.ReasonQuarantined:
					refused++
				default:
					t.Fatal(err)
				}
			}
			is.New(t).True(refused > 0)
			if copies > maxLateRetries {
				t.Errorf("%d copies got a permit later than 3 s after the third crash; allowed %d", copies, maxLateRetries)
			}
		})
	}
}
