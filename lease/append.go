package lease

import "chestnutcleat.example/chestnutcleat"

// AppendRequest replicates journal entries to a witness.
type AppendRequest struct {
	Subject chestnutcleat.VMID  `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Entries hold all changes with an index above After and up to To; with After 0 they replace all earlier entries.
	After   LogIndex `json:"from"`
	To      LogIndex `json:"to"`
	Entries []Entry  `json:"entries,omitempty"`
	// TrimTo is the index up to which tombstones of deleted records may be removed.
	TrimTo LogIndex `json:"trim,omitempty"`
}

// AppendReply reports whether the witness stored the entries.
type AppendReply struct {
	Stored      bool                      `json:"held"`
	Incarnation chestnutcleat.Incarnation `json:"incarnation"`
	// MissingRecords is set when the witness lacks entries before the request's first one.
	MissingRecords bool `json:"blank,omitempty"`
}
