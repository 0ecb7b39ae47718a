package engine

// Headers of requests to engines.
const (
	// HeaderRequest carries the id of a request; the engine echoes it and uses it as the id of the completion.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority carries the priority of a request; lower numbers are served first.
	HeaderPriority = "X-Priority"
	// HeaderOffset carries the number of bytes of text that a resumed stream skips; an engine that resumes echoes it.
	HeaderOffset = "X-Resume-Offset"
	// HeaderFence carries the fencing token of an order.
	HeaderFence = "X-Fencing-Token"
)
