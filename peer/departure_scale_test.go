package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/place"
)

// leaveAll lets all instances of a table say that they leave.
func leaveAll(t *place.Table) {
	for a := t.Pick(place.Request{Service: "s"}); a != nil; a = t.Pick(place.Request{Service: "s"}) {
		a.MarkLeaving(time.Now())
	}
}

func tableOf(instances int) *place.Table {
	t := place.NewTable()
	t.SetInstances(testInstances(instances))
	return t
}

// More instances than a report holds may leave at once and tell one VM only: all VMs must know all of them soon, also one that starts
// afterwards. Those beyond the bound were never reported.
func TestManyDeparturesOfOneVM(t *testing.T) {
	const instances, maxDelay, maxDelayAfterStart = 3 * place.MaxReportedLeaving, 10 * time.Second, 20 * time.Second
	for _, count := range []int{7, 40} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, nodes := connectedFleet(t, count)
				known := map[*node]*place.Table{}
				for _, n := range nodes {
					known[n] = tableOf(instances)
				}
				const teller = 3
				leaveAll(known[nodes[teller]])
				nodes[teller].mu.Lock()
				nodes[teller].placement = known[nodes[teller]]
				nodes[teller].mu.Unlock()
				knowsAll := func(n *node) bool {
					if n == nodes[0] {
						for _, n := range nodes {
							totals := n.Totals()
							known[n].ApplyDepartures(totals.Departures)
						}
					}
					return !known[n].CanPick(place.Request{Service: "s"})
				}
				took := timeUntil(nodes, teller, knowsAll)
				t.Logf("%d instances are known after %v", instances, took)
				is.True(took <= maxDelay)
				known[nodes[0]] = tableOf(instances) // as after a restart
				took = timeUntil(nodes, teller, knowsAll)
				t.Logf("known to a VM that started after %v", took)
				is.True(took <= maxDelayAfterStart)
				stopAll(nodes)
			})
		})
	}
}
