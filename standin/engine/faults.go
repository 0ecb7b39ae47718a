package engine

import "chestnutcleat.example/chestnutcleat"

// Faults holds the faults to inject. PUT /faults replaces them.
type Faults struct {
	// Latency is the delay before a request is processed.
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// Crash is a text that crashes the engine if a request body contains it.
	Crash string `json:"crash,omitempty"`
	// Restart is how long the engine aborts new requests after a crash.
	Restart chestnutcleat.Duration `json:"restart,omitempty"`
	// Hang makes requests wait until the client disconnects or the engine crashes.
	Hang bool `json:"hang,omitempty"`
	// Refuse closes connections without processing the request.
	Refuse bool `json:"refuse,omitempty"`
	// CutHeaders closes the connection after the headers and before the first event.
	CutHeaders bool `json:"cutHeaders,omitempty"`
	// Cut closes the connection of a stream after this number of tokens, and that of any other response in the middle of its body.
	Cut int `json:"cut,omitempty"`
	// LoseEnd closes the connection of a stream before its final events, and that of any other response in the middle of its body.
	LoseEnd bool `json:"loseEnd,omitempty"`
	// Crossed responds with the id of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Status is the status code of an error response that replaces the generation.
	Status int `json:"status,omitempty"`
	// NoResume makes the engine ignore the resume offset.
	NoResume bool `json:"noResume,omitempty"`
	// Times is the number of requests to which the faults apply; zero means all.
	Times int `json:"times,omitempty"`
}
