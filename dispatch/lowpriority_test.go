package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

func lowPriority(r *chestnutcleat.AcquireRequest) { r.Level = 1 + chestnutcleat.Level(len(r.ID)%2) }

// Guards against starvation of a customer above its fair share, and against more grants than its bound because its
// programs are the oldest. One of 20 grants goes to the longest waiting request above level 0.
func TestLowPriorityShare(t *testing.T) {
	run(t, func(x *fixture) {
		x.acquire("g0", nil)
		held := []string{"behind", "second", "last"}
		for _, id := range held {
			x.acquire(id, lowPriority)
		}
		x.acquire("g1", func(r *chestnutcleat.AcquireRequest) { r.Started = time.Now() })
		running := "g0"
		for grant := 1; grant <= 20*len(held); grant++ {
			next := fmt.Sprint("g", grant+1)
			x.acquire(next, func(r *chestnutcleat.AcquireRequest) { r.Started = time.Now() })
			x.release(running, nil)
			running = x.order[len(x.order)-1]
			due := grant%20 == 0
			if due && running != held[grant/20-1] {
				t.Fatalf("grant %d went to %s instead of %s", grant, running, held[grant/20-1])
			}
			if !due && running[0] != 'g' {
				t.Fatalf("grant %d went to %s before its turn", grant, running)
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against requests above level 0 that occupy all slots, so that others wait until one of them ends, and
// against a reserved slot on an upstream with so few slots that it would be a large part of the capacity.
func TestReservedSlot(t *testing.T) {
	cases := []struct {
		slots, held int
		direct      bool
	}{
		{slots: 1, held: 1},
		{slots: 3, held: 3},
		{slots: 4, held: 3, direct: true},
		{slots: 6, held: 5, direct: true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.slots), func(t *testing.T) {
			run(t, func(x *fixture) {
				x.config.Slots = c.slots
				for i := range 8 {
					x.acquire(fmt.Sprint("behind", i), lowPriority)
				}
				x.Equal(len(x.order), c.held)
				x.acquire("direct", nil)
				x.Equal(x.replies["direct"].Ticket != nil, c.direct)
			})
		})
	}
}

// Guards against a recovering upstream, limited to one ticket, that reserves it for requests of level 0 that do not come.
func TestLowPriorityAfterRecovery(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Slots = 6
		x.acquire("first", nil)
		x.release("first", func(r *chestnutcleat.ReleaseRequest) { r.Crashed = true })
		time.Sleep(2 * time.Second)
		x.acquire("behind", lowPriority)
		x.True(x.replies["behind"].Ticket != nil)
	})
}
