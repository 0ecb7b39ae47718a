package chestnutcleat

// Pick describes a call for which an upstream is to be chosen.
type Pick struct {
	Route RouteName `json:"route"`
	// Current is the upstream that caches the program's history; empty for a new program.
	Current UpstreamID `json:"current,omitempty"`
	// Cached is the estimated number of prompt tokens that Current holds.
	Cached Tokens       `json:"cached,omitempty"`
	Prompt Tokens       `json:"prompt,omitempty"`
	Output Tokens       `json:"output,omitempty"`
	Avoid  []UpstreamID `json:"avoid,omitempty"`
}
