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

// VMs that report more instances than a summary may hold must not make messages grow without bound, nor their reports displace those of
// others: several in one group filled its digest each time.
func TestDeparturesOfFaultyVMs(t *testing.T) {
	const settle = 3 * time.Second
	for _, tt := range []struct {
		faulty   int
		maxDelay time.Duration
	}{{1, time.Second}, {4, 10 * time.Second}} {
		t.Run(fmt.Sprint(tt.faulty, " faulty VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, nodes := connectedFleet(t, 40)
				// All faulty VMs are of one failure domain and so of one group.
				isFaulty := func(i int) bool { return i%testDomains == 3 && i/testDomains < tt.faulty }
				for i, n := range nodes {
					if isFaulty(i) {
						n.setSummary(Summary{Departures: departuresFrom(1000*(i+1), 2000)})
					}
				}
				time.Sleep(settle)
				for i, n := range nodes {
					if !isFaulty(i) {
						n.setSummary(Summary{Departures: departuresFrom(i, 1)})
					}
				}
				known := map[*node]map[int]bool{}
				took := timeUntil(nodes, -1, func(n *node) bool {
					if n == nodes[0] {
						noteDepartures(nodes, known)
					}
					return len(known[n]) >= len(nodes)-tt.faulty-1 // all but its own and those of faulty VMs
				})
				t.Logf("known after %v", took)
				is.True(took <= tt.maxDelay)
				for _, n := range nodes {
					is.True(len(n.Totals().Departures) <= (tt.faulty+1)*maxDepartures)
				}
				stopAll(nodes)
			})
		})
	}
}

func departuresFrom(first, count int) []place.ProcessHash {
	var list []place.ProcessHash
	for i := range count {
		list = append(list, place.ProcessHash(first+i))
	}
	return list
}

// noteDepartures adds which VMs' departures each node knows by now.
func noteDepartures(nodes []*node, known map[*node]map[int]bool) {
	for _, n := range nodes {
		if known[n] == nil {
			known[n] = map[int]bool{}
		}
		totals := n.Totals()
		for i := range nodes {
			if totals.Departures[place.ProcessHash(i)] {
				known[n][i] = true
			}
		}
	}
}
