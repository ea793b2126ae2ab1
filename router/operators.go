package router

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// serveOperators serves health, metrics, status and timeline until ctx ends.
func (r *Router) serveOperators(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		r.metrics.WritePrometheus(w)
		r.observer.customers.writeMetrics(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /status", r.requireToken(func() any { return r.Status() }))
	mux.HandleFunc("GET /timeline", r.requireToken(func() any { return r.events.Events() }))
	return serveHTTP(ctx, l, mux)
}

// registerGauges adds the gauges for the state of this process to its metrics.
func (r *Router) registerGauges() {
	for name, value := range map[string]func() float64{
		"relay_ready":                     func() float64 { return gaugeValue(r.isReady()) },
		"relay_leads":                     func() float64 { return gaugeValue(r.leader.IsLeader()) },
		"relay_led":                       func() float64 { return gaugeValue(r.leader.HasLeader()) },
		"relay_store_reached":             func() float64 { return gaugeValue(r.leader.StoreReachable()) },
		"relay_store_era":                 func() float64 { return float64(r.storeEra.Load()) },
		"relay_epoch":                     func() float64 { return float64(r.leader.Term().Epoch) },
		"relay_manifest_version":          func() float64 { return float64(r.follower.Versions().Manifest) },
		"relay_manifest_announced":        func() float64 { return float64(r.follower.announcedVersion()) },
		"relay_manifest_read_age":         func() float64 { return ageSeconds(time.Now(), r.follower.ManifestReadAt()) },
		"relay_manifest_age":              func() float64 { return ageSeconds(timekeeper.Now(), r.follower.confirmer.at()) },
		"relay_upstreams_age":             func() float64 { return ageSeconds(timekeeper.Now(), r.follower.upstreamsKnownAt()) },
		"relay_leader_delay":              func() float64 { return r.leader.Delay().Seconds() },
		"relay_key_ranges":                func() float64 { return float64(r.leader.Ranges()) },
		"relay_unheld_keys":               func() float64 { return float64(r.follower.unheldKeys()) },
		"relay_waiting_requests":          func() float64 { return float64(r.admitter.Waiting()) },
		"relay_barred_upstreams":          func() float64 { return float64(len(r.admitter.Barred())) },
		"relay_active_requests":           func() float64 { return float64(r.acceptor.Active()) },
		"relay_caller_connections":        func() float64 { return float64(r.acceptor.Connections()) },
		"relay_caller_memory_bytes":       func() float64 { return float64(r.acceptor.Budget.Used()) },
		"relay_caller_memory_limit_bytes": func() float64 { return float64(r.acceptor.Budget.Bound()) },
		"relay_request_records":           func() float64 { return float64(r.registrar.Len()) },
	} {
		r.metrics.NewGauge(name, value)
	}
}

// ageSeconds returns the seconds from t to now, -1 if t is zero.
func ageSeconds(now, t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Seconds()
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// requireToken returns a handler that checks the operators' token, if one is set,
// and writes a value as JSON.
func (r *Router) requireToken(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		token := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
		if r.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(r.Token)) != 1 {
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
func (r *Router) Status() pimento.Status {
	term := r.leader.Term()
	versions := r.follower.Versions()
	return pimento.Status{
		Process: r.self, Epoch: term.Epoch, Leader: term.Leader,
		Leads: r.leader.IsLeader(), Led: r.leader.HasAuthority() || r.leader.HasLeader() && !r.leader.IsLeader(),
		Ready: r.isReady(), Leaving: r.leaving.Load(), ManifestVersion: versions.Manifest,
		Active: r.acceptor.Active(), Waiting: r.admitter.Waiting(), Records: r.registrar.Len(),
		Unheld: r.follower.unheldKeys(), Dispatches: r.admitter.Upstreams(), Barred: r.admitter.Barred(),
		Quotas: r.leader.Quotas(),
	}
}
