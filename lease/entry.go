package lease

import "chestnutcleat.example/chestnutcleat"

// Stamp orders the entries of one owner's journal.
type Stamp uint64

// Entry is a record as the journal keeps it.
type Entry struct {
	Stamp  Stamp                `json:"stamp"`
	Record chestnutcleat.Record `json:"record"`

	// encoded is the entry's JSON once it was written.
	encoded []byte
}

// entryKey identifies a record; a newer entry replaces the older one.
type entryKey struct {
	slot chestnutcleat.Slot
	name string
}

func (e *Entry) key() entryKey { return entryKey{e.Record.Slot, e.Record.Name} }
