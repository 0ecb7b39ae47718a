package e2e

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// A program must survive the loss of the VM that owns it: every answer arrives, and a booking that ran is not run again.
func TestOwnerKilled(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	p := &program{id: "plan-1", caller: newCaller(f, true)}
	is.NoErr(p.chat(ctx, 0, 1))
	is.NoErr(p.chat(ctx, 1, 2))
	is.NoErr(p.book(ctx, 2))
	is.True(!p.unknown)

	f.vms[f.owner(p.owner)].kill()

	is.NoErr(p.chat(ctx, 0, 3))
	is.NoErr(p.chat(ctx, 1, 4))
	again, err := p.caller.do(ctx, 2, p.booking())
	is.NoErr(err)
	is.Equal(again.text, p.booked) // the recorded answer
	once(is, f, 1)
}

// once checks that the service ran n requests, each once.
func once(is *is.I, f *fleet, n int) {
	is.Helper()
	ran := f.executions()
	is.Equal(len(ran), n) // number of bookings
	for id, k := range ran {
		if k != 1 {
			f.t.Errorf("booking %s ran %d times", id, k)
		}
	}
}
