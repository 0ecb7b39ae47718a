package chestnutcleat

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)
