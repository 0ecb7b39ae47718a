package chestnutcleat

// AcquireReply grants a ticket, tells the caller to choose another upstream, or refuses the request.
type AcquireReply struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	// Priority is a hint for the engine's internal queue.
	Priority int `json:"priority,omitempty"`
	// ChooseAgain is set when the upstream accepts no more work and the sender must choose another one.
	ChooseAgain bool     `json:"moved,omitempty"`
	Problem     *Problem `json:"problem,omitempty"`
}
