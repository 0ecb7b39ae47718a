package instance

import (
	"maps"
	"time"
)

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

// SampleCustomers are customers of the sample configuration that are far below their rates; the key of each is its name with "key-"
// before it.
var SampleCustomers = []string{"alma", "bruno", "clara"}

// Customers of the sample configuration beside them.
const (
	// SampleWithdrawn is one whose key operators withdraw at times.
	SampleWithdrawn = "dora"
	// SampleLimited is one with a low rate.
	SampleLimited = "emil"
)

// LimitedRate and LimitedBurst are those of SampleLimited, in requests a second and requests.
const (
	LimitedRate  = 20
	LimitedBurst = 20
)

// Sample is the part of the sample configuration that operators change.
type Sample struct {
	Version int
	// Withdrawn leaves the key of SampleWithdrawn out.
	Withdrawn bool
	// Timeout is that of all routes.
	Timeout time.Duration
}

// Configuration returns a configuration of two services in the users' form.
func (s Sample) Configuration() any {
	var customers []any
	for _, c := range append([]string{SampleWithdrawn}, SampleCustomers...) {
		if c != SampleWithdrawn || !s.Withdrawn {
			customers = append(customers, sampleCustomer(c, 400, 400))
		}
	}
	customers = append(customers, sampleCustomer(SampleLimited, LimitedRate, LimitedBurst))
	route := func(name, path, service string, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": SampleHost, "path_prefix": path, "service": service,
			"timeout_ms": s.Timeout.Milliseconds(), "target_latency_ms": 250,
		}
		maps.Copy(out, more)
		return out
	}
	return map[string]any{
		"version": s.Version,
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

func sampleCustomer(name string, rate, burst int) any {
	return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "rate_per_s": rate, "burst": burst}
}

// States of an instance's entry.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Entry returns an instance's entry at the platform.
func Entry(service, address, domain, state string, born int64) any {
	return map[string]any{"service": service, "address": address, "zone": domain, "slots": 16, "state": state, "born": born}
}
