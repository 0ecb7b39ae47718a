package engine

// Headers of the engines' protocol.
const (
	// HeaderRequest identifies a request; the engine echoes it and uses it as the answer's id.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the priority of a request; a lower number is served first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the number of bytes of answer text that a resumed stream skips; an engine that resumes echoes it.
	HeaderOffset = "X-Resume-Offset"
	// HeaderFence carries the fencing token of an order.
	HeaderFence = "X-Fencing-Token"
)
