package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// A VM that is paused past its lease must not act on it when it goes on: no booking runs twice, and every program
// reaches its end through the other VMs.
func TestVMPaused(t *testing.T) {
	const workers, programs = 6, 5
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*bound)
	defer cancel()
	c := newCaller(f, true)
	var all [workers][]*program
	var g errgroup.Group
	for w := range workers {
		g.Go(func() error {
			for n := range programs {
				p := &program{id: fmt.Sprintf("plan-%d-%d", w, n), caller: c, first: w, patience: 15 * time.Second}
				all[w] = append(all[w], p)
				if err := p.run(ctx); err != nil {
					return err
				}
			}
			return nil
		})
	}
	eventually(t, bound, "the load has begun", func() bool { return c.calls.Load() >= 2*workers })
	v := f.vms[1]
	v.signal(syscall.SIGSTOP)
	// The pause is the fault under test; it is longer than the lease of 2 s.
	time.Sleep(4 * time.Second)
	v.signal(syscall.SIGCONT)
	is.NoErr(g.Wait())

	ran := f.executions()
	for id, k := range ran {
		if k != 1 {
			t.Errorf("booking %s ran %d times", id, k)
		}
	}
	booked, unknown := 0, 0
	for _, list := range all {
		for _, p := range list {
			if p.unknown {
				unknown++
			} else {
				booked++
			}
		}
	}
	t.Logf("%d calls, %d bookings answered, %d of unknown outcome, %d executed, %d attempts cut, %d refused",
		c.calls.Load(), booked, unknown, len(ran), c.cut.Load(), c.refused.Load())
	is.Equal(booked+unknown, workers*programs)                  // no program is lost
	is.True(len(ran) >= booked && len(ran) <= workers*programs) // an answered booking ran
	is.True(unknown <= workers)                                 // at most the calls in progress at the pause
}
