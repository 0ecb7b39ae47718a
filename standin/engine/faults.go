package engine

import "chestnutcleat.example/chestnutcleat"

// Faults are the faults that the stand-in injects; they are replaced by PUT /faults.
type Faults struct {
	// Latency delays each answer.
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// Crash is a text; a request whose body contains it crashes the engine.
	Crash string `json:"crash,omitempty"`
	// Restart is how long the engine refuses every connection after a crash.
	Restart chestnutcleat.Duration `json:"restart,omitempty"`
	// Hang lets requests wait until the client gives up.
	Hang bool `json:"hang,omitempty"`
	// Refuse cuts connections before the request is read.
	Refuse bool `json:"refuse,omitempty"`
	// CutHeaders cuts the connection after the headers and before the first event.
	CutHeaders bool `json:"cutHeaders,omitempty"`
	// Cut cuts a stream after this number of tokens.
	Cut int `json:"cut,omitempty"`
	// LoseEnd cuts a stream before its final events.
	LoseEnd bool `json:"loseEnd,omitempty"`
	// Crossed answers with the id of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Status answers with this status instead of running the request.
	Status int `json:"status,omitempty"`
	// NoResume ignores the resume offset.
	NoResume bool `json:"noResume,omitempty"`
	// Times is the number of requests that meet the faults; zero means all.
	Times int `json:"times,omitempty"`
}
