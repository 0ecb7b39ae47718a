package e2e

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// A rolling restart must not interrupt any request: callers may only fail to connect, which loses nothing.
func TestRollingRestart(t *testing.T) {
	const workers = 6
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*waitTimeout)
	defer cancel()
	callers := []*caller{newCaller(f, true), newCaller(f, false)}
	for _, c := range callers {
		c.logf = t.Logf
	}
	var stop atomic.Bool
	var programs atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for w := range workers {
		g.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				p := &program{id: fmt.Sprintf("plan-%d-%d", w, n), caller: callers[w%len(callers)], firstVM: w + n}
				if err := p.run(ctx); err != nil {
					return err
				}
				if p.bookingUnknown {
					return fmt.Errorf("program %s: the outcome of the booking is unknown", p.id)
				}
				programs.Add(1)
			}
			return nil
		})
	}
	for _, vm := range f.vms {
		before := programs.Load()
		eventually(t, waitTimeout, "programs run", func() bool { return ctx.Err() != nil || programs.Load() >= before+workers })
		vm.signal(syscall.SIGTERM)
		vm.waitExit()
		f.startVM(vm)
		f.waitOK(vm, "/readyz")
		f.waitVMLists()
	}
	stop.Store(true)
	is.NoErr(g.Wait())

	for i, c := range callers {
		t.Logf("caller %d: %d calls, %d dial errors, %d interrupted, %d refused", i, c.calls.Load(), c.dialErrors.Load(), c.interrupted.Load(), c.refused.Load())
		is.Equal(c.interrupted.Load(), int64(0)) // requests interrupted
		is.Equal(c.refused.Load(), int64(0))     // requests refused
	}
	checkEachRanOnce(is, f, int(programs.Load()))
}
