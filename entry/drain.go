package entry

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
)

// drainRetryAfter is the time after which a caller may try another VM.
const drainRetryAfter = 10 * time.Millisecond

// errInterrupted is the cause with which a request ends that outlasts the shutdown.
var errInterrupted = errors.New("the VM shuts down")

// Drain starts the graceful shutdown of the VM, which ends at the given time. Every further response is the last one on its
// connection. From strictFrom on, when callers have had the time to learn of other VMs, requests that may take longer than until
// the end are refused.
func (h *Handler) Drain(strictFrom, end time.Time) {
	h.drain.Store(&accept.Drain{StrictFrom: strictFrom, End: end})
}

// checkDrain returns an error for a request that the shutdown could interrupt.
func (c *call) checkDrain() error {
	d := c.drain.Load()
	if d == nil || !d.Interrupts(c.deadline) {
		return nil
	}
	p := problem(chestnutcleat.CodeLeaving, chestnutcleat.NotRun, "the VM shuts down in %v, before the deadline of the request", time.Until(d.End))
	return p.WithRetry(drainRetryAfter)
}

// isInterrupted reports whether the shutdown ended the request.
func (c *call) isInterrupted() bool { return context.Cause(c.ctx) == errInterrupted }

// interrupted returns the error for a request that the shutdown ended.
func (c *call) interrupted() error {
	if c.runs == 0 {
		return problem(chestnutcleat.CodeLeaving, chestnutcleat.NotRun, "the VM shut down before the request was run").WithRetry(drainRetryAfter)
	}
	return problem(chestnutcleat.CodeInterrupted, chestnutcleat.Unknown, "the VM shut down while the request was run")
}
