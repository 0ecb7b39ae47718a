package chestnutcleat

// CallState is the state of a call as recorded by the owner of its program.
type CallState string

// States of a call.
const (
	CallRunning CallState = "running"
	CallEnded   CallState = "ended"
)

// CallSummary is the entry of one call in a program's Summary.
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
