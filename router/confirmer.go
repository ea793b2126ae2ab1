package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// confirmTimeout bounds a read that confirms the manifest, so that another one can
	// follow on a new connection while requests wait. It grows with a slow store.
	confirmTimeout = 450 * time.Millisecond
	// maxConfirmTimeout is the longest such bound.
	maxConfirmTimeout = 1200 * time.Millisecond
	// confirmAttempts is how many reads in a row must fail until the store counts as
	// one that does not answer this process.
	confirmAttempts = 2
	// confirmRetryPause is the pause between them.
	confirmRetryPause = 100 * time.Millisecond
	// minConfirmPause and maxConfirmPause bound the backoff after them.
	minConfirmPause = 200 * time.Millisecond
	maxConfirmPause = time.Second
	// confirmationsPerBound is how often a leader reads the manifest in the time in which
	// one must be in force, so that its reads are less than half as old at the members.
	confirmationsPerBound = 4
)

// confirmer knows at which moment the manifest in force here was certainly the newest
// one, and has it read in the store if a request meets one that is too old. Only the
// beginning of an answered read of the whole manifest is such a moment: a watch that
// hears nothing may have missed changes.
type confirmer struct {
	read  func(ctx context.Context) error // that calls confirm
	apply func() time.Duration            // until a manifest must be in force
	// revoke returns the time after which a key that was taken away must not be used, zero
	// if there is no such bound; nil: there is none.
	revoke func() time.Duration
	// isVouched reports whether the newest manifest may be as old as a read of the store
	// shows; see mayTrustStore. nil: always.
	isVouched func() bool
	// away reports whether a read would be in vain, since the store is known to be away;
	// nil: never.
	away func() bool

	ctx    context.Context // of all reads, ends with the process
	cancel context.CancelFunc

	confirmedAt atomic.Int64 // Unix nanoseconds of timekeeper; zero: never
	// adopting is the number of reads that have shown another manifest, which is decoded
	// now.
	adopting atomic.Int32

	mu       sync.Mutex
	reading  chan struct{} // closed at the end of the read in progress; nil: there is none
	failures int           // in a row
	nextAt   time.Time     // when to read again after failures
	timeout  time.Duration
	backoff  timekeeper.Backoff
	lastRead leader.ManifestRead // by this process
}

