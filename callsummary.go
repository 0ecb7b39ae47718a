package chestnutcleat

// CallState is the state of a call at its program's owner.
type CallState string

// States of a call.
const (
	CallRunning CallState = "running"
	CallEnded   CallState = "ended"
)

// CallSummary describes one call of a program.
type CallSummary struct {
	ID     CallID    `json:"id"`
	After  CallID    `json:"after,omitempty"`
	Parent CallID    `json:"parent,omitempty"`
	State  CallState `json:"state"`
	// Outcome is empty while the call runs.
	Outcome Outcome `json:"outcome,omitempty"`
	Attempt int     `json:"attempt"`
	Usage   Usage   `json:"usage"`
}
