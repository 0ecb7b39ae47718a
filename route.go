package chestnutcleat

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
