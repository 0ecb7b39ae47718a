package peer

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
)

// Instances that leave must get nothing from any VM of the fleet soon after the first VM was told: callers' requests went to them by
// other VMs until the registration changed.
func TestDeparturesReachFleet(t *testing.T) {
	const maxDelay = time.Second
	for _, count := range []int{7, 24, 100} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, nodes := connectedFleet(t, count)
				tables := make([]*place.Table, count)
				for i := range tables {
					tables[i] = place.NewTable()
					tables[i].SetInstances(testInstances(9))
				}
				for n := range 5 {
					teller := (n * 7) % count
					var a *place.Assignment
					for a == nil || !a.MarkLeaving(time.Now()) {
						a = tables[teller].Pick(place.Request{Service: "s"})
					}
					nodes[teller].setSummary(Summary{Departures: tables[teller].ObservedDepartures()})
					took := timeUntil(nodes, teller, func(node *node) bool {
						i := indexOf(nodes, node)
						totals := node.Totals()
						tables[i].ApplyDepartures(totals.Departures)
						return leavingCount(tables[i]) == n+1
					})
					is.True(took <= maxDelay)
				}
				stopAll(nodes)
			})
		})
	}
}

func testInstances(n int) []chestnutcleat.Instance {
	var list []chestnutcleat.Instance
	for i := range n {
		id := fmt.Sprint("i", i)
		list = append(list, chestnutcleat.Instance{ID: chestnutcleat.InstanceID(id), Service: "s", Slots: 4, Address: chestnutcleat.Address(id)})
	}
	return list
}

func indexOf(nodes []*node, n *node) int {
	for i := range nodes {
		if nodes[i] == n {
			return i
		}
	}
	return -1
}

// leavingCount returns the number of instances that a table gives no requests to.
func leavingCount(t *place.Table) int {
	var tried []chestnutcleat.InstanceID
	for {
		a := t.Pick(place.Request{Service: "s", Exclude: tried})
		if a == nil {
			return len(testInstances(9)) - len(tried)
		}
		a.End(place.Neutral)
		tried = append(tried, a.ID)
	}
}

// Messages that would be too long, as many requests broke instances' connections, must still tell which VMs run and which instances
// leave: a digest that did not fit was not sent at all, and the VMs of other groups were not told and counted as silent.
func TestDeparturesInLongMessages(t *testing.T) {
	const maxDelay, settle = time.Second, 3 * time.Second
	summary := func(i int, departures ...place.ProcessHash) Summary {
		s := Summary{CrashCounts: map[uint64]int{}, Departures: departures}
		for k := range uint64(500) {
			s.CrashCounts[math.MaxUint64-uint64(1000*i)-k] = 1
		}
		return s
	}
	for _, count := range []int{7, 40} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, nodes := connectedFleet(t, count)
				const left = place.ProcessHash(77)
				for i, n := range nodes {
					n.setSummary(summary(i))
				}
				time.Sleep(settle)
				nodes[3].setSummary(summary(3, left))
				took := timeUntil(nodes, 3, func(n *node) bool { return n.Totals().Departures[left] })
				t.Logf("known after %v", took)
				is.True(took <= maxDelay)
				for _, n := range nodes {
					is.Equal(n.heardCount(), count-1)
				}
				stopAll(nodes)
			})
		})
	}
}

// A VM that reports more instances than a summary may hold must not make messages grow without bound, nor its reports displace those
// of others.
func TestDeparturesOfFaultyVM(t *testing.T) {
	const maxDelay, settle = time.Second, 3 * time.Second
	var many []place.ProcessHash
	for i := range 2000 {
		many = append(many, place.ProcessHash(1000+i))
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, nodes := connectedFleet(t, 40)
		nodes[3].setSummary(Summary{Departures: many})
		time.Sleep(settle)
		for i, n := range nodes {
			if i != 3 {
				n.setSummary(Summary{Departures: []place.ProcessHash{place.ProcessHash(i)}})
			}
		}
		took := timeUntil(nodes, 3, func(n *node) bool {
			known := 0
			for i := range nodes {
				if n.Totals().Departures[place.ProcessHash(i)] {
					known++
				}
			}
			return known >= len(nodes)-2 // all but its own and that of the faulty VM
		})
		t.Logf("known after %v", took)
		is.True(took <= maxDelay)
		for _, n := range nodes {
			is.True(len(n.Totals().Departures) <= 2*maxDepartures)
		}
		stopAll(nodes)
	})
}
