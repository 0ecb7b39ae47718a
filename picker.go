package chestnutcleat

// Candidate is an upstream that a request may run on.
type Candidate struct {
	Upstream Upstream
	// Load is the latest known summary, which may be half a second old; the zero Load means that none is known.
	Load Load
	// Cached is the estimated number of prompt tokens in the upstream's prefix cache.
	Cached Tokens
}

// PickRequest describes a request for which a Picker chooses an upstream.
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
	// Pick returns the chosen upstream, or false if no candidate accepts work.
	Pick(r PickRequest) (UpstreamID, bool)
}
