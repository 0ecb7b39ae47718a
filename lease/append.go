package lease

import "chestnutcleat.example/chestnutcleat"

// AppendRequest sends records to a witness.
type AppendRequest struct {
	Subject chestnutcleat.VMID  `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Entries hold all changes after From and up to To; From 0 replaces everything.
	From    Stamp   `json:"from"`
	To      Stamp   `json:"to"`
	Entries []Entry `json:"entries,omitempty"`
	// Trim is the stamp up to which deleted records may be forgotten.
	Trim Stamp `json:"trim,omitempty"`
}

// AppendReply tells whether the witness holds the records.
type AppendReply struct {
	Held        bool                      `json:"held"`
	Incarnation chestnutcleat.Incarnation `json:"incarnation"`
	// Blank is set when the witness lacks earlier records.
	Blank bool `json:"blank,omitempty"`
}
