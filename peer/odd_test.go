package peer

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// A load that no VM can have must not attract requests: instances get work by free slots, so one that another VM reports a negative
// load of, or one whose sum overflowed, would have got all requests of its service.
func TestOddLoad(t *testing.T) {
	for _, load := range []int{-1, math.MinInt64, math.MaxInt64} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			list := []Member{member(0), member(1), member(2)}
			f := &Fleet{Self: list[0]}
			f.SetMembers(list)
			for i, n := range []int{load, 3} {
				s := Summary{Member: list[i+1], Incarnation: 1, Sequence: 1, Load: map[chestnutcleat.InstanceID]int{"i": n, "j": n}}
				data, err := vm.Encode(message{Summary: &s})
				is.NoErr(err)
				is.NoErr(f.handleDatagram(data))
			}
			totals := f.Totals()
			is.True(totals.Load("i") >= 3 && totals.Load("i") <= 3+maxCount)
			into := map[uint32]int{7: 3}
			addCounts(into, map[uint32]int{7: load})
			is.True(into[7] >= 3 && into[7] <= 3+maxCount)
		})
	}
}
