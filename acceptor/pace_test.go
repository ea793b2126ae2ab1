package acceptor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestGreedyCallersAreSlowed replays ordinary callers beside one whose requests cost a hundred
// times as much, on a process that is behind with its own work and on one that is not.
func TestGreedyCallersAreSlowed(t *testing.T) {
	for _, c := range []struct {
		name   string
		delay  time.Duration
		slowed bool
	}{{"in time", 50 * time.Millisecond, false}, {"behind", 200 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const usual, connections = 10_000, 20
			var p pacer
			var loads [connections]costRate
			now := time.Unix(1000, 0)
			var slowed [connections]time.Duration
			for range 50 {
				now = now.Add(20 * time.Millisecond)
				for i := range loads {
					cost := int64(usual)
					if i == 0 {
						cost = 100 * usual
					}
					slowed[i] += p.pause(now, &loads[i], cost, connections, c.delay)
				}
			}
			is.Equal(slowed[0] > 0, c.slowed)
			for _, d := range slowed[1:] {
				is.Equal(d, time.Duration(0))
			}
		})
	}
}

// TestEqualCallersAreNotSlowed guards against a process that slows all of its callers, which
// would help none of them.
func TestEqualCallersAreNotSlowed(t *testing.T) {
	is := is.New(t)
	var p pacer
	var loads [10]costRate
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for i := range loads {
			is.Equal(p.pause(now, &loads[i], 10_000, len(loads), time.Second), time.Duration(0))
		}
	}
}
