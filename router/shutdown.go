package router

import (
	"time"

	"pimentorelay.example/pimento"
)

const (
	// drainDelay is the longest time that a process still accepts callers after
	// it has stopped being ready, so that the platform notices first.
	drainDelay = 2200 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// shutdownMargin is the time between the end of a process and the moment at
	// which the platform would kill it.
	shutdownMargin = 300 * time.Millisecond
	// lastAnswersTime is how long the answers to the requests that are ended at last
	// may take to be written, within shutdownMargin.
	lastAnswersTime = 150 * time.Millisecond
	// quietPeriod is how long a process keeps running after its last answer: a
	// request may have arrived that it has not read yet, and the bytes of an answer
	// must arrive before their connection is reset.
	quietPeriod = 500 * time.Millisecond
)

// shutDown drains the process before it ends. The process is no longer ready and
// its answers close their connections. Once the platform must have noticed, it
// accepts no new connections and waits, within the shutdown bound, for requests
// in progress, for callers to receive their answers and, if it leads, for the store to be
// reachable. Requests that may last longer are refused from then on. The requests that
// are left at the end are ended with an answer.
func (r *Router) shutDown() {
	r.events.Emit(pimento.EventProcessStopping)
	r.leaving.Store(true)
	r.leader.BeginShutdown()
	r.acceptor.Drain()
	start := time.Now()
	time.Sleep(min(drainDelay, r.bounds.Load().Shutdown/3))
	deadline := start.Add(r.bounds.Load().Shutdown - shutdownMargin)
	r.endsAt.Store(&deadline)
	r.acceptor.StopAccepting()
	r.awaitQuiet(deadline)
	r.acceptor.EndRequests()
	for end := time.Now().Add(lastAnswersTime); r.acceptor.Active() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// awaitQuiet waits until nothing has been in progress for quietPeriod and all answers have
// been received, or until the deadline.
func (r *Router) awaitQuiet(deadline time.Time) {
	quietSince := time.Now()
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if r.acceptor.Active() > 0 || r.leader.IsLeader() && !r.leader.StoreReachable() {
			quietSince = now
		}
		if now.Sub(quietSince) >= quietPeriod && !r.acceptor.IsDelivering() {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// requestsEndAt returns when the requests that are left are ended, zero while this process
// accepts connections.
func (r *Router) requestsEndAt() time.Time {
	if at := r.endsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
