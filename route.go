package chestnutcleat

// Route maps a model for chat completions or a plain service to its upstreams.
type Route struct {
	Name RouteName    `json:"name"`
	Kind UpstreamKind `json:"kind"`
	// Model is the model of an engine route.
	Model     ModelName    `json:"model,omitempty"`
	Upstreams []UpstreamID `json:"upstreams"`
	// Open is set for a route that needs no key.
	Open bool `json:"open,omitempty"`
	// Repeatable is set for a route whose calls are idempotent.
	Repeatable bool `json:"repeatable"`
	// Customers lists the customers that may use the route; empty means all.
	Customers []CustomerID `json:"customers,omitempty"`
	// Timeout is the longest run time of one call; zero means DefaultCallTimeout.
	Timeout Duration `json:"timeout,omitempty"`
}
