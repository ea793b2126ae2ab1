package scheduler

import (
	"testing"
	"time"
)

// The retry budget that operators set.
const (
	retryRatio  = 0.2
	retrySlack  = 58.0
	retryWindow = 10 * time.Second
)

// mostInWindow returns the most of the given times, in their order, that lie in any period
// of retryWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= retryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTwoBurstsOfRetriesFitInOneWindow guards against retries that leave the count before
// a whole window has passed.
func TestTwoBurstsOfRetriesFitInOneWindow(t *testing.T) {
	const (
		interval = 10 * time.Millisecond // between requests
		bound    = int(retryRatio*float64(retryWindow/interval) + retrySlack)
	)
	start := time.Unix(1_800_000_000, 0)
	for phase := time.Duration(0); phase < retryWindow/budgetBuckets; phase += interval {
		b := budget{ratio: retryRatio, slack: retrySlack, window: retryWindow}
		bursts := []time.Duration{retryWindow + phase, 2*retryWindow + phase - interval}
		var retries []time.Time
		for at := time.Duration(0); len(bursts) > 0; at += interval {
			now := start.Add(at)
			b.recordRequest(now)
			if at < bursts[0] {
				continue
			}
			bursts = bursts[1:]
			for b.allowRetry(now, 0) {
				retries = append(retries, now)
			}
		}
		if n := mostInWindow(retries); n > bound {
			t.Fatalf("%d retries within %s, the first %s after the beginning of a bucket; allowed %d", n, retryWindow-interval, phase, bound)
		}
	}
}
