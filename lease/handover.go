package lease

import "chestnutcleat.example/chestnutcleat"

// HandoverRequest sends the records of slots to their next owner before the move is committed.
type HandoverRequest struct {
	From    Member                 `json:"from"`
	Slots   []chestnutcleat.Slot   `json:"slots"`
	Records []chestnutcleat.Record `json:"records,omitempty"`
	// Fleet is the fleet object after the move was committed; nothing else is set then.
	Fleet *chestnutcleat.Object `json:"fleet,omitempty"`
}

// HandoverReply tells that the successor and a majority of its witnesses hold the records.
type HandoverReply struct {
	Ready bool `json:"ready"`
}
