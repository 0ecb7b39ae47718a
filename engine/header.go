package engine

// Headers of requests to engines.
const (
	// HeaderRequest carries the id of a request; the engine echoes it and uses it as the id of the completion.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority carries the priority of a request; lower numbers are served first.
	HeaderPriority = "X-Priority"
	// HeaderResumeOffset carries the number of bytes of text that a resumed stream skips; an engine that resumes echoes it.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderFencingToken carries the fencing token of an order.
	HeaderFencingToken = "X-Fencing-Token"
)
