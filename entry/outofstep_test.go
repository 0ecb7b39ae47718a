package entry

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A VM that was cut off, or stood still, while instances of a new software version joined must not go on with their streams at another
// version: where no record names the version it took its old registrations for proof that there was only one.
func TestVMOutOfStepDoesNotJoinVersions(t *testing.T) {
	errCutOff := errors.New("cut off")
	for name, tt := range map[string]struct {
		// resumes tells whether the caller names its attempt.
		resumes bool
		// confirm is what the VM out of step finds when it asks for the registrations.
		confirm func(h *versionHarness) error
		reason  string
	}{
		"cut off":                            {true, func(*versionHarness) error { return errCutOff }, "unconfirmed"},
		"cut off, attempt not named":         {false, func(*versionHarness) error { return errCutOff }, "unconfirmed"},
		"back in step":                       {true, func(h *versionHarness) error { h.register(); return nil }, "unknown"},
		"back in step, attempt not named":    {false, func(h *versionHarness) error { h.register(); return nil }, "unknown"},
		"asked for too long":                 {true, func(*versionHarness) error { return context.DeadlineExceeded }, "unconfirmed"},
		"asked for too long, none was named": {false, func(*versionHarness) error { return context.DeadlineExceeded }, "unconfirmed"},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, 2, [][2]string{{"a1", "v1"}}, func(h *versionHarness) {
				time.Sleep(streamTimeout + recordMargin)
				h.begin(1, streamID(1)) // a recorded stream of the route
				h.network.Detach("store")
				outOfStep := h.vms[1]
				h.vms = h.vms[:1:1]
				h.add("b1", "v2")
				h.vms[0].handler.Instances.SetInstances(h.list[1:])
				id := streamID(0)
				h.is.Equal(h.begin(0, id), "v2")
				h.restartVM(0) // what it could not write is lost
				h.network.Attach("store", h.mux)
				time.Sleep(time.Second)
				h.vms = append(h.vms, outOfStep)
				outOfStep.handler.ConfirmInstances = func(context.Context) error { return tt.confirm(h) }
				resumes := ""
				if tt.resumes {
					resumes = id
				}
				next := attemptID(id, 1)
				h.expectRefused(tt.reason, next, h.takeUp(1, next, resumes, 2))
			})
		})
	}
}
