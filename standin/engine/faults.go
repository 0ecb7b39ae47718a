package engine

import "chestnutcleat.example/chestnutcleat"

// Faults holds the faults to inject. PUT /faults replaces them.
type Faults struct {
	// Latency is the delay before a request is processed.
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// CrashText is a text that crashes the engine if a request body contains it.
	CrashText string `json:"crash,omitempty"`
	// Restart is how long the engine aborts new requests after a crash.
	Restart chestnutcleat.Duration `json:"restart,omitempty"`
	// Hang makes requests wait until the client disconnects or the engine crashes.
	Hang bool `json:"hang,omitempty"`
	// Refuse closes connections without processing the request.
	Refuse bool `json:"refuse,omitempty"`
	// CutAfterHeaders closes the connection after the headers and before the first event.
	CutAfterHeaders bool `json:"cutHeaders,omitempty"`
	// CutAfterTokens closes the connection of a stream after this number of tokens, and that of any other response in the middle of its body.
	CutAfterTokens int `json:"cut,omitempty"`
	// CutBeforeEnd closes the connection of a stream before its final events, and that of any other response in the middle of its body.
	CutBeforeEnd bool `json:"loseEnd,omitempty"`
	// WrongID responds with the id of another request.
	WrongID bool `json:"crossed,omitempty"`
	// Status is the status code of an error response that replaces the generation.
	Status int `json:"status,omitempty"`
	// NoResume makes the engine ignore the resume offset.
	NoResume bool `json:"noResume,omitempty"`
	// Requests is the number of requests to which the faults apply; zero means all.
	Requests int `json:"times,omitempty"`
}
