package instance

import (
	"fmt"
	"maps"
	"time"
)

// Names in the sample configuration.
const (
	SampleHost = "soak.example"
	// PathIdempotent is the path prefix of an idempotent route and PathNonIdempotent that of a route which is not idempotent.
	// Turns of PathRetained are retained, and streams of PathResumable can be resumed at another instance.
	PathIdempotent    = "/check/"
	PathNonIdempotent = "/book/"
	PathRetained      = StreamPrefix + "kept/"
	PathResumable     = StreamPrefix + "moves/"
	// PathExtra is the beginning of the paths of the idempotent routes that are added to the configuration.
	PathExtra = "/extra/"
	// ServiceTool and ServiceModel are the services of the sample configuration.
	ServiceTool  = "tool"
	ServiceModel = "model"
)

// SampleCustomers are customers of the sample configuration that stay far below their rate limits. The key of a customer is
// "key-" and its name.
var SampleCustomers = []string{"alma", "bruno", "clara"}

// Other customers of the sample configuration.
const (
	// SampleWithdrawn is a customer whose key operators withdraw from time to time.
	SampleWithdrawn = "dora"
	// SampleLimited is a customer with a low rate limit.
	SampleLimited = "emil"
)

// LimitedRate and LimitedBurst are the rate limit of SampleLimited, in requests per second and in requests.
const (
	LimitedRate  = 20
	LimitedBurst = 20
)

// Sample holds the values of the sample configuration that operators change.
type Sample struct {
	Version int
	// Withdrawn removes SampleWithdrawn and its key.
	Withdrawn bool
	// Timeout is the timeout of all routes.
	Timeout time.Duration
	// ExtraRoutes is the number of routes under PathExtra, each with a path prefix of its own.
	ExtraRoutes int
}

// ExtraPath returns the path prefix of a route under PathExtra, from 0.
func ExtraPath(n int) string { return fmt.Sprint(PathExtra, n, "/") }

// Configuration returns a configuration with two services, in the format of the platform.
func (s Sample) Configuration() any {
	var customers []any
	for _, c := range append([]string{SampleWithdrawn}, SampleCustomers...) {
		if c != SampleWithdrawn || !s.Withdrawn {
			customers = append(customers, sampleCustomer(c, 400, 400))
		}
	}
	customers = append(customers, sampleCustomer(SampleLimited, LimitedRate, LimitedBurst))
	route := func(name, path, service string, options map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": SampleHost, "path_prefix": path, "service": service,
			"timeout_ms": s.Timeout.Milliseconds(), "target_latency_ms": 250,
		}
		maps.Copy(out, options)
		return out
	}
	routes := []any{
		route("check", PathIdempotent, ServiceTool, map[string]any{"type": "idempotent", "max_attempts": 3}),
		route("book", PathNonIdempotent, ServiceTool, map[string]any{"type": "non_idempotent", "max_attempts": 1}),
		route("kept", PathRetained, ServiceModel, map[string]any{"type": "streaming", "max_attempts": 2, "gap_target_ms": 250, "retained": true, "retention_s": 60}),
		route("moves", PathResumable, ServiceModel, map[string]any{"type": "streaming", "max_attempts": 3, "gap_target_ms": 250, "resumable": true}),
	}
	for i := range s.ExtraRoutes {
		routes = append(routes, route(fmt.Sprint("extra-", i), ExtraPath(i), ServiceTool, map[string]any{"type": "idempotent", "max_attempts": 3}))
	}
	return map[string]any{
		"version": s.Version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": ServiceTool},
			map[string]any{"name": ServiceModel, "engine": map[string]any{"chunk_tokens": TokensPerEvent}},
		},
		"tenants": customers,
	}
}

func sampleCustomer(name string, rate, burst int) any {
	return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "rate_per_s": rate, "burst": burst}
}

// States of an instance in its registration at the platform.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Registration returns the object by which an instance is registered at the platform.
func Registration(service, version, address, domain, state string, startedAt int64) any {
	return map[string]any{
		"service": service, "version": version, "address": address, "zone": domain, "slots": 16, "state": state, "born": startedAt,
	}
}
