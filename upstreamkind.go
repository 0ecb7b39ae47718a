package chestnutcleat

// UpstreamKind tells what an upstream is.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)
