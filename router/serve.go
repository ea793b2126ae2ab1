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
)

const (
	// registerRetry is the time between two tries to register.
	registerRetry = 200 * time.Millisecond
	// headerTimeout bounds the head of a question for readiness or metrics.
	headerTimeout = 2 * time.Second
	// leavePause is how long a process that is to end still takes callers, so
	// that the platform finds out that it is not ready.
	leavePause = 2200 * time.Millisecond
	// finishPause is the time between two looks at whether all is finished.
	finishPause = 20 * time.Millisecond
	// endMargin is how long before it would be killed a process ends.
	endMargin = 300 * time.Millisecond
)

// register puts this process's entry into the store, over that of an earlier
// run on this host, however long the store takes to answer.
func (r *Router) register(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	e := pimento.Entry{Kind: leader.KindProcesses, Name: string(r.self.Host), Value: value}
	for ctx.Err() == nil {
		if r.tryRegister(ctx, e) {
			r.leader.StoreAnswered()
			r.events.Emit(pimento.EventRegistered, "Process", r.self.ID)
			if r.Started != nil {
				r.Started(r.self)
			}
			<-ctx.Done()
			return ctx.Err()
		}
		sleep(ctx, registerRetry)
	}
	return ctx.Err()
}

// tryRegister makes one try and reports whether the entry stands.
func (r *Router) tryRegister(ctx context.Context, e pimento.Entry) bool {
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
		if json.Unmarshal(exists.Current.Value, &p) == nil && p.ID == r.self.ID {
			return true // an earlier try took effect
		}
	}
	e.Revision = exists.Current.Revision
	_, err = r.Store.Replace(ctx, e)
	return err == nil
}

// isReady reports whether callers should come.
func (r *Router) isReady() bool {
	return !r.leaving.Load() && r.follower.view.Load() != nil && r.follower.knowsUpstreams()
}

func (f *follower) knowsUpstreams() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.Upstreams > 0 || f.alone
}

// serveReady answers the balancer's question whether callers may come.
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
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// shutDown finishes what is under way before the process ends. It is not ready
// any more and its answers end their connections; once the platform must have
// noticed, it takes nothing new.
func (r *Router) shutDown() {
	r.events.Emit(pimento.EventProcessStopping)
	r.leaving.Store(true)
	r.leader.Leave()
	r.acceptor.Drain()
	begun := time.Now()
	time.Sleep(min(leavePause, r.bounds.Load().Shutdown/3))
	r.acceptor.Refuse()
	end := begun.Add(r.bounds.Load().Shutdown - endMargin)
	quietAt := time.Now()
	for now := time.Now(); now.Before(end) && now.Sub(quietAt) < lastPause; now = time.Now() {
		if r.acceptor.Active() > 0 || r.leader.Leads() && !r.leader.HasStore() {
			quietAt = now
		}
		time.Sleep(finishPause)
	}
}

// lastPause is how long a process stays after its last answer: a request may
// have arrived that it has not read yet, and the bytes of an answer must
// arrive before their connection is reset.
const lastPause = 500 * time.Millisecond
