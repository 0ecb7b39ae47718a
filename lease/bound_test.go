package lease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// longestGap returns the longest time for which a slot had no owner while the fleet runs for d.
func (c *cluster) longestGap(d time.Duration) time.Duration {
	var since [chestnutcleat.SlotCount]time.Time
	var longest time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.step(50 * time.Millisecond)
		var ok [chestnutcleat.SlotCount]bool
		for _, n := range c.nodes {
			for _, s := range c.served(n) {
				ok[s] = true
			}
		}
		for s := range since {
			switch {
			case ok[s]:
				since[s] = time.Time{}
			case since[s].IsZero():
				since[s] = time.Now().Add(-50 * time.Millisecond)
			default:
				longest = max(longest, time.Since(since[s]))
			}
		}
	}
	return longest
}

// Requests must wait at most 5 s after a kill and at most 500 ms after a graceful shutdown.
func TestOwnerGap(t *testing.T) {
	for name, bound := range map[string]time.Duration{"kill": takeoverBound, "leave": 500 * time.Millisecond, "calm": 500 * time.Millisecond} {
		var longest time.Duration
		for seed := range uint64(seedCount(5, 1)) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, seed, 7)
					defer c.close()
					c.untilServed(10 * time.Second)
					c.step(8 * time.Second)
					for _, f := range faults {
						if f.name == name {
							f.do(c, c.rand.IntN(7))
						}
					}
					got := c.longestGap(7 * time.Second)
					longest = max(longest, got)
					if got > bound {
						c.fail("a slot had no owner for %s", got)
					}
				})
			})
		}
		t.Logf("%s: longest time without owner %s", name, longest)
	}
}

// A request for a slot in transfer must wait until the transfer ends rather than be refused.
func TestWaitInTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		c.untilServed(10 * time.Second)
		c.step(3 * time.Second)
		n := c.nodes[0]
		key := chestnutcleat.CustomerKey("c")
		answers := make(chan error, 2)
		n.loop.Post(func() {
			n.keeper.slots[key.Slot()] = slotMoving
			n.keeper.CheckAfterTransfer(key, func(err error) { answers <- err })
			n.loop.After(100*time.Millisecond, func() {
				n.keeper.slots[key.Slot()] = slotReady
				n.keeper.resumeWaiting()
			})
		})
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if len(answers) != 0 {
			t.Fatalf("answered %v during the transfer", <-answers)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(answers) != 1 {
			t.Fatalf("%d answers, expected one", len(answers))
		}
		if err := <-answers; err != nil {
			t.Fatal(err)
		}
	})
}

// An idle fleet must call the platform at most once per 10 s and VM, not counting the open watch.
func TestIdlePlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 7)
		defer c.close()
		c.untilServed(10 * time.Second)
		c.step(8 * time.Second)
		c.idle.Store(true)
		c.step(3 * time.Second)
		calls := 0
		c.platform.locked(func() { calls = -c.platform.calls })
		c.step(time.Minute)
		c.platform.locked(func() { calls += c.platform.calls })
		if calls > 7*6 {
			t.Fatalf("%d platform calls by 7 idle VMs in a minute", calls)
		}
	})
}
