package chestnutcleat

import "time"

// TakeRequest asks a customer's owner for tokens of its rate.
type TakeRequest struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	Count    int        `json:"count"`
}

// TakeReply answers a TakeRequest.
type TakeReply struct {
	Admitted bool `json:"admitted"`
	// Level is the customer's fairness level at this moment.
	Level Level `json:"level"`
	// Retry is when the same request would be admitted if nothing else arrived.
	Retry time.Duration `json:"retry,omitempty"`
	// Moved is set when the customer's slot left this VM before the request was decided; ask the new owner.
	Moved bool `json:"moved,omitempty"`
}

// UsageReport tells a customer's owner what the customer's calls used.
type UsageReport struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	// Cost is the service received in seconds of one engine's time; zero for a call that did not run.
	Cost float64 `json:"cost"`
	// Take is the id of the request that admitted the call, which has ended.
	Take RequestID `json:"take,omitempty"`
}

// BeginRequest presents a call to its program's owner.
type BeginRequest struct {
	ID   RequestID `json:"id"`
	Call Call      `json:"call"`
}

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

// StartRequest records the intent to send a call to an upstream.
type StartRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Attempt  int        `json:"attempt"`
	Ticket   Ticket     `json:"ticket"`
}

// StartReply allows the dispatch or refuses it.
type StartReply struct {
	Problem *Problem `json:"problem,omitempty"`
}

// SettleRequest reports how a call ended.
type SettleRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Attempt  int        `json:"attempt"`
	Answer   Answer     `json:"answer"`
	Upstream UpstreamID `json:"upstream,omitempty"`
	// Crashed is set when the upstream's connection broke while it ran the call.
	Crashed bool `json:"crashed,omitempty"`
	// Again asks for another attempt instead of recording the answer.
	Again bool `json:"again,omitempty"`
	// History is the chained digest after the call's own answer was added.
	History []Digest `json:"history,omitempty"`
}

// SettleReply tells whether the entry VM must make another attempt.
type SettleReply struct {
	Next BeginReply `json:"next"`
}

// AcquireRequest asks an upstream's owner for a ticket.
type AcquireRequest struct {
	ID       RequestID  `json:"id"`
	Upstream UpstreamID `json:"upstream"`
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Level    Level      `json:"level"`
	Started  time.Time  `json:"started"`
	Deadline time.Time  `json:"deadline"`
	// History identifies the prompt's prefix in the cache index.
	History    []Digest      `json:"history,omitempty"`
	Prompt     Tokens        `json:"prompt"`
	Output     Tokens        `json:"output"`
	Repeatable bool          `json:"repeatable"`
	Alone      bool          `json:"alone,omitempty"`
	Timeout    time.Duration `json:"timeout"`
}

// AcquireReply grants a ticket, sends the call to a better upstream, or refuses.
type AcquireReply struct {
	Ticket *Ticket `json:"ticket,omitempty"`
	// Priority is a hint for the engine's own queue.
	Priority int `json:"priority,omitempty"`
	// Moved is set when the upstream takes no more work and the caller must choose again.
	Moved   bool     `json:"moved,omitempty"`
	Problem *Problem `json:"problem,omitempty"`
}

// ReleaseRequest returns a ticket.
type ReleaseRequest struct {
	Ticket  Ticket        `json:"ticket"`
	Usage   Usage         `json:"usage"`
	Elapsed time.Duration `json:"elapsed"`
	// Failed is set when the upstream could not be reached or broke off.
	Failed bool `json:"failed,omitempty"`
	// Crashed is set when the connection broke after the request was sent.
	Crashed bool `json:"crashed,omitempty"`
	// Unused is set when no byte was sent.
	Unused  bool     `json:"unused,omitempty"`
	History []Digest `json:"history,omitempty"`
}

// EndRequest ends a program.
type EndRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
}

// Ack is an empty answer.
type Ack struct{}
