package chestnutcleat

// Answer is the complete final response of a call, kept so that a repeated request gets the same response.
type Answer struct {
	Status  int      `json:"status"`
	Type    string   `json:"type,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	Usage   Usage    `json:"usage"`
	Outcome Outcome  `json:"outcome"`
	Problem *Problem `json:"problem,omitempty"`
	// BodyDropped is set when the body was too large to store.
	BodyDropped bool `json:"dropped,omitempty"`
}
