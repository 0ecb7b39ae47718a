package chestnutcleat

// StartRequest records the intent to send a call to an upstream.
type StartRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
	Call     CallID     `json:"call"`
	Attempt  int        `json:"attempt"`
	Ticket   Ticket     `json:"ticket"`
}
