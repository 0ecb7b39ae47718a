package lease

import "chestnutcleat.example/chestnutcleat"

// LogIndex is the position of an entry in one owner's journal: the epoch in the upper bits and a counter below it.
type LogIndex uint64

// Entry is a record with its position in the journal.
type Entry struct {
	Index  LogIndex             `json:"stamp"`
	Record chestnutcleat.Record `json:"record"`

	// encoded caches the entry's JSON.
	encoded []byte
}

// entryKey identifies a record; a newer entry with the same key replaces the older one.
type entryKey struct {
	slot chestnutcleat.Slot
	name string
}

func (e *Entry) key() entryKey { return entryKey{e.Record.Slot, e.Record.Name} }
