package scheduler

import (
	"testing"
	"time"
)

// TestPartsOfRetryBudget guards against processes whose parts of the fixed allowance of
// a service's retries add up to more than all of it in one window. Every request asks for
// one retry.
func TestPartsOfRetryBudget(t *testing.T) {
	const ratio, slack, window = 0.2, 58.0, 10 * time.Second
	const outside = 3 // rank of all processes behind a preference list of three
	ranks := func(outsiders int) []int {
		list := []int{0, 1, 2}
		for range outsiders {
			list = append(list, outside)
		}
		return list
	}
	for _, c := range []struct {
		name     string
		ranks    []int // of the processes that act in the window, one after the other
		requests int   // that each of them gets
	}{
		{"9 processes", ranks(6), 10},
		{"80 processes", ranks(77), 10},
		{"one dispatcher", []int{0}, 300},
		{"three dispatchers in a row", []int{0, 0, 0}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, retries := time.Unix(1_800_000_000, 0), 0
			for _, rank := range c.ranks {
				b := New(Config{RetryRatio: ratio, RetrySlack: slack, RetryWindow: window, Share: Share(rank, outside, len(c.ranks))}).budget
				for range c.requests {
					b.recordRequest(now)
					if b.allowRetry(now) {
						retries++
					}
				}
				now = now.Add(window / 100)
			}
			allowed := ratio*float64(len(c.ranks)*c.requests) + slack
			if float64(retries) > allowed {
				t.Errorf("%d retries in a window, allowed %v", retries, allowed)
			}
		})
	}
}
