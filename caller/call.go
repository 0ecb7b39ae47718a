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

// Reasons why a call in progress stops.
var (
	errGone      = errors.New("the caller left")
	errWithdrawn = errors.New("the key was withdrawn")
	errWall      = errors.New("the program's wall-clock time ended")
	errUnsent    = errors.New("the call was not sent")
)

// recordTimeout bounds the requests that record the end of a call.
const recordTimeout = 10 * time.Second

// call is one call in progress.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	who      identity
	route    chestnutcleat.Route
	call     chestnutcleat.Call
	explicit bool
	// name identifies the call in the fleet; it does not show the caller's ids to upstreams.
	name     string
	exchange exchange
	begin    chestnutcleat.BeginReply
	level    chestnutcleat.Level
	avoid    []chestnutcleat.UpstreamID
	// sent is set when a byte of any attempt may have been sent.
	sent bool
	// unsure is set until the program's owner said what it knows of the call id: an earlier request may have run it.
	unsure bool
	// answered is set when an upstream began an answer of any attempt.
	answered bool
	// taken is the request that admitted the call, until its end is reported to the customer's owner.
	taken  chestnutcleat.RequestID
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	started   bool
	withdrawn bool
	gone      bool
}

// watch ties the call to the caller's connection and key.
func (c *call) watch(r *http.Request) (stop func()) {
	ctx, end := context.WithDeadline(context.WithoutCancel(r.Context()), c.call.Deadline)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.Context(), c.leave)
	unsubscribe := func() {}
	if !c.who.anonymous {
		unsubscribe = c.h.Directory.Subscribe(c.who.digest, c.withdraw)
		// The key may have been withdrawn between its check and the subscription.
		if _, state := c.h.Directory.Key(c.who.digest); state != chestnutcleat.KeyActive {
			c.withdraw()
		}
	}
	return func() {
		detach()
		unsubscribe()
		c.cancel(nil)
		end()
		c.reportUnused()
	}
}

// limit ends the call when its program's wall-clock time does; a started non-repeatable call runs to its own end.
func (c *call) limit(until time.Time) {
	if until.IsZero() || until.After(c.call.Deadline) {
		return
	}
	t := time.AfterFunc(time.Until(until), func() { c.cancel(errWall) })
	context.AfterFunc(c.ctx, func() { t.Stop() })
}

// leave handles a caller that closed its connection.
func (c *call) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	switch {
	case c.started:
	case c.call.Repeatable && c.explicit:
		t := time.AfterFunc(c.h.Linger, func() { c.cancel(errGone) })
		context.AfterFunc(c.ctx, func() { t.Stop() })
	default:
		c.cancel(errGone)
	}
}

// withdraw handles a key that was withdrawn.
func (c *call) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = true
	if !c.started {
		c.cancel(errWithdrawn)
	}
}

// start reports whether the call may be sent; one that may not be repeated runs to its end from then on.
func (c *call) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.started = !c.call.Repeatable
	return true
}

// unstart lets the call be stopped again, as no byte was sent.
func (c *call) unstart() {
	c.mu.Lock()
	c.started = false
	withdrawn, gone := c.withdrawn, c.gone
	c.mu.Unlock()
	if withdrawn {
		c.cancel(errWithdrawn)
	} else if gone {
		c.cancel(errGone)
	}
}

// withheld reports whether the answer must not reach the caller.
func (c *call) withheld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withdrawn
}

// absent reports whether nobody receives the answer.
func (c *call) absent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone || c.withdrawn
}

// stopped returns the problem of a call whose context is done.
func (c *call) stopped() *chestnutcleat.Problem {
	switch cause := context.Cause(c.ctx); {
	case errors.Is(cause, errWithdrawn):
		return refusal(chestnutcleat.CodeKeyWithdrawn, "the key was withdrawn")
	case errors.Is(cause, errGone):
		return refusal(chestnutcleat.CodeInterrupted, "the caller left")
	case errors.Is(cause, errWall):
		return refusal(chestnutcleat.CodeBudget, "the program has used its wall-clock time")
	}
	return refusal(chestnutcleat.CodeDeadline, "the deadline passed")
}

// outcome returns what is true of a call that ends without a whole answer.
func (c *call) outcome() chestnutcleat.Outcome {
	switch {
	case c.unsure:
		return chestnutcleat.Unknown
	case !c.sent:
		return chestnutcleat.NotRun
	case c.call.Repeatable && c.answered:
		return chestnutcleat.Failed
	}
	return chestnutcleat.Unknown
}

// record returns a context for what must be done also after the caller left.
func (c *call) record() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.ctx), recordTimeout)
}

// background runs work that the caller need not wait for.
func (c *call) background(work func(context.Context) error, id chestnutcleat.EventID) {
	c.h.active.enter()
	go func() {
		defer c.h.active.leave()
		ctx, cancel := c.record()
		defer cancel()
		if err := work(ctx); err != nil {
			c.h.emit(id, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
		}
	}()
}

// respond writes a problem, or ends a stream with it.
func (c *call) respond(p *chestnutcleat.Problem) {
	q := *c.truth(p)
	q.Call = c.call.ID
	if c.withheld() && q.Code != chestnutcleat.CodeKeyWithdrawn {
		q = *chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, q.Outcome, "the key was withdrawn")
		q.Call = c.call.ID
	}
	if c.exchange.interrupt(&q) {
		c.h.count(string(q.Code), string(q.Outcome))
		c.h.emit(event.StreamCut, "call", q.Call, "code", q.Code)
		return
	}
	c.h.refuse(c.w, &q)
}
