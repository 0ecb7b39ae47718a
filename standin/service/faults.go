package service

import "chestnutcleat.example/chestnutcleat"

// Faults holds the faults to inject. PUT /faults replaces them.
type Faults struct {
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// CutBefore closes the connection before the execution.
	CutBefore bool `json:"cutBefore,omitempty"`
	// CutAfter closes the connection after the execution and before the response.
	CutAfter bool `json:"cutAfter,omitempty"`
	// CutBody closes the connection in the middle of the response body.
	CutBody bool `json:"cutBody,omitempty"`
	// Hang makes the request wait after the execution until the client disconnects.
	Hang bool `json:"hang,omitempty"`
	// Crossed responds with the id of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Status is the status code of the response after the execution; zero means 200.
	Status int `json:"status,omitempty"`
	// Times is the number of requests to which the faults apply; zero means all.
	Times int `json:"times,omitempty"`
}
