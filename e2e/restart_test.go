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

// A rolling restart must interrupt no request: callers meet closed listeners only, and those lose nothing.
func TestRollingRestart(t *testing.T) {
	const workers = 6
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*bound)
	defer cancel()
	callers := []*caller{newCaller(f, true), newCaller(f, false)}
	for _, c := range callers {
		c.log = t.Logf
	}
	var over atomic.Bool
	var programs atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for w := range workers {
		g.Go(func() error {
			for n := 0; !over.Load(); n++ {
				p := &program{id: fmt.Sprintf("plan-%d-%d", w, n), caller: callers[w%len(callers)], first: w + n}
				if err := p.run(ctx); err != nil {
					return err
				}
				if p.unknown {
					return fmt.Errorf("program %s: the outcome of the booking is unknown", p.id)
				}
				programs.Add(1)
			}
			return nil
		})
	}
	for _, m := range f.vms {
		before := programs.Load()
		eventually(t, bound, "programs run", func() bool { return ctx.Err() != nil || programs.Load() >= before+workers })
		m.signal(syscall.SIGTERM)
		m.exited()
		f.startVM(m)
		f.answers(m, "/readyz")
		f.complete()
	}
	over.Store(true)
	is.NoErr(g.Wait())

	for i, c := range callers {
		t.Logf("caller %d: %d calls, %d closed listeners, %d cut, %d refused", i, c.calls.Load(), c.closed.Load(), c.cut.Load(), c.refused.Load())
		is.Equal(c.cut.Load(), int64(0))     // requests cut
		is.Equal(c.refused.Load(), int64(0)) // requests refused
	}
	once(is, f, int(programs.Load()))
}
