package node

import "chestnutcleat.example/chestnutcleat"

// pair is two states that share the slots of one kind.
type pair struct {
	first, second chestnutcleat.Owned
}

// Import implements chestnutcleat.Owned.
func (p pair) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	p.first.Import(s, records, t)
	p.second.Import(s, records, t)
}

// Export implements chestnutcleat.Owned.
func (p pair) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	return append(p.first.Export(s), p.second.Export(s)...)
}

// Resume implements chestnutcleat.Owned.
func (p pair) Resume(s chestnutcleat.Slot) {
	p.first.Resume(s)
	p.second.Resume(s)
}

// Drop implements chestnutcleat.Owned.
func (p pair) Drop(s chestnutcleat.Slot) {
	p.first.Drop(s)
	p.second.Drop(s)
}
