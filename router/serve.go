package router

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// minRegisterRetry and maxRegisterRetry bound the backoff after failed attempts to
	// register.
	minRegisterRetry = 200 * time.Millisecond
	maxRegisterRetry = 2 * time.Second
	// headerTimeout bounds reading the header of a readiness or operator request.
	headerTimeout = 2 * time.Second
	// operatorWriteTimeout and operatorIdleTimeout bound the answer to such a request, and the
	// time until the next one on its connection.
	operatorWriteTimeout = 20 * time.Second
	operatorIdleTimeout  = 2 * time.Minute
	// maxOperatorHeader is the largest header of such a request in bytes.
	maxOperatorHeader = 8 << 10
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
)

// register writes this process's entry to the store, replacing that of an
// earlier run on this host. It retries until it succeeds or ctx ends.
func (r *Router) register(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	e := pimento.Entry{Kind: leader.KindProcesses, Name: string(r.self.Host), Value: value}
	backoff := timekeeper.Backoff{Initial: minRegisterRetry, Max: maxRegisterRetry}
	for ctx.Err() == nil {
		if r.tryRegister(ctx, e, false) {
			r.leader.StoreAnswered(timekeeper.Now())
			r.events.Emit(pimento.EventRegistered, "Process", r.self.ID)
			if r.OnRegistered != nil {
				r.OnRegistered(r.self)
			}
			r.keepRegistered(ctx, e)
			return ctx.Err()
		}
		sleep(ctx, backoff.Pause())
	}
	return ctx.Err()
}

// keepRegistered registers again whenever the store was restored from a copy, which may
// show no process of this host or an earlier one, until ctx ends.
func (r *Router) keepRegistered(ctx context.Context, e pimento.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restored:
		}
		backoff := timekeeper.Backoff{Initial: minRegisterRetry, Max: maxRegisterRetry}
		for ctx.Err() == nil && !r.tryRegister(ctx, e, true) {
			sleep(ctx, backoff.Pause())
		}
	}
}

// tryRegister makes one attempt and reports whether the entry is stored. A process that
// registers again leaves the entry of a later one of its host.
func (r *Router) tryRegister(ctx context.Context, e pimento.Entry, again bool) bool {
	_, err := r.Store.Create(ctx, e)
	var exists *pimento.ExistsError
	if err == nil {
		return true
	}
	if !errors.As(err, &exists) {
		return false
	}
	if string(exists.Current.Value) != "" {
		var p pimento.Process
		if json.Unmarshal(exists.Current.Value, &p) == nil && (p.ID == r.self.ID || again && p.Started.After(r.self.Started)) {
			return true
		}
	}
	e.Revision = exists.Current.Revision
	_, err = r.Store.Replace(ctx, e)
	return err == nil
}

// isReady reports whether callers should send requests to this process.
func (r *Router) isReady() bool {
	return !r.leaving.Load() && r.follower.view.Load() != nil && r.follower.knowsUpstreams()
}

func (f *follower) knowsUpstreams() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams != nil
}

// serveReady answers the load balancer's readiness checks until ctx ends.
func (r *Router) serveReady(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.ReadyPath, r.readyz)
	return serveHTTP(ctx, l, mux)
}

func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	if !r.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: operatorWriteTimeout,
		IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: maxOperatorHeader,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

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
	quietSince := time.Now()
	for now := time.Now(); now.Before(deadline) && (now.Sub(quietSince) < quietPeriod || r.acceptor.IsDelivering()); now = time.Now() {
		if r.acceptor.Active() > 0 || r.leader.IsLeader() && !r.leader.StoreReachable() {
			quietSince = now
		}
		time.Sleep(drainPollInterval)
	}
	r.acceptor.EndRequests()
	for end := time.Now().Add(lastAnswersTime); r.acceptor.Active() > 0 && time.Now().Before(end); {
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

// quietPeriod is how long a process keeps running after its last answer: a
// request may have arrived that it has not read yet, and the bytes of an answer
// must arrive before their connection is reset.
const quietPeriod = 500 * time.Millisecond
