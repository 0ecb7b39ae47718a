package chestnutcleat

import "time"

// AcquireRequest asks the owner of an upstream for a ticket.
type AcquireRequest struct {
	ID       RequestID  `json:"id"`
	Upstream UpstreamID `json:"upstream"`
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Level    Level      `json:"level"`
	Started  time.Time  `json:"started"`
	Deadline time.Time  `json:"deadline"`
	// History is the lookup key of the prompt's prefix in the cache index.
	History    []Digest      `json:"history,omitempty"`
	Prompt     Tokens        `json:"prompt"`
	Output     Tokens        `json:"output"`
	Repeatable bool          `json:"repeatable"`
	Isolated   bool          `json:"alone,omitempty"`
	Timeout    time.Duration `json:"timeout"`
}
