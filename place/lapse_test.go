package place

import (
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// An instance whose entry vanishes and returns, as one that missed heartbeats does, still runs its requests. When it came back with a
// load of zero it was given more requests than it has slots, and the end of the old ones left it with a negative load for good.
func TestLoadOutlivesLapsedEntry(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	r := Request{Service: "s"}
	var running []*Assignment
	for range 3 {
		running = append(running, table.Pick(r))
	}
	table.SetInstances(nil)
	is.True(table.Pick(r) == nil)
	is.Equal(table.OwnLoad(), map[chestnutcleat.InstanceID]int{"i0": 3})
	running[0].End(Success)
	table.SetInstances(instances(1))
	is.Equal(table.OwnLoad(), map[chestnutcleat.InstanceID]int{"i0": 2})
	running[1].End(Success)
	running[2].End(Success)
	is.Equal(len(table.OwnLoad()), 0)
	table.Pick(r)
	is.Equal(table.OwnLoad(), map[chestnutcleat.InstanceID]int{"i0": 1})
}

// The state of an instance that is gone must not be kept after its last request.
func TestGoneInstanceIsForgotten(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	r := Request{Service: "s", Exclude: []chestnutcleat.InstanceID{"i1"}}
	a, b := table.Pick(r), table.Pick(r)
	a.End(Success)
	table.SetInstances(instances(2)[1:])
	is.Equal(len(table.byID), 2)
	b.End(Success)
	is.Equal(len(table.byID), 1)
	is.True(table.Pick(r) == nil)
	table.SetInstances(nil)
	is.Equal(len(table.byID), 0)
}