func newConfirmer(read func(ctx context.Context) error, apply func() time.Duration) *confirmer {
	c := &confirmer{
		read: read, apply: apply, timeout: confirmTimeout,
		backoff: timekeeper.Backoff{Initial: minConfirmPause, Max: maxConfirmPause},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// close ends the read in progress and waits for its end. No other one begins.
func (c *confirmer) close() {
	c.cancel()
	c.mu.Lock()
	reading := c.reading
	c.mu.Unlock()
	if reading != nil {
		<-reading
	}
}

// at returns when the manifest in force was last confirmed, zero if never.
func (c *confirmer) at() time.Time {
	if at := c.confirmedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// confirm records that no newer manifest than the one in force was acknowledged before
// a moment.
func (c *confirmer) confirm(at time.Time) {
	for known := c.confirmedAt.Load(); at.UnixNano() > known; known = c.confirmedAt.Load() {
		if c.confirmedAt.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}

// answered records an answered read of this process.
func (c *confirmer) answered(r leader.ManifestRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.BeganAt.After(c.lastRead.BeganAt) {
		c.lastRead = r
	}
	took := timekeeper.Now().Sub(r.BeganAt)
	c.timeout = nextTimeout(took)
	c.failures, c.nextAt = 0, time.Time{}
	c.backoff.Reset()
	c.confirm(r.BeganAt)
}

// nextTimeout returns the timeout of the next read of the store, since the last one took
// that long.
func nextTimeout(took time.Duration) time.Duration {
	return min(max(confirmTimeout, 2*took), maxConfirmTimeout)
}

// forget lets nothing of before count, since the store was restored from a copy.
func (c *confirmer) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = leader.ManifestRead{}
	c.confirmedAt.Store(0)
}

// latest returns the last answered read of this process.
func (c *confirmer) latest() leader.ManifestRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// IsCurrent implements forwarder.Currency.
func (c *confirmer) IsCurrent(arrived time.Time) bool {
	apply := c.apply()
	age := time.Duration(timekeeper.Now().UnixNano() - c.confirmedAt.Load())
	if age > apply/2 {
		c.start()
	}
	return age-time.Since(arrived) <= apply
}

// keyMargin is the part of the time until a key must not be used that is kept for clocks
// that differ.
const keyMargin = 0.05

// MayUseKeys implements forwarder.Currency.
func (c *confirmer) MayUseKeys(arrived time.Time) bool {
	if c.revoke == nil || c.revoke() == 0 {
		return true
	}
	if c.isVouched != nil && !c.isVouched() {
		return false
	}
	bound := time.Duration((1 - keyMargin) * float64(c.revoke()))
	age := time.Duration(timekeeper.Now().UnixNano() - c.confirmedAt.Load())
	return age-time.Since(arrived) <= bound
}

// start begins a read, unless one is in progress or failed just before.
func (c *confirmer) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading != nil || c.ctx.Err() != nil || timekeeper.Now().Before(c.nextAt) {
		return
	}
	if c.away != nil && c.away() {
		c.failures = max(c.failures, confirmAttempts)
		return
	}
	c.reading = make(chan struct{})
	go c.readAgain(c.reading)
}

// readAgain reads until the store answers, confirmAttempts times at most.
func (c *confirmer) readAgain(done chan struct{}) {
	for n := 1; !c.tryRead() && n < confirmAttempts && c.ctx.Err() == nil; n++ {
		sleep(c.ctx, confirmRetryPause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	if c.failures > 0 {
		c.nextAt = timekeeper.Now().Add(c.backoff.Pause())
	}
	close(done)
}

// tryRead makes one read and reports whether the store answered.
func (c *confirmer) tryRead() bool {
	c.mu.Lock()
	timeout := c.timeout
	if c.failures >= confirmAttempts { // nobody waits for it any more
		timeout = maxConfirmTimeout
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	if err := c.read(ctx); err == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	return false
}

// Await implements forwarder.Currency.
func (c *confirmer) Await(ctx context.Context, arrived time.Time, wait time.Duration) (forwarder.Currentness, time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if c.IsCurrent(arrived) {
			return forwarder.Current, 0
		}
		p := c.progress()
		if p.failures >= confirmAttempts {
			return forwarder.StoreLost, p.retryAfter
		}
		select {
		case <-p.reading:
		case <-ctx.Done():
			return forwarder.Undecided, p.retryAfter
		case <-c.ctx.Done():
			return forwarder.Undecided, p.retryAfter
		case <-timer.C:
			if c.adopting.Load() == 0 {
				return c.endWait(arrived)
			} // the manifest in force is known to be old, and the read ends soon
		}
	}
}

// endWait is Await at the end of the time to wait. The failure of one read suffices then
// to say that the store does not answer.
func (c *confirmer) endWait(arrived time.Time) (forwarder.Currentness, time.Duration) {
	p := c.progress()
	switch {
	case c.IsCurrent(arrived):
		return forwarder.Current, 0
	case p.failures > 0:
		return forwarder.StoreLost, p.retryAfter
	default:
		return forwarder.Undecided, p.retryAfter
	}
}

// progress is the state of the reads.
type progress struct {
	reading    chan struct{} // closed when the read in progress ends, or when there is none
	failures   int           // in a row: the store counts as lost until it answers
	retryAfter time.Duration // until an answer is expected
}

// progress returns the state of the reads.
func (c *confirmer) progress() progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := timekeeper.Now()
	p := progress{reading: c.reading, failures: c.failures, retryAfter: max(0, c.nextAt.Sub(now)) + c.timeout}
	if p.reading == nil {
		p.reading = ended
	}
	return p
}

// ended is the channel of a read that has ended.
var ended = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// confirmWhileLeading reads the manifest again and again while this process leads, so
// that its heartbeats can tell the members that theirs is the newest.
func (f *follower) confirmWhileLeading(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.router.leader.IsLeader() && timekeeper.Now().Sub(f.confirmer.latest().BeganAt) >= f.confirmer.apply()/confirmationsPerBound {
			f.confirmer.start()
		}
		sleep(ctx, leaderCheckInterval)
	}
	return ctx.Err()
}
