package chestnutcleat

import "time"

// BeginReply tells the entry VM whether and how to run a call.
type BeginReply struct {
	// Run is set when the entry VM must run the call.
	Run bool `json:"run"`
	// Attempt numbers the runs of one call.
	Attempt int `json:"attempt,omitempty"`
	// Started is when the program started; queues serve the oldest program first.
	Started time.Time `json:"started"`
	// Upstream is the upstream that caches the program's history; empty for a new program.
	Upstream UpstreamID `json:"upstream,omitempty"`
	// Cached is the estimated number of prompt tokens that Upstream holds.
	Cached Tokens `json:"cached,omitempty"`
	// Output is the largest number of tokens that the budget lets this call generate.
	Output Tokens `json:"output,omitempty"`
	// WallClockEnd is when the program reaches its wall-clock limit; zero means that it has none.
	WallClockEnd time.Time `json:"until,omitempty"`
	// Answer is the stored answer of a call that has already ended.
	Answer *Answer `json:"answer,omitempty"`
	// Problem is set when the call is refused.
	Problem *Problem `json:"problem,omitempty"`
	// Isolated is set for a call suspected of crashing upstreams; an upstream runs at most one such call at a time.
	Isolated bool `json:"alone,omitempty"`
	// Avoid lists the upstreams that failed while they ran this call.
	Avoid []UpstreamID `json:"avoid,omitempty"`
}
