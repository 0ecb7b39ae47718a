package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Reasons why a call is cancelled, and errNotSent for an attempt that was never sent.
var (
	errDisconnected = errors.New("the caller disconnected")
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errWallClock    = errors.New("the program's wall-clock time is used up")
	errNotSent      = errors.New("the call was not sent")
)

// recordTimeout limits the requests to owners that outlive a call.
const recordTimeout = 10 * time.Second

// call is one call in progress.
type call struct {
	h          *Handler
	w          http.ResponseWriter
	who        identity
	route      chestnutcleat.Route
	call       chestnutcleat.Call
	explicitID bool
	// hashedID identifies the call in the fleet without revealing the caller's ids to upstreams.
	hashedID string
	exchange exchange
	begin    chestnutcleat.BeginReply
	level    chestnutcleat.Level
	// avoid lists the upstreams whose attempts failed.
	avoid []chestnutcleat.UpstreamID
	// sent is set when a byte of any attempt may have been sent.
	sent bool
	// mayHaveRun is set until the program's owner has reported the state of the call id: an earlier request may have run it.
	mayHaveRun bool
	// responseStarted is set when an upstream began to respond to any attempt.
	responseStarted bool
	// tokenRequest is the id of the request that took the rate token, until usage is reported to the customer's owner.
	tokenRequest chestnutcleat.RequestID
	ctx          context.Context
	cancel       context.CancelCauseFunc

	mu sync.Mutex
	// uninterruptible is set while a call that must not be repeated may be running at an upstream.
	uninterruptible bool
	keyWithdrawn    bool
	disconnected    bool
}

// initContext creates the call's context and watches the caller's connection and key until stop is called.
func (c *call) initContext(r *http.Request) (stop func()) {
	ctx, end := context.WithDeadline(context.WithoutCancel(r.Context()), c.call.Deadline)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.Context(), c.onDisconnect)
	unsubscribe := func() {}
	if !c.who.anonymous {
		unsubscribe = c.h.Directory.Subscribe(c.who.digest, c.onKeyWithdrawn)
		// The key may have been withdrawn between the check and the subscription.
		if _, state := c.h.Directory.Key(c.who.digest); state != chestnutcleat.KeyActive {
			c.onKeyWithdrawn()
		}
	}
	return func() {
		detach()
		unsubscribe()
		c.cancel(nil)
		end()
		c.reportUnusedToken()
	}
}

// cancelAt cancels the call when its program's wall-clock time ends; an attempt of a non-repeatable call still completes.
func (c *call) cancelAt(end time.Time) {
	if end.IsZero() || end.After(c.call.Deadline) {
		return
	}
	t := time.AfterFunc(time.Until(end), func() { c.cancel(errWallClock) })
	context.AfterFunc(c.ctx, func() { t.Stop() })
}

// onDisconnect cancels the call after its caller disconnected. A repeatable call with the caller's own id continues for
// DisconnectGrace, so that a retry can fetch the answer; an uninterruptible one is not cancelled.
func (c *call) onDisconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
	switch {
	case c.uninterruptible:
	case c.call.Repeatable && c.explicitID:
		t := time.AfterFunc(c.h.DisconnectGrace, func() { c.cancel(errDisconnected) })
		context.AfterFunc(c.ctx, func() { t.Stop() })
	default:
		c.cancel(errDisconnected)
	}
}

// onKeyWithdrawn cancels the call after its key was withdrawn, unless it is uninterruptible.
func (c *call) onKeyWithdrawn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyWithdrawn = true
	if !c.uninterruptible {
		c.cancel(errKeyWithdrawn)
	}
}

// tryStart reports whether the call may be sent, and makes it uninterruptible if it must not be repeated.
func (c *call) tryStart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.uninterruptible = !c.call.Repeatable
	return true
}

// undoStart makes the call interruptible again because no byte was sent, and cancels it if that is due.
func (c *call) undoStart() {
	c.mu.Lock()
	c.uninterruptible = false
	withdrawn, disconnected := c.keyWithdrawn, c.disconnected
	c.mu.Unlock()
	if withdrawn {
		c.cancel(errKeyWithdrawn)
	} else if disconnected {
		c.cancel(errDisconnected)
	}
}

// isKeyWithdrawn reports whether the answer must be withheld because the key was withdrawn.
func (c *call) isKeyWithdrawn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keyWithdrawn
}

// isUndeliverable reports whether the caller cannot or must not receive the answer.
func (c *call) isUndeliverable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected || c.keyWithdrawn
}

// stopProblem returns the problem of a call whose context is done.
func (c *call) stopProblem() *chestnutcleat.Problem {
	switch cause := context.Cause(c.ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return notRunProblem(chestnutcleat.CodeKeyWithdrawn, "the key was withdrawn")
	case errors.Is(cause, errDisconnected):
		return notRunProblem(chestnutcleat.CodeInterrupted, "the caller disconnected")
	case errors.Is(cause, errWallClock):
		return notRunProblem(chestnutcleat.CodeBudget, "the program has used its wall-clock time")
	}
	return notRunProblem(chestnutcleat.CodeDeadline, "the deadline passed")
}

// failureOutcome returns the outcome of a call that ends without a complete answer.
func (c *call) failureOutcome() chestnutcleat.Outcome {
	switch {
	case c.mayHaveRun:
		return chestnutcleat.Unknown
	case !c.sent:
		return chestnutcleat.NotRun
	case c.call.Repeatable && c.responseStarted:
		return chestnutcleat.Failed
	}
	return chestnutcleat.Unknown
}

// recordContext returns a context for requests that must be made even after the call was cancelled.
func (c *call) recordContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.ctx), recordTimeout)
}

// background runs work without delaying the response and emits event id if it fails.
func (c *call) background(work func(context.Context) error, id chestnutcleat.EventID) {
	c.h.requests.add()
	go func() {
		defer c.h.requests.done()
		ctx, cancel := c.recordContext()
		defer cancel()
		if err := work(ctx); err != nil {
			c.h.emit(id, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
		}
	}()
}

// sendProblem responds with a problem, or ends a started stream with it.
func (c *call) sendProblem(p *chestnutcleat.Problem) {
	q := *c.correctOutcome(p)
	q.Call = c.call.ID
	if c.isKeyWithdrawn() && q.Code != chestnutcleat.CodeKeyWithdrawn {
		q = *chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, q.Outcome, "the key was withdrawn")
		q.Call = c.call.ID
	}
	if c.exchange.interrupt(&q) {
		c.h.countCall(string(q.Code), string(q.Outcome))
		c.h.emit(event.StreamInterrupted, "call", q.Call, "code", q.Code)
		return
	}
	c.h.writeProblem(c.w, &q)
}
