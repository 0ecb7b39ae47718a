package chestnutcleat

// Pick describes a call for the choice of its upstream.
type Pick struct {
	Route RouteName `json:"route"`
	// Current is where the program's history is cached; empty for a new program.
	Current UpstreamID `json:"current,omitempty"`
	// Cached is the estimated number of prompt tokens that Current holds.
	Cached Tokens       `json:"cached,omitempty"`
	Prompt Tokens       `json:"prompt,omitempty"`
	Output Tokens       `json:"output,omitempty"`
	Avoid  []UpstreamID `json:"avoid,omitempty"`
}
