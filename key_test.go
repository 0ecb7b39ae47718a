package chestnutcleat

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Two customers must not share a key if their ids and program ids concatenate to the same text.
func TestProgramKeysDifferBetweenCustomers(t *testing.T) {
	is := is.New(t)
	is.True(ProgramKey("a", "b/c") != ProgramKey("a/b", "c"))
}

// An uneven hash would give some slots, and thus some VMs, more than their share of the work.
func TestSlotDistribution(t *testing.T) {
	is := is.New(t)
	var counts [SlotCount]int
	for i := range 100 * SlotCount {
		counts[ProgramKey("c", ProgramID(strconv.Itoa(i))).Slot()]++
	}
	for _, n := range counts {
		is.True(n < 100*SlotCount/64)
	}
}

// An out-of-range slot in a malformed message would index past the end of the slot table.
func TestSlotRejectsOutOfRange(t *testing.T) {
	is := is.New(t)
	var s Slot
	is.NoErr(json.Unmarshal([]byte("4095"), &s))
	is.True(json.Unmarshal([]byte("4096"), &s) != nil)
	data, err := cbor.Marshal(4096)
	is.NoErr(err)
	is.True(cbor.Unmarshal(data, &s) != nil)
	is.Equal(s, Slot(4095))
}
