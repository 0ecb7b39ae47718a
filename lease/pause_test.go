package lease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A small fleet must serve all slots again after a VM stood still, also when that happens while the VMs join.
func TestPauseWhileJoining(t *testing.T) {
	const count, longest, step = 3, 3 * time.Second, 50 * time.Millisecond
	const recoveryBound = 20 * time.Second
	for victim := range count {
		for at := step; at <= longest; at += step {
			t.Run(fmt.Sprint("vm", victim, " after ", at), func(t *testing.T) {
				parallel(t)
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, uint64(1+victim), count)
					defer c.close()
					c.step(at)
					pause(c, victim)
					c.step(pauseTime)
					c.untilServed(recoveryBound)
				})
			})
		}
	}
}
