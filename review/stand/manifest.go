package main

// manifest returns a manifest with one route to one service, as PROTOCOL.md has it.
// sharded means that the service is divided by key.
func manifest(route []any, service string, sharded bool) map[string]any {
	return map[string]any{
		"version": "00000007",
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "weighted_services", "max_attempts", "service"},
			"rows":    [][]any{route},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "protocol", "tls", "warmup_s", "warmup_per_s", "sharded", "warm_s", "grants"},
			"rows":    [][]any{{service, "/healthz", 110, "h1", false, 3.0, 5.0, sharded, 3.0, "call"}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}
