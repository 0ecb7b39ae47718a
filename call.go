package chestnutcleat

import "time"

// Call is one call of a program as its entry VM describes it to the program's owner.
type Call struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	ID       CallID     `json:"id"`
	// After is the call that must have ended before; empty for the first call of a branch.
	After CallID `json:"after,omitempty"`
	// Parent is the call that started this branch (a sub-agent).
	Parent CallID    `json:"parent,omitempty"`
	Route  RouteName `json:"route"`
	// Body is the digest of the method, path and body.
	Body Digest `json:"body"`
	// History is the chained digest of the messages, one entry per message; empty for plain services.
	History []Digest `json:"history,omitempty"`
	// Prompt is the estimated number of prompt tokens.
	Prompt Tokens `json:"prompt,omitempty"`
	// Output is the largest number of tokens that the call may generate.
	Output     Tokens    `json:"output,omitempty"`
	Repeatable bool      `json:"repeatable"`
	Deadline   time.Time `json:"deadline,omitempty"`
	// Budget is the token budget that the caller sets for the whole program; zero means the manifest's limit.
	Budget Tokens `json:"budget,omitempty"`
}
