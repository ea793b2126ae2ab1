package runner

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/receiver"
)

const (
	// recordsLostFor is how long a request may come again whose record was
	// lost.
	recordsLostFor = deduper.KeepFor
	// stopTimeout bounds the end of a server whose connections do not close.
	stopTimeout = time.Second
)

// serveCallers serves callers until ctx ends.
func (n *Node) serveCallers(ctx context.Context) error {
	r := &receiver.Receiver{
		Self: n.self, Router: n, Local: n.dispatcher, Peers: n.carrier,
		Book: n.witnessed, Events: n.events, Meter: &receiver.Meter{Set: n.metrics},
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAliveTimeout, MaxHeaderBytes: maxHeaderSize}
	n.callerServer.Store(server)
	return serve(ctx, server, n.callers)
}

// serveOperators serves health, metrics, status and time line until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", n.guard(func() any { return n.Status() }))
	mux.HandleFunc("GET /timeline", n.guard(func() any { return n.events.Events() }))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAliveTimeout, MaxHeaderBytes: maxHeaderSize}
	return serve(ctx, server, n.operators)
}

// serve runs a server until ctx ends.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		late, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(late); err != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done() // a graceful shutdown has closed it
	return ctx.Err()
}

// readyz tells the platform's balancer whether to send callers here.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if _, ok := n.Config(); !ok || n.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// guard asks for the operators' token and writes a value as JSON.
func (n *Node) guard(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if n.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(n.Token)) != 1 {
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(value()); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// Status returns what this process knows, for operators.
func (n *Node) Status() pimento.Status {
	v := n.core.current.Load()
	reports, _ := n.dispatcher.Reports(time.Now())
	s := pimento.Status{
		Process: n.self, Epoch: v.plan.Epoch, ConfigVersion: v.plan.ConfigVersion, Withdrawn: v.withdrawn,
		Confirmed: time.Now().Before(v.until), Leaving: n.leaving.Load(), Upstreams: reports,
		Records: n.book.Len() + n.witnessed.Len(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	waiting, err := query(ctx, n.core, func(c *core) int { return c.claim.Waiting() })
	if err != nil {
		waiting = -1
	}
	s.Waiting = waiting
	return s
}
