package chestnutcleat

// Record is a piece of control state that must survive its owner.
type Record struct {
	Slot     Slot     `json:"slot"`
	Name     string   `json:"name"`
	Sequence Sequence `json:"sequence"`
	Data     []byte   `json:"data,omitempty"`
	Deleted  bool     `json:"deleted,omitempty"`
	// Urgent records are flushed to the platform first.
	Urgent bool `json:"urgent,omitempty"`
}

// Journal keeps records on the witnesses and at the platform.
type Journal interface {
	// Append stores records; done runs in the control goroutine once a majority of witnesses holds them.
	Append(records []Record, done func(error))
}

// Transfer tells how a slot came to its new owner.
type Transfer struct {
	// Lost is set when the previous owner died, so that its memory was lost.
	Lost bool `json:"lost,omitempty"`
	// Incomplete is set when records may be missing, as no majority of witnesses held them all.
	Incomplete bool `json:"incomplete,omitempty"`
}

// Owned is control state that belongs to slots and moves with them.
type Owned interface {
	// Import takes over a slot with the records of its previous owner.
	Import(s Slot, records []Record, t Transfer)
	// Export returns the records of a slot for its next owner.
	Export(s Slot) []Record
	// Resume goes on with a slot that was exported and that no other VM took over.
	Resume(s Slot)
	// Drop forgets a slot that another VM owns now.
	Drop(s Slot)
}
