package chestnutcleat

// Record is an item of control state that must survive the loss of its owner.
type Record struct {
	Slot     Slot     `json:"slot"`
	Name     string   `json:"name"`
	Sequence Sequence `json:"sequence"`
	Data     []byte   `json:"data,omitempty"`
	Deleted  bool     `json:"deleted,omitempty"`
	// Urgent is set for records that are written to the platform first.
	Urgent bool `json:"urgent,omitempty"`
}

// Journal stores records at the owner's witnesses, the VMs that hold copies for it, and later at the platform.
type Journal interface {
	// Append stores records; done runs in the control goroutine, with a nil error once a majority of witnesses holds them.
	Append(records []Record, done func(error))
}

// Transfer describes how a slot moved to its new owner.
type Transfer struct {
	// Lost is set when the state that the previous owner held only in memory was lost.
	Lost bool `json:"lost,omitempty"`
	// Incomplete is set when records may be missing, for example because no majority of witnesses returned them all.
	Incomplete bool `json:"incomplete,omitempty"`
}

// SlotState is control state that is partitioned by slot and moves with the slots.
type SlotState interface {
	// Import loads a slot from the records of its previous owner.
	Import(s Slot, records []Record, t Transfer)
	// Export returns the records of a slot for its next owner.
	Export(s Slot) []Record
	// Resume serves a slot again that was exported but not taken over by another VM.
	Resume(s Slot)
	// Drop deletes the state of a slot that another VM now owns.
	Drop(s Slot)
}
