package chestnutcleat

import (
	"strconv"
	"testing"

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
