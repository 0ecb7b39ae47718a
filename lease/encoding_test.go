package lease

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// The journal object must hold the newest record of each name, urgent ones first, within the platform's size limit.
// Otherwise the next owner loses calls that must not be repeated.
func TestObjectOrderAndLimit(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		count int
		whole bool
	}{
		{"empty", 0, 0, true},
		{"few", 100, 10, true},
		{"more than the limit", 64 << 10, 40, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(3)
			put := func(i int) {
				s.put(chestnutcleat.Record{Slot: 1, Name: fmt.Sprint(i), Data: make([]byte, tt.bytes), Urgent: i%2 == 0})
			}
			for i := range tt.count {
				put(i)
			}
			s.encodeJournal(3)
			// One of the records encoded before is superseded, another is deleted.
			if tt.count > 0 {
				put(1)
				s.put(chestnutcleat.Record{Slot: 1, Name: "2", Deleted: true})
			}
			data, whole := s.encodeJournal(3)
			is.Equal(whole, tt.whole)
			is.True(len(data) <= chestnutcleat.MaxObjectBytes)
			var j journalObject
			is.NoErr(json.Unmarshal(data, &j))
			is.Equal(j.Epoch, chestnutcleat.Epoch(3))
			seen := map[string]bool{}
			for i, e := range j.Entries {
				is.True(!seen[e.Record.Name] && !e.Record.Deleted)
				seen[e.Record.Name] = true
				is.Equal(e.Index, s.entries[e.key()].Index)
				if i > 0 {
					p := j.Entries[i-1]
					is.True(p.Record.Urgent && !e.Record.Urgent || p.Record.Urgent == e.Record.Urgent && p.Index > e.Index)
				}
			}
			if tt.whole {
				is.Equal(len(j.Entries), max(0, tt.count-1))
			} else {
				is.True(len(data) > chestnutcleat.MaxObjectBytes-2*tt.bytes)
			}
		})
	}
}

// The slots must be encoded in one byte each where possible: a fleet object with four times the bytes needed for the owners
// caused most of the traffic of a takeover. Objects with more holdings than one byte can address must still decode.
func TestOwnersArePacked(t *testing.T) {
	for _, tt := range []struct {
		name          string
		owners, bytes int
	}{
		{"one", 1, chestnutcleat.SlotCount},
		{"most of one byte", maxOneByteHoldings, chestnutcleat.SlotCount},
		{"least of two bytes", maxOneByteHoldings + 1, 2 * chestnutcleat.SlotCount},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f, back Fleet
			for s := range f.Owners {
				f.Owners[s] = holding{VM: "vm", Epoch: chestnutcleat.Epoch(s % tt.owners)}
			}
			holdings, slots := f.packOwners()
			is.Equal(len(holdings), tt.owners)
			is.Equal(len(slots), tt.bytes)
			is.NoErr(back.unpackOwners(holdings, slots))
			is.Equal(back.Owners, f.Owners)
			is.True(back.unpackOwners(holdings, slots[1:]) != nil)           // a slot is missing
			is.True(back.unpackOwners(holdings[:tt.owners-1], slots) != nil) // an owner is missing
		})
	}
}
