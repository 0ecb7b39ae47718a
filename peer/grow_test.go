package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// startGrowing starts a fleet whose VMs learn of each other bit by bit, as each announces itself, in an order and at times that differ between VMs.
func startGrowing(t *testing.T, seed uint64, count int) []*node {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	network := newMemoryNetwork()
	var list []Member
	for i := range count {
		m := member(i)
		m.Domain = chestnutcleat.FailureDomain(fmt.Sprint("d", i%2))
		list = append(list, m)
	}
	random.Shuffle(count, func(i, j int) { list[i], list[j] = list[j], list[i] })
	var nodes []*node
	for i := range list {
		n := newNode(network, list[i])
		n.stop = runFleet(t, n.Fleet, time.Duration(random.Int64N(int64(300*time.Millisecond))))
		nodes = append(nodes, n)
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			known := 0
			for known < count {
				time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
				known = min(count, known+1+random.IntN(count/2))
				n.SetMembers(list[:known])
			}
		}()
	}
	return nodes
}

// VMs that come from one group to another, as the fleet grows, must still be heard. A relay passed on a summary without an incarnation for a VM that
// it knew by a digest only; the receivers took it for a new process and rejected the real one from then on.
func TestGrowingFleet(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 72
				nodes := startGrowing(t, seed, count)
				time.Sleep(5 * time.Second)
				for _, n := range nodes {
					if n.heardCount() != count-1 {
						t.Errorf("%s hears %d VMs of %d", n.Self.VM, n.heardCount(), count-1)
					}
				}
				stopAll(nodes)
			})
		})
	}
}
