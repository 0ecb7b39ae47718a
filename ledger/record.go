package ledger

import "chestnutcleat.example/chestnutcleat"

// Kind tells what a record says.
type Kind uint8

// Kinds of records.
const (
	// Reserve holds the most that an attempt may use of its program's budget.
	Reserve Kind = iota + 1
	// Settle replaces an attempt's reservation by what it used.
	Settle
	// Keep holds a turn's input and output.
	Keep
	// Adopt holds the set of copies that this copy serves.
	Adopt
	// Whole marks a copy that has all records of earlier versions of the set.
	Whole
)

// Record is one entry of a copy's log.
type Record struct {
	Kind     Kind                     `json:"k"`
	Customer chestnutcleat.CustomerID `json:"c,omitempty"`
	Program  chestnutcleat.ProgramID  `json:"p,omitempty"`
	// Attempt is the request that reserved, settled or is kept.
	Attempt chestnutcleat.RequestID `json:"a,omitempty"`
	Tokens  chestnutcleat.Tokens    `json:"t,omitempty"`
	// Previous is the kept turn before this one; empty at the start of a chain.
	Previous chestnutcleat.RequestID `json:"r,omitempty"`
	Input    []byte                  `json:"i,omitempty"`
	Output   []byte                  `json:"o,omitempty"`
	// Until is the Unix time in seconds at which the record may be forgotten unless its program or chain is used later.
	Until int64 `json:"u,omitempty"`
	// Copies is set in Adopt records.
	Copies *chestnutcleat.Copies `json:"s,omitempty"`
}

// Turn is a kept turn.
type Turn struct {
	ID       chestnutcleat.RequestID `json:"a"`
	Previous chestnutcleat.RequestID `json:"r,omitempty"`
	Input    []byte                  `json:"i"`
	Output   []byte                  `json:"o"`
}

// Attempt is what one attempt of a program reserved or used.
type Attempt struct {
	ID chestnutcleat.RequestID `json:"a"`
	// Tokens is the reservation, or what was used once Settled.
	Tokens  chestnutcleat.Tokens `json:"t"`
	Settled bool                 `json:"s,omitempty"`
}
