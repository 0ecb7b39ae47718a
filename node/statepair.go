package node

import "chestnutcleat.example/chestnutcleat"

// statePair combines two states that share the slots of one kind.
type statePair struct {
	first, second chestnutcleat.SlotState
}

// Import implements chestnutcleat.SlotState.
func (p statePair) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	p.first.Import(s, records, t)
	p.second.Import(s, records, t)
}

// Export implements chestnutcleat.SlotState.
func (p statePair) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	return append(p.first.Export(s), p.second.Export(s)...)
}

// Resume implements chestnutcleat.SlotState.
func (p statePair) Resume(s chestnutcleat.Slot) {
	p.first.Resume(s)
	p.second.Resume(s)
}

// Drop implements chestnutcleat.SlotState.
func (p statePair) Drop(s chestnutcleat.Slot) {
	p.first.Drop(s)
	p.second.Drop(s)
}
