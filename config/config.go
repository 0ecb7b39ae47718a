package config

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Revision is the platform's version of the object; higher ones replace lower ones.
	Revision chestnutcleat.Version
	// Number is the operators' own version number.
	Number    int64
	Routes    []Route
	Services  map[chestnutcleat.ServiceName]Service
	Customers []Customer
	Limits    Limits
}

// Type tells what may be repeated.
type Type string

// Types of routes.
const (
	Idempotent    Type = "idempotent"
	NonIdempotent Type = "non-idempotent"
	Streaming     Type = "streaming"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   chestnutcleat.RouteName
	Host   string
	Prefix string
	Type   Type
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// Gap is the longest pause between the events of a stream that is on time.
	Gap time.Duration
	// Priority is the rank of the route: 0 first.
	Priority int
	Targets  []Target
	// Attempts is the largest number of instances that run one request.
	Attempts int
	// Kept routes keep each turn for Retention.
	Kept      bool
	Retention time.Duration
	// Public routes need no key.
	Public bool
	// Affine routes are faster at an instance that handled the same object before.
	Affine bool
	// Resumable streams may go on at another instance.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Type == Idempotent || r.Resumable }

// Target is a service and its share of a route's requests.
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
	// Chunk is the number of tokens of one event.
	Chunk chestnutcleat.Tokens
}

// Customer is a customer with its keys and rate.
type Customer struct {
	ID   chestnutcleat.CustomerID
	Keys []string
	// Priority ranks customers: 0 first; nil for none.
	Priority *int
	// Rate is in requests per second over all VMs; zero means that there is no limit.
	Rate float64
	// Burst is in requests over all VMs.
	Burst float64
}

// Limits bounds what a caller may send.
type Limits struct {
	// Body is in bytes.
	Body int64
}
