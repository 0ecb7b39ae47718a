package e2e

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// A program must survive the loss of the VM that owns it: every call is answered, and a booking that ran does not run again.
func TestOwnerKilled(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	p := &program{id: "plan-1", caller: newCaller(f, true)}
	is.NoErr(p.sendTurn(ctx, 0, 1))
	is.NoErr(p.sendTurn(ctx, 1, 2))
	is.NoErr(p.sendBooking(ctx, 2))
	is.True(!p.bookingUnknown)

	f.vms[f.vmIndex(p.owner)].kill()

	is.NoErr(p.sendTurn(ctx, 0, 3))
	is.NoErr(p.sendTurn(ctx, 1, 4))
	again, err := p.caller.sendWithRetries(ctx, 2, p.bookingRequest())
	is.NoErr(err)
	is.Equal(again.text, p.bookingAnswer) // the recorded answer
	checkEachRanOnce(is, f, 1)
}

// checkEachRanOnce checks that the service ran n requests, each of them once.
func checkEachRanOnce(is *is.I, f *fleet, n int) {
	is.Helper()
	ran := f.executions()
	is.Equal(len(ran), n) // number of bookings
	for id, count := range ran {
		if count != 1 {
			f.t.Errorf("booking %s ran %d times", id, count)
		}
	}
}
