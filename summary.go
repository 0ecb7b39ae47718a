package chestnutcleat

import "time"

// ProgramSummary describes a program to its customer.
type ProgramSummary struct {
	ID       ProgramID     `json:"id"`
	Started  time.Time     `json:"started"`
	Ended    bool          `json:"ended"`
	Budget   Tokens        `json:"budget"`
	Used     Tokens        `json:"used"`
	Reserved Tokens        `json:"reserved"`
	Calls    []CallSummary `json:"calls"`
}

// CallSummary describes a call of a program.
type CallSummary struct {
	ID      CallID  `json:"id"`
	After   CallID  `json:"after,omitempty"`
	Parent  CallID  `json:"parent,omitempty"`
	Ended   bool    `json:"ended"`
	Attempt int     `json:"attempt"`
	Outcome Outcome `json:"outcome,omitempty"`
	Usage   Usage   `json:"usage"`
}
