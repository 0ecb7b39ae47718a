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

// A VM that is paused for longer than its lease must not act on the lease when it resumes: no booking may run twice, and every
// program must finish through the other VMs.
func TestVMPaused(t *testing.T) {
	const workers, programs = 6, 5
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	defer cancel()
	c := newCaller(f, true)
	var allPrograms [workers][]*program
	var g errgroup.Group
	for w := range workers {
		g.Go(func() error {
			for n := range programs {
				p := &program{id: fmt.Sprintf("plan-%d-%d", w, n), caller: c, firstVM: w, timeout: 15 * time.Second}
				allPrograms[w] = append(allPrograms[w], p)
				if err := p.run(ctx); err != nil {
					return err
				}
			}
			return nil
		})
	}
	eventually(t, waitTimeout, "the load has begun", func() bool { return c.calls.Load() >= 2*workers })
	vm := f.vms[1]
	vm.signal(syscall.SIGSTOP)
	// Longer than the lease of 2 s.
	time.Sleep(4 * time.Second)
	vm.signal(syscall.SIGCONT)
	is.NoErr(g.Wait())

	ran := f.executions()
	for id, count := range ran {
		if count != 1 {
			t.Errorf("booking %s ran %d times", id, count)
		}
	}
	booked, unknown := 0, 0
	for _, list := range allPrograms {
		for _, p := range list {
			if p.bookingUnknown {
				unknown++
			} else {
				booked++
			}
		}
	}
	t.Logf("%d calls, %d bookings answered, %d of unknown outcome, %d executed, %d attempts interrupted, %d refused",
		c.calls.Load(), booked, unknown, len(ran), c.interrupted.Load(), c.refused.Load())
	is.Equal(booked+unknown, workers*programs)                  // no program is lost
	is.True(len(ran) >= booked && len(ran) <= workers*programs) // an answered booking ran
	is.True(unknown <= workers)                                 // at most the calls in progress at the pause
}
