package chestnutcleat

// AcquireReply grants a ticket, sends the call to a better upstream, or refuses.
type AcquireReply struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	// Priority is a hint for the engine's own queue.
	Priority int `json:"priority,omitempty"`
	// Moved is set when the upstream takes no more work and the caller must choose again.
	Moved   bool     `json:"moved,omitempty"`
	Problem *Problem `json:"problem,omitempty"`
}
