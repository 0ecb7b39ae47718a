package instance

// Names of the sample configuration.
const (
	SampleHost = "soak.example"
	// PathCheck may be repeated, PathBook may not; PathKept are turns that are kept, PathMoves streams that may go on elsewhere.
	PathCheck = "/check/"
	PathBook  = "/book/"
	PathKept  = StreamPrefix + "kept/"
	PathMoves = StreamPrefix + "moves/"
	// ServiceTool and ServiceModel are the services of the sample configuration.
	ServiceTool  = "tool"
	ServiceModel = "model"
)

// SampleCustomers are the customers of the sample configuration; the key of each is its name with "key-" before it.
var SampleCustomers = []string{"alma", "bruno", "clara"}

// SampleConfiguration returns a configuration of two services in the users' form.
func SampleConfiguration(version int) any {
	var customers []any
	for _, c := range SampleCustomers {
		customers = append(customers, map[string]any{"name": c, "api_keys": []string{"key-" + c}, "rate_per_s": 400, "burst": 400})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("check", PathCheck, ServiceTool, map[string]any{"type": "idempotent", "max_attempts": 3}),
			route("book", PathBook, ServiceTool, map[string]any{"type": "non_idempotent", "max_attempts": 1}),
			route("kept", PathKept, ServiceModel, map[string]any{"type": "streaming", "max_attempts": 2, "gap_target_ms": 250, "retained": true, "retention_s": 60}),
			route("moves", PathMoves, ServiceModel, map[string]any{"type": "streaming", "max_attempts": 3, "gap_target_ms": 250, "resumable": true}),
		},
		"services": []any{
			map[string]any{"name": ServiceTool},
			map[string]any{"name": ServiceModel, "engine": map[string]any{"chunk_tokens": Chunk}},
		},
		"tenants": customers,
	}
}

func route(name, path, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": SampleHost, "path_prefix": path, "service": service, "timeout_ms": 4000, "target_latency_ms": 250,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// Entry returns an instance's entry at the platform.
func Entry(service, address, domain string, born int64) any {
	return map[string]any{"service": service, "address": address, "zone": domain, "slots": 16, "state": "ready", "born": born}
}
