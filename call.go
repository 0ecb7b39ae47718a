package chestnutcleat

import "time"

// Call describes one call of a program, as the entry VM sends it to the program's owner.
type Call struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	ID       CallID     `json:"id"`
	// After is the call that must end before this one starts; empty for the first call of a branch.
	After CallID `json:"after,omitempty"`
	// Parent is the call that started this branch, such as a sub-agent.
	Parent CallID    `json:"parent,omitempty"`
	Route  RouteName `json:"route"`
	// BodyDigest is the digest of the request's method, path and body.
	BodyDigest Digest `json:"body"`
	// History holds one chained digest per message, each covering all messages up to it; empty for plain services.
	History []Digest `json:"history,omitempty"`
	// Prompt is the estimated number of prompt tokens.
	Prompt Tokens `json:"prompt,omitempty"`
	// Output is the largest number of tokens that the call may generate.
	Output     Tokens    `json:"output,omitempty"`
	Repeatable bool      `json:"repeatable"`
	Deadline   time.Time `json:"deadline,omitempty"`
	// Budget is the caller's token budget for the whole program; zero means the limit in the manifest.
	Budget Tokens `json:"budget,omitempty"`
}
