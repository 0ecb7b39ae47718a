package chestnutcleat

// Upstream describes a model engine or a plain service in the manifest.
type Upstream struct {
	ID      UpstreamID    `json:"id"`
	Kind    UpstreamKind  `json:"kind"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Version is the version of the upstream's software; a stream goes on only at an upstream of the same one.
	Version SoftwareVersion `json:"version,omitempty"`
	// Models lists the models of an engine and the adapters that it should have loaded.
	Models []ModelName `json:"models,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Cache is the size of an engine's prefix cache in tokens.
	Cache Tokens `json:"cache,omitempty"`
	// Prefill is an engine's prompt processing speed in tokens per second.
	Prefill float64 `json:"prefill,omitempty"`
	// Decode is an engine's generation speed in tokens per second for one request.
	Decode float64 `json:"decode,omitempty"`
	// Fencing is set when the upstream rejects commands with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Role is the role that an engine should have.
	Role string `json:"role,omitempty"`
	// Leaving is set when the upstream must not get new requests.
	Leaving bool `json:"leaving,omitempty"`
}
