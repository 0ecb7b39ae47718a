package chestnutcleat

import "time"

// Summary describes a program to its customer.
type Summary struct {
	Program ProgramID     `json:"program"`
	Started time.Time     `json:"started"`
	Calls   []CallSummary `json:"calls"`
	// Used and Reserved are tokens of the budget.
	Used     Tokens `json:"used"`
	Reserved Tokens `json:"reserved"`
	Ended    bool   `json:"ended"`
}
