//go:build !race

package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

// maxCoresPerVM is the part of a core that a VM may use to track the others: a fifth of the total budget of 0.025, as most of that
// goes into system calls.
const maxCoresPerVM = 0.005

// Tracking hundreds of VMs must be cheap: copying and sorting all of them at each step was not. The in-memory network needs no
// system calls, so these are not measured; the test is left out with the race detector, which costs several times as much.
func TestControlCost(t *testing.T) {
	const settle, step, steps, instances = 3 * time.Second, 200 * time.Millisecond, 50, 147
	for _, count := range fleetSizes {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, nodes := fleetOf(t, count)
				for i, n := range nodes {
					s := Summary{Load: map[chestnutcleat.InstanceID]int{}}
					for k := range 4 {
						s.Load[chestnutcleat.InstanceID(fmt.Sprint("instance-", (37*k+i)%instances))] = 1
					}
					n.setSummary(s)
				}
				time.Sleep(settle)
				start := resources.CPUTime(t)
				for range steps {
					time.Sleep(step)
					for _, n := range nodes {
						n.VMs()
						n.Totals()
					}
				}
				cores := (resources.CPUTime(t) - start).Seconds() / (steps * step).Seconds() / float64(count)
				t.Logf("%.4f of a core per VM", cores)
				if cores > maxCoresPerVM {
					t.Errorf("a VM of %d uses %.4f of a core, expected at most %.4f", count, cores, maxCoresPerVM)
				}
				stopAll(nodes)
			})
		})
	}
}
