package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds reading the header of a readiness or operator request.
	headerTimeout = 2 * time.Second
	// operatorWriteTimeout and operatorIdleTimeout bound the answer to such a request, and the
	// time until the next one on its connection.
	operatorWriteTimeout = 20 * time.Second
	operatorIdleTimeout  = 2 * time.Minute
	// maxOperatorHeader is the largest header of such a request in bytes.
	maxOperatorHeader = 8 << 10
)

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
