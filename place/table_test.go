package place

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func instances(n int) []chestnutcleat.Instance {
	var list []chestnutcleat.Instance
	for i := range n {
		list = append(list, chestnutcleat.Instance{
			ID: chestnutcleat.InstanceID(fmt.Sprint("i", i)), Service: "s", Slots: 32,
			Address: chestnutcleat.Address(fmt.Sprintf("10.0.0.%d:80", i)), Domain: chestnutcleat.FailureDomain(fmt.Sprint(i % 3)),
		})
	}
	return list
}

func newTable(n int) *Table {
	t := NewTable()
	t.SetInstances(instances(n))
	return t
}

// Requests with the same key must go to the instance that has the program's prompts cached, whichever VM they arrive at.
func TestKeyAffinity(t *testing.T) {
	is := is.New(t)
	a, b := newTable(9), newTable(9)
	for i := range 100 {
		r := Request{Service: "s", Key: fmt.Sprint("program ", i)}
		fromA, fromB := a.Pick(r), b.Pick(r)
		is.Equal(fromA.ID, fromB.ID)
		fromA.End(Success)
		fromB.End(Success)
	}
}

// Programs whose keys hash to one instance must not overload it while others are idle.
func TestLoadIsBounded(t *testing.T) {
	is := is.New(t)
	table := newTable(9)
	counts := map[chestnutcleat.InstanceID]int{}
	for i := range 180 {
		counts[table.Pick(Request{Service: "s", Key: fmt.Sprint("p", i%4)}).ID]++
	}
	for _, n := range counts {
		is.True(n <= 20*maxLoadFactor+loadSlack+1)
	}
}

// Load that other VMs report must count like this VM's own: full instances get nothing while another one has a free slot.
func TestRemoteLoadCounts(t *testing.T) {
	is := is.New(t)
	table := newTable(3)
	load := map[chestnutcleat.InstanceID]int{"i0": 32, "i2": 40}
	table.SetRemoteLoad(func(id chestnutcleat.InstanceID) int { return load[id] })
	for range 32 {
		is.Equal(table.Pick(Request{Service: "s"}).ID, chestnutcleat.InstanceID("i1"))
	}
	counts := countPicks(table, 2000, Request{Service: "s"})
	is.True(counts["i0"] > 0 && counts["i1"] > 0 && counts["i2"] > 0) // all full: each gets some
}

// countPicks returns how often each instance is picked when each request ends at once.
func countPicks(table *Table, n int, r Request) map[chestnutcleat.InstanceID]int {
	counts := map[chestnutcleat.InstanceID]int{}
	for range n {
		a := table.Pick(r)
		a.End(Success)
		counts[a.ID]++
	}
	return counts
}

// Requests without a key must prefer instances of their failure domain, as traffic between domains costs
// extra, without overloading them.
func TestSameDomainPreferred(t *testing.T) {
	is := is.New(t)
	counts := countPicks(newTable(3), 4000, Request{Service: "s", Domain: "2"})
	is.True(counts["i2"] > 1800 && counts["i2"] < 2200) // half of them
}

// A leaving instance must get nothing, even if it is the last one, and no instance gets the same request twice.
func TestLeavingInstanceGetsNothing(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	list := instances(2)
	list[0].Leaving = true
	table.SetInstances(list)
	for range 10 {
		is.Equal(table.Pick(Request{Service: "s", Key: "p"}).ID, chestnutcleat.InstanceID("i1"))
	}
	is.True(table.Pick(Request{Service: "s", Exclude: []chestnutcleat.InstanceID{"i1"}}) == nil)
	is.True(table.Pick(Request{Service: "other"}) == nil)
}

// An unreachable instance must be skipped for a backoff that grows, and be used again when the backoff ends or no other one is left.
func TestBackoffAfterConnectionFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(2)
		r := Request{Service: "s", Key: "p"}
		first := table.Pick(r)
		first.End(ConnectionError)
		other := table.Pick(r)
		is.True(other.ID != first.ID)
		other.End(ConnectionError)
		is.True(table.Pick(r) != nil) // both in backoff
		time.Sleep(minBackoff)
		again := table.Pick(r)
		is.Equal(again.ID, first.ID)
		again.End(ConnectionError)
		time.Sleep(minBackoff)
		is.Equal(table.Pick(r).ID, other.ID) // the second backoff is longer
	})
}

// An instance that restarts under its id, or changes its address, must not inherit the state of the process before.
func TestRestartedInstance(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	a := table.Pick(Request{Service: "s"})
	list := instances(1)
	list[0].StartedAt = 7
	table.SetInstances(list)
	is.Equal(len(table.OwnLoad()), 0)
	a.End(Success)
	is.Equal(len(table.OwnLoad()), 0)
	is.Equal(table.Pick(Request{Service: "s"}).StartedAt, int64(7))
	table.SetInstances(nil)
	is.True(table.Pick(Request{Service: "s"}) == nil)
}
