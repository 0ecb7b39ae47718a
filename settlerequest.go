package chestnutcleat

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
