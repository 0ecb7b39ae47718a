package chestnutcleat

import "time"

// Manifest is the configuration that operators put into force.
type Manifest struct {
	Revision  Revision   `json:"revision"`
	Customers []Customer `json:"customers"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
	Limits    Limits     `json:"limits"`
}

// Customer is a customer of the manifest.
type Customer struct {
	ID CustomerID `json:"id"`
	// Keys are the SHA-256 digests of the customer's keys.
	Keys []Digest `json:"keys"`
	// Rate is in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is the share of the customer relative to others; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// UpstreamKind tells what an upstream is.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is an upstream of the manifest.
type Upstream struct {
	ID      UpstreamID    `json:"id"`
	Kind    UpstreamKind  `json:"kind"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Models lists the models of an engine and the adapters that it is to have loaded.
	Models []ModelName `json:"models,omitempty"`
	// Slots is the number of requests that it runs at the same time.
	Slots int `json:"slots"`
	// Cache is the size of an engine's prefix cache in tokens.
	Cache Tokens `json:"cache,omitempty"`
	// Prefill is an engine's prompt processing speed in tokens per second.
	Prefill float64 `json:"prefill,omitempty"`
	// Decode is an engine's generation speed in tokens per second for one request.
	Decode float64 `json:"decode,omitempty"`
	// Fencing is set when the upstream refuses orders with an old fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Role is the role that an engine is to have.
	Role string `json:"role,omitempty"`
	// Leaving is set when the upstream must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Route is a route of the manifest: a model for chat completions or a plain service.
type Route struct {
	Name RouteName    `json:"name"`
	Kind UpstreamKind `json:"kind"`
	// Model is the model of an engine route.
	Model     ModelName    `json:"model,omitempty"`
	Upstreams []UpstreamID `json:"upstreams"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Repeatable is true for routes whose calls are idempotent.
	Repeatable bool `json:"repeatable"`
	// Customers lists who may use the route; empty means every customer.
	Customers []CustomerID `json:"customers,omitempty"`
	// Timeout is the longest run time of one call.
	Timeout Duration `json:"timeout,omitempty"`
}

// Limits bounds what one program may use.
type Limits struct {
	// Tokens is the largest token budget of a program.
	Tokens Tokens `json:"tokens,omitempty"`
	// Calls is the largest number of calls of a program.
	Calls int `json:"calls,omitempty"`
	// Wall is the longest life of a program.
	Wall Duration `json:"wall,omitempty"`
	// Idle is the time without a call after which a program ends.
	Idle Duration `json:"idle,omitempty"`
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
}

// Default limits of a program.
const (
	DefaultTokens      Tokens        = 1_000_000
	DefaultCalls       int           = 1_000
	DefaultWall        time.Duration = 24 * time.Hour
	DefaultIdle        time.Duration = 10 * time.Minute
	DefaultBody        int64         = 8 << 20
	DefaultCallTimeout time.Duration = 2 * time.Minute
)
