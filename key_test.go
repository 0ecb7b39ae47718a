package chestnutcleat

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Two customers whose ids and program ids join to the same text must not share a key.
func TestProgramKeyKeepsCustomersApart(t *testing.T) {
	is := is.New(t)
	is.True(ProgramKey("a", "b/c") != ProgramKey("a/b", "c"))
}

// Uneven slots would give one VM more than its share of the work.
func TestSlotsAreEven(t *testing.T) {
	is := is.New(t)
	var counts [SlotCount]int
	for i := range 100 * SlotCount {
		counts[ProgramKey("c", ProgramID(strconv.Itoa(i))).Slot()]++
	}
	for _, n := range counts {
		is.True(n < 100*SlotCount/64)
	}
}

// A slot beyond the last one, from a faulty message, would index past the slot table.
func TestSlotChecksItself(t *testing.T) {
	is := is.New(t)
	var s Slot
	is.NoErr(json.Unmarshal([]byte("4095"), &s))
	is.True(json.Unmarshal([]byte("4096"), &s) != nil)
	data, err := cbor.Marshal(4096)
	is.NoErr(err)
	is.True(cbor.Unmarshal(data, &s) != nil)
	is.Equal(s, Slot(4095))
}
