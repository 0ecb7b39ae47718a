package service

import "chestnutcleat.example/chestnutcleat"

// Faults are the faults that the stand-in injects; they are replaced by PUT /faults.
type Faults struct {
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// CutBefore breaks the connection before the execution.
	CutBefore bool `json:"cutBefore,omitempty"`
	// CutAfter breaks the connection after the execution and before the answer.
	CutAfter bool `json:"cutAfter,omitempty"`
	// CutBody breaks the connection in the middle of the answer's body.
	CutBody bool `json:"cutBody,omitempty"`
	// Hang waits after the execution until the client gives up.
	Hang bool `json:"hang,omitempty"`
	// Crossed answers with the id of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Status is the status of the answer after the execution.
	Status int `json:"status,omitempty"`
	// Times is the number of requests that meet the faults; zero means all.
	Times int `json:"times,omitempty"`
}
