package scheduler

import "time"

const (
	// budgetBuckets is the number of buckets that the window is divided into.
	budgetBuckets = 20
	// retryBuckets is the number of buckets for which a retry counts: the window, the
	// present bucket, of which only a part has passed, and one for the way to the
	// upstream.
	retryBuckets = budgetBuckets + 2
	// ratioShare is the share of the retry ratio that is granted, since a
	// request may reach its upstream in another window than it was sent in.
	ratioShare = 0.8
)

// budget bounds the retries of a service in any period of the window's length.
// Without it, upstreams that fail most of their requests would get a second
// load of retries.
type budget struct {
	ratio  float64
	window time.Duration

	slack       float64   // part of the fixed allowance that this process may use
	slackBefore float64   // that counts until a window after grewAt
	grewAt      time.Time // when slack was first used; zero: not yet

	buckets [retryBuckets]struct{ requests, retries float64 }
	begunAt time.Time // beginning of the first bucket
	current int64     // number of the present bucket
}

// setSlack sets the part of the fixed allowance. More than before, or than newcomers may use
// at once, may be used only when a window has passed: the process that had it before may
// have used it up.
func (b *budget) setSlack(slack, newcomers float64) {
	if slack > b.slack {
		b.slackBefore, b.grewAt = max(b.slack, newcomers), time.Time{}
	}
	b.slack = slack
	b.slackBefore = min(b.slackBefore, slack)
}

// usableSlack returns the part of the fixed allowance that may be used now.
func (b *budget) usableSlack(now time.Time) float64 {
	if now.Sub(b.grewAt) < b.window {
		return b.slackBefore
	}
	return b.slack
}

// advance clears the buckets that count no more.
func (b *budget) advance(now time.Time) {
	if b.window <= 0 {
		return
	}
	if b.begunAt.IsZero() {
		b.begunAt = now
	}
	if b.grewAt.IsZero() {
		b.grewAt = now
	}
	bucket := int64(now.Sub(b.begunAt) / (b.window / budgetBuckets))
	for n := 0; b.current < bucket && n < retryBuckets; n++ {
		b.current++
		*b.bucket(0) = struct{ requests, retries float64 }{}
	}
	b.current = max(b.current, bucket)
}

// bucket returns the bucket that is the given number of buckets old.
func (b *budget) bucket(age int64) *struct{ requests, retries float64 } {
	return &b.buckets[(b.current-age+retryBuckets)%retryBuckets]
}

// recordRequest counts the first attempt of a request.
func (b *budget) recordRequest(now time.Time) {
	b.advance(now)
	b.bucket(0).requests++
}

// recordRetry counts a retry that is sent.
func (b *budget) recordRetry(now time.Time) {
	b.advance(now)
	b.bucket(0).retries++
}

// allows reports whether some more retries may be sent.
func (b *budget) allows(now time.Time, more int) bool {
	b.advance(now)
	var requests, retries float64
	for age := range int64(retryBuckets) {
		retries += b.bucket(age).retries
		if age < budgetBuckets {
			requests += b.bucket(age).requests
		}
	}
	return retries+float64(more) <= b.ratio*requests*ratioShare+b.usableSlack(now)
}

// allowRetry reports whether a retry may be sent now and, if so, counts it.
func (b *budget) allowRetry(now time.Time) bool {
	if !b.allows(now, 1) {
		return false
	}
	b.recordRetry(now)
	return true
}
