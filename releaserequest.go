package chestnutcleat

import "time"

// ReleaseRequest returns a ticket to the owner of the upstream and reports how the request went.
type ReleaseRequest struct {
	Ticket  Ticket        `json:"ticket"`
	Usage   Usage         `json:"usage"`
	Elapsed time.Duration `json:"elapsed"`
	// Failed is set when the upstream could not be reached or its connection broke.
	Failed bool `json:"failed,omitempty"`
	// Crashed is set when the connection broke after the request was sent.
	Crashed bool `json:"crashed,omitempty"`
	// NotSent is set when no byte of the request was sent.
	NotSent bool     `json:"unused,omitempty"`
	History []Digest `json:"history,omitempty"`
}
