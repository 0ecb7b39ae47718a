package chestnutcleat

import "time"

// Request is the decoded header of a caller's request, independent of the interface that received it.
type Request struct {
	// ID is the id that the caller gave this attempt; upstreams echo it.
	ID       RequestID
	Received time.Time
	Host     string
	// Path is the URL path without the query.
	Path string
	// Key is the caller's secret; empty for none.
	Key string
	// Wait is how long the caller waits for the response; zero means that it is not specified.
	Wait time.Duration
	// Program is the program that the request belongs to; empty for none.
	Program ProgramID
	// Branch names a sequence of turns within the program, such as that of one sub-agent.
	Branch string
	// ProgramWait is the time left for the whole program; zero means that it is not specified.
	ProgramWait time.Duration
	// Budget is the number of tokens that all turns of the program may generate together; zero means no limit.
	Budget Tokens
	// Prompt is the number of prompt tokens.
	Prompt Tokens
	// Output is the largest number of tokens that the turn may generate.
	Output Tokens
	// Previous is the stored turn that this turn continues; empty for none.
	Previous RequestID
	// HasEvents is set if the caller states that it has events of the stream, of which Resume is the last one's id.
	HasEvents bool
	Resume    int
	// Resumes is the earlier attempt of the caller that brought the stream's first event, if the caller takes a stream up again;
	// empty if it names none.
	Resumes RequestID
	// Affinity names the object that the request is about; empty for none.
	Affinity string
	// Prefix lists the parts of the prompt that it shares with other prompts, in order.
	Prefix []PromptPart
}

// TakesUp reports whether the request takes a stream up again after an event that the caller has.
func (r *Request) TakesUp() bool { return r.HasEvents }

// PromptPart is a part of a prompt that an engine's prefix cache may hold.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Deadline returns the deadline of the request: Wait after it was received, bounded by limit if limit is positive.
func (r *Request) Deadline(limit time.Duration) time.Time {
	if r.Wait > 0 && (limit <= 0 || r.Wait < limit) {
		limit = r.Wait
	}
	return r.Received.Add(limit)
}
