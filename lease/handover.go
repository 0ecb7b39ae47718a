package lease

import "chestnutcleat.example/chestnutcleat"

// HandoverRequest sends the records of slots to their next owner before the change of owner is committed.
type HandoverRequest struct {
	From    Member                 `json:"from"`
	Slots   []chestnutcleat.Slot   `json:"slots"`
	Records []chestnutcleat.Record `json:"records,omitempty"`
	// Fleet is the fleet object after the commit; the other fields are then unset.
	Fleet *chestnutcleat.Object `json:"fleet,omitempty"`
}

// HandoverReply reports whether the new owner and a majority of its witnesses have stored the records.
type HandoverReply struct {
	Ready bool `json:"ready"`
}
