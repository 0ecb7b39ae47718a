package chestnutcleat

// Answer is the whole final answer of a call, kept for callers that ask again.
type Answer struct {
	Status  int      `json:"status"`
	Type    string   `json:"type,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	Usage   Usage    `json:"usage"`
	Outcome Outcome  `json:"outcome"`
	Problem *Problem `json:"problem,omitempty"`
	// Dropped is set when the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}
