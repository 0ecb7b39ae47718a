package chestnutcleat

import "time"

// Summary is the state of a program as shown to its customer.
type Summary struct {
	Program ProgramID     `json:"program"`
	Started time.Time     `json:"started"`
	Calls   []CallSummary `json:"calls"`
	// Budget, Used and Reserved are numbers of tokens.
	Budget   Tokens `json:"budget"`
	Used     Tokens `json:"used"`
	Reserved Tokens `json:"reserved"`
	Ended    bool   `json:"ended"`
}
