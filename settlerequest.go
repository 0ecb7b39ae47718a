package chestnutcleat

// SettleRequest reports how an attempt of a call ended.
type SettleRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Attempt  int        `json:"attempt"`
	Answer   Answer     `json:"answer"`
	Upstream UpstreamID `json:"upstream,omitempty"`
	// Crashed is set when the upstream's connection broke while it ran the call.
	Crashed bool `json:"crashed,omitempty"`
	// Retry asks for another attempt; the answer is then not recorded.
	Retry bool `json:"again,omitempty"`
	// History holds the chained digests of the messages, including the call's own answer.
	History []Digest `json:"history,omitempty"`
}
