package chestnutcleat

import "time"

// Request is one request of a caller, whichever interface it came by.
type Request struct {
	// ID is the caller's id of this attempt; upstreams echo it.
	ID       RequestID
	Received time.Time
	Host     string
	// Path is the request's path without its query.
	Path string
	// Key is the caller's secret; empty for none.
	Key string
	// Wait is how long the caller waits for the answer; zero means that it does not say.
	Wait time.Duration
	// Program is empty for a request outside programs.
	Program ProgramID
	// Branch is the line of turns of the program, such as one sub-agent's.
	Branch string
	// ProgramWait is the time left until the program is to be finished; zero means that it does not say.
	ProgramWait time.Duration
	// Budget is what all turns of the program may generate together; zero means that there is no limit.
	Budget Tokens
	// Prompt is the size of the prompt.
	Prompt Tokens
	// Output is the most that the turn generates.
	Output Tokens
	// Previous is the kept turn that this turn continues; empty for none.
	Previous RequestID
	// Resume is the id of the last event that the caller has; zero for none.
	Resume int
	// Affinity names the object that the request concerns; empty for none.
	Affinity string
	// Prefix names the shared parts of the prompt, in order.
	Prefix []PromptPart
}

// PromptPart is a part of a prompt that an engine's prefix cache may hold.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Until returns when the caller stops waiting, at most limit after the request was received.
func (q *Request) Until(limit time.Duration) time.Time {
	if q.Wait > 0 && (limit <= 0 || q.Wait < limit) {
		limit = q.Wait
	}
	return q.Received.Add(limit)
}
