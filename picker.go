package chestnutcleat

// Candidate is an upstream that a request may run on.
type Candidate struct {
	Upstream Upstream
	// Load is the latest summary known; it may be half a second old. The zero Load means that none is known.
	Load Load
	// Cached is the part of the prompt that the upstream probably has in its prefix cache.
	Cached Tokens
}

// PickRequest asks for an upstream.
type PickRequest struct {
	Candidates []Candidate
	// Current is the upstream of the program's last call; empty for a new program.
	Current UpstreamID
	Prompt  Tokens
	Output  Tokens
	Avoid   []UpstreamID
}

// Picker chooses an upstream for a request.
type Picker interface {
	// Pick returns false if no candidate takes work.
	Pick(r PickRequest) (UpstreamID, bool)
}
