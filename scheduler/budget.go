package scheduler

import "time"

const (
	// budgetBuckets is the number of buckets that the window is divided into.
	budgetBuckets = 20
	// ratioShare is the share of the retry ratio that is granted, since a
	// request may reach its upstream in another window than it was sent in.
	ratioShare = 0.8
	// dispatcherSlackShare is the share of the fixed allowance that the
	// dispatcher uses; the backups share the rest.
	dispatcherSlackShare = 0.6
)

// budget bounds the retries of a service in any period of the window's length.
// Without it, upstreams that fail most of their requests would get a second
// load of retries.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	buckets [budgetBuckets]struct{ requests, retries float64 }
	current int64 // number of the present bucket, counted from the Unix epoch
}

// advance clears the buckets that have left the window and returns the index of
// the present one.
func (b *budget) advance(now time.Time) int {
	if b.window <= 0 {
		return 0
	}
	bucket := now.UnixNano() / (int64(b.window) / budgetBuckets)
	for n := 0; b.current < bucket && n < budgetBuckets; n++ {
		b.current++
		b.buckets[b.current%budgetBuckets] = struct{ requests, retries float64 }{}
	}
	b.current = bucket
	return int(bucket % budgetBuckets)
}

// recordRequest counts the first attempt of a request.
func (b *budget) recordRequest(now time.Time) { b.buckets[b.advance(now)].requests++ }

// allowRetry reports whether a retry may be sent and, if so, counts it.
func (b *budget) allowRetry(now time.Time, rank int) bool {
	i := b.advance(now)
	var requests, retries float64
	for _, s := range b.buckets {
		requests += s.requests
		retries += s.retries
	}
	slack := b.slack * dispatcherSlackShare
	if rank > 0 {
		slack = b.slack * (1 - dispatcherSlackShare) / float64(int(1)<<min(rank, 8))
	}
	if retries+1 > b.ratio*requests*ratioShare+slack {
		return false
	}
	b.buckets[i].retries++
	return true
}
