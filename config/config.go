package config

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Revision is the platform's version of the object; a higher one replaces a lower one.
	Revision chestnutcleat.Version
	// Number is the operators' own version number.
	Number    int64
	Routes    []Route
	Services  map[chestnutcleat.ServiceName]Service
	Customers []Customer
	Limits    Limits
}

// RouteType is the type of a route; it decides whether requests may be retried.
type RouteType string

// Route types.
const (
	Idempotent    RouteType = "idempotent"
	NonIdempotent RouteType = "non-idempotent"
	Streaming     RouteType = "streaming"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   chestnutcleat.RouteName
	Host   string
	Prefix string
	Type   RouteType
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the latency target of an answer, or of the first event of a stream.
	LatencyTarget time.Duration
	// MaxEventGap is the target for the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of instances that run one request.
	MaxAttempts int
	// Retained routes store each turn for Retention, so that a later turn can continue it.
	Retained  bool
	Retention time.Duration
	// Public routes need no key.
	Public bool
	// SessionAffinity routes answer faster at an instance that served the same affinity key before.
	SessionAffinity bool
	// Resumable streams may continue at another instance.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Type == Idempotent || r.Resumable }

// Target is a service and its weight among a route's targets.
type Target struct {
	Service chestnutcleat.ServiceName
	Weight  int
}

// Service describes the instances of a service.
type Service struct {
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// TokensPerEvent is the number of tokens per event.
	TokensPerEvent chestnutcleat.Tokens
}

// Customer holds a customer's API keys, priority and rate limit.
type Customer struct {
	ID   chestnutcleat.CustomerID
	Keys []string
	// Priority ranks customers; 0 is the highest, nil means none.
	Priority *int
	// Rate is in requests per second over all VMs; zero means no limit.
	Rate float64
	// Burst is the number of requests above the rate, over all VMs.
	Burst float64
}

// Limits bounds the size of requests.
type Limits struct {
	// MaxBodyBytes is the maximum body size in bytes.
	MaxBodyBytes int64
}
