package dispatcher

import (
	"context"
	"io"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
)

// readyWait is how long a request waits for the first grant of its slice.
const readyWait = 500 * time.Millisecond

// job is one request on its way through a lane.
type job struct {
	lane    *lane
	hold    *hold // nil where any upstream of the service will do
	head    pimento.RequestHead
	started time.Time
	counted bool // in the hold's requests in flight
	unlink  func() bool
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
}

// enter waits for a slot of the upstream.
func (j *job) enter(ctx context.Context) error {
	if err := j.awaitGrant(ctx); err != nil {
		return err
	}
	l := j.lane
	l.mu.Lock()
	l.nextID++
	t := limiter.Ticket{ID: l.nextID, Key: j.head.KeyHash, Class: j.head.Class, Deadline: j.head.Deadline}
	verdict := l.limit.Offer(time.Now(), t)
	ready := make(chan struct{})
	if verdict == limiter.Queued {
		l.waiters[t.ID] = ready
	}
	l.mu.Unlock()
	switch verdict {
	case limiter.Refused:
		return pimento.NotRun(pimento.ReasonQueueFull, string(l.server.Name))
	case limiter.Admitted:
		return nil
	}
	select {
	case <-ready:
		return nil
	case <-j.stopped():
	case <-ctx.Done():
	}
	return j.leave(ctx, t, ready)
}

// stopped is closed when the request's slice lets no more requests in.
func (j *job) stopped() <-chan struct{} {
	if j.hold == nil {
		return nil
	}
	return j.hold.stopped
}

// awaitGrant waits until the upstream knows that it owns the slice.
func (j *job) awaitGrant(ctx context.Context) error {
	if j.hold == nil {
		return nil
	}
	select {
	case <-j.hold.ready:
		return nil
	default:
	}
	timer := time.NewTimer(readyWait)
	defer timer.Stop()
	select {
	case <-j.hold.ready:
		return nil
	case <-j.hold.stopped:
		return pimento.NotRun(pimento.ReasonNotHolder, "the slice moved on")
	case <-timer.C:
		return pimento.NotRun(pimento.ReasonUpstreamLost, "the upstream has no grant yet")
	case <-ctx.Done():
		return pimento.NotRun(pimento.ReasonTimeout, "no grant before the deadline")
	}
}

// leave takes the request out of the queue. If it was admitted meanwhile, its
// slot is given back.
func (j *job) leave(ctx context.Context, t limiter.Ticket, ready chan struct{}) error {
	l := j.lane
	l.mu.Lock()
	delete(l.waiters, t.ID)
	waiting := l.limit.Leave(t)
	l.mu.Unlock()
	if !waiting {
		select {
		case <-ready:
			j.end(limiter.ResultRefused, false)
		default: // dropped from the queue at its deadline
		}
	}
	if ctx.Err() != nil {
		return pimento.NotRun(pimento.ReasonTimeout, "no slot before the deadline")
	}
	return pimento.NotRun(pimento.ReasonNotHolder, "the slice moved on")
}

// begin counts the request in if it may be sent now, and returns the fence.
func (j *job) begin() (uint64, error) {
	now := time.Now()
	authority := j.lane.d.Authority()
	l := j.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !now.Before(authority):
		return 0, pimento.NotRun(pimento.ReasonNoAuthority, "this process is not confirmed")
	case !l.held || l.stopping || j.hold != nil && !j.hold.open:
		return 0, pimento.NotRun(pimento.ReasonNotHolder, "the slice moved on")
	case l.lost:
		return 0, pimento.NotRun(pimento.ReasonUpstreamLost, string(l.server.Name))
	}
	if j.hold != nil {
		j.hold.inFlight++
		j.hold.rate.add(now)
		j.counted = true
	}
	l.rate.add(now)
	l.jobs[j] = true
	j.started = now
	return l.fence, nil
}

// end gives the slot back. It is called once for every job that entered.
func (j *job) end(result limiter.Result, doubtful bool) {
	j.once.Do(func() {
		if j.unlink != nil {
			j.unlink()
		}
		j.cancel()
		j.finish(result, doubtful)
	})
}

func (j *job) finish(result limiter.Result, doubtful bool) {
	now := time.Now()
	l := j.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	if doubtful {
		l.doubts = append(l.doubts, doubt{hash: j.head.KeyHash, until: j.head.Deadline})
	}
	delete(l.jobs, j)
	if j.counted {
		j.hold.inFlight--
	}
	for _, id := range l.limit.Done(now, j.head.Class, result, now.Sub(j.started)) {
		l.admit(id)
	}
	if l.draining() || result == limiter.ResultFailed {
		l.nudge()
	}
}

// admit wakes a queued request. The caller holds mu.
func (l *lane) admit(id uint64) {
	if ready, ok := l.waiters[id]; ok {
		delete(l.waiters, id)
		close(ready)
		return
	}
	// Its caller has left between two steps; leave gives the slot back.
}

// jobBody is the body of an answer; its end gives the slot back.
type jobBody struct {
	body io.ReadCloser
	job  *job
}

// Read implements io.Reader.
func (b *jobBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.job.end(limiter.ResultSuccess, false)
	case err != nil && b.job.ctx.Err() != nil:
		b.job.end(limiter.ResultCancelled, true)
	case err != nil:
		b.job.end(limiter.ResultFailed, true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *jobBody) Close() error {
	err := b.body.Close()
	b.job.end(limiter.ResultCancelled, true)
	return err
}
