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
	// WrongID responds with the id of another request.
	WrongID bool `json:"crossed,omitempty"`
	// Status is the status code of the response after the execution; zero means 200.
	Status int `json:"status,omitempty"`
	// Requests is the number of requests to which the faults apply; zero means all.
	Requests int `json:"times,omitempty"`
}
