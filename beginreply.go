package chestnutcleat

import "time"

// BeginReply tells the entry VM what to do with a call.
type BeginReply struct {
	// Run is set when the entry VM must run the call.
	Run bool `json:"run"`
	// Attempt distinguishes repeated runs of one call.
	Attempt int `json:"attempt,omitempty"`
	// Started is when the program started; the oldest program goes first.
	Started time.Time `json:"started"`
	// Upstream is where the program's history is cached; empty for a new program.
	Upstream UpstreamID `json:"upstream,omitempty"`
	// Cached is the estimated number of prompt tokens that Upstream holds.
	Cached Tokens `json:"cached,omitempty"`
	// Output is the largest number of tokens that the budget allows this call.
	Output Tokens `json:"output,omitempty"`
	// Until is when the program's wall-clock time ends; zero means that it is not limited.
	Until time.Time `json:"until,omitempty"`
	// Answer is the recorded answer of a call that ended before.
	Answer *Answer `json:"answer,omitempty"`
	// Problem is set when the call is refused.
	Problem *Problem `json:"problem,omitempty"`
	// Alone is set for a call suspected of crashing upstreams, which runs where no other suspect runs.
	Alone bool `json:"alone,omitempty"`
	// Avoid lists upstreams that failed while running this call.
	Avoid []UpstreamID `json:"avoid,omitempty"`
}
