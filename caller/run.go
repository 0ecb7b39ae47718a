package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// serve takes a call from its admission to its answer.
func (c *call) serve(r *http.Request, leaving bool) {
	defer c.watch(r)()
	c.unsure = c.explicit && !c.call.Repeatable
	if leaving && !c.known() {
		c.respond(refusal(chestnutcleat.CodeLeaving, "the VM is leaving; use another one").WithRetry(retryDefault))
		return
	}
	if p := c.take(); p != nil {
		c.respond(p)
		return
	}
	if p := c.present(chestnutcleat.RequestID(rand.Text())); p != nil {
		c.respond(p)
		return
	}
	switch {
	case c.begin.Answer != nil:
		c.repeat(*c.begin.Answer)
	case !c.begin.Run:
		c.respond(refusal(chestnutcleat.CodeInternal, "the program's owner gave no decision").WithRetry(retryDefault))
	default:
		c.run()
	}
}

// repeat answers with the recorded answer of an earlier attempt of the caller.
func (c *call) repeat(a chestnutcleat.Answer) {
	switch {
	case c.withheld():
		c.respond(chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, chestnutcleat.Unknown, "the key was withdrawn"))
	case a.Problem != nil:
		c.respond(a.Problem)
	case a.Dropped:
		c.respond(chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Failed, "the call ran; its answer was too large to be kept"))
	default:
		c.h.count("replay", string(a.Outcome))
		c.exchange.replay(a)
	}
}

// run makes attempts until one gives a whole answer or no other is allowed.
func (c *call) run() {
	for n := 1; ; n++ {
		g, p := c.acquire()
		if p != nil {
			c.fail(p, result{}, "")
			return
		}
		if p := c.intend(g); p != nil {
			c.release(g, result{err: &upstream.Error{Kind: upstream.Connect, Err: errUnsent}}, 0)
			c.fail(p, result{}, "")
			return
		}
		began := time.Now()
		r := result{err: &upstream.Error{Kind: upstream.Connect, Err: errUnsent}}
		if g.ticket.Expiry.IsZero() || began.Before(g.ticket.Expiry) {
			r = c.attempt(g)
		}
		c.release(g, r, time.Since(began))
		if r.err == nil {
			c.succeed(g, r)
			return
		}
		if !c.again(g, r, n) {
			return
		}
	}
}

// attempt sends the call; one that may not be repeated is not cut by the caller's own deadline.
func (c *call) attempt(g grant) result {
	if c.call.Repeatable {
		return c.exchange.attempt(c.ctx, g)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), c.route.Timeout.Or(chestnutcleat.DefaultCallTimeout))
	defer cancel()
	r := c.exchange.attempt(ctx, g)
	if ctx.Err() != nil {
		// The call's own deadline is not later than the attempt's, but its timer may not have run yet: without the wait the
		// caller would be told that the upstream broke off.
		<-c.ctx.Done()
	}
	return r
}

// intend records the intent to send a call that may not be repeated.
func (c *call) intend(g grant) *chestnutcleat.Problem {
	if !c.start() {
		return c.stopped()
	}
	if c.call.Repeatable {
		return nil
	}
	r, err := c.h.Owners.Start(c.ctx, chestnutcleat.StartRequest{
		Customer: c.call.Customer, Program: c.call.Program, Call: c.call.ID, Attempt: c.begin.Attempt, Ticket: g.ticket,
	})
	switch {
	case err != nil:
		return ownerProblem(err, "program")
	case r.Problem != nil:
		return r.Problem
	case c.ctx.Err() != nil:
		return c.stopped()
	}
	return nil
}

// release returns the ticket and reports the usage.
func (c *call) release(g grant, r result, elapsed time.Duration) {
	// An exchange that this VM stopped says nothing about the upstream.
	stopped := c.ctx.Err() != nil
	q := chestnutcleat.ReleaseRequest{Ticket: g.ticket, Usage: r.answer.Usage, Elapsed: elapsed, History: r.history}
	if r.err != nil {
		q.Unused = !r.err.Sent
		q.Failed = !stopped && !errors.Is(r.err, errUnsent) && (r.err.Kind != upstream.Status || r.err.Code >= http.StatusInternalServerError)
		q.Crashed = !stopped && r.err.Crash()
		if r.err.Answered && !q.Unused {
			q.History = c.call.History
		}
	}
	c.background(func(ctx context.Context) error { return c.h.Owners.Release(ctx, q) }, event.TicketLost)
	if c.who.anonymous || q.Unused {
		return
	}
	u := chestnutcleat.UsageReport{ID: chestnutcleat.RequestID("usage-" + string(g.ticket.ID)), Customer: c.call.Customer, Cost: cost(g.upstream, r.answer.Usage, elapsed), Take: c.taken}
	c.taken = ""
	c.background(func(ctx context.Context) error { return c.h.Owners.Usage(ctx, u) }, event.CallNotRecorded)
}

// reportUnused tells the customer's owner that a call ended without any use of an upstream.
func (c *call) reportUnused() {
	if c.taken == "" {
		return
	}
	u := chestnutcleat.UsageReport{ID: "unused-" + c.taken, Customer: c.call.Customer, Take: c.taken}
	c.background(func(ctx context.Context) error { return c.h.Owners.Usage(ctx, u) }, event.CallNotRecorded)
}

// cost returns the service received in seconds of a whole upstream.
func cost(u chestnutcleat.Upstream, used chestnutcleat.Usage, elapsed time.Duration) float64 {
	slots := float64(max(u.Slots, 1))
	if u.Prefill <= 0 || u.Decode <= 0 {
		return elapsed.Seconds() / slots
	}
	return float64(used.Prompt-used.Cached)/u.Prefill + float64(used.Output)/(u.Decode*slots)
}

// succeed records a whole answer and delivers it.
func (c *call) succeed(g grant, r result) {
	_, err := c.settle(chestnutcleat.SettleRequest{Answer: r.answer, Upstream: g.upstream.ID, History: r.history})
	if err != nil {
		c.h.emit(event.CallNotRecorded, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
	}
	if c.withheld() {
		c.h.emit(event.AnswerWithheld, "call", c.call.ID, "customer", c.call.Customer)
		c.respond(chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, chestnutcleat.Unknown, "the key was withdrawn"))
		return
	}
	c.h.count("ok", string(r.answer.Outcome))
	c.exchange.deliver()
}

// again records a failed attempt and reports whether another one follows.
func (c *call) again(g grant, r result, n int) bool {
	c.sent = c.sent || r.err.Sent
	c.answered = c.answered || r.err.Answered
	stopped := c.ctx.Err() != nil
	id := event.UpstreamBroke
	if r.err.Kind == upstream.Crossed {
		id = event.AnswerCrossed
	}
	if !stopped {
		c.h.emit(id, "upstream", g.upstream.ID, "call", c.call.ID, "kind", r.err.Kind, "sent", r.err.Sent)
	}
	p := c.problem(r.err)
	if stopped || n >= c.h.Attempts || !c.mayRepeat(r.err) || !c.exchange.resumable() {
		c.fail(p, r, g.upstream.ID)
		return false
	}
	if !r.err.Sent {
		c.unstart()
	}
	c.avoid = append(c.avoid, g.upstream.ID)
	a := chestnutcleat.Answer{Outcome: p.Outcome, Problem: p, Usage: r.answer.Usage}
	s, err := c.settle(chestnutcleat.SettleRequest{Answer: a, Upstream: g.upstream.ID, Crashed: r.err.Crash(), Again: true})
	switch {
	case err != nil:
		c.respond(p)
	case s.Next.Problem != nil:
		c.respond(c.truth(s.Next.Problem))
	case s.Next.Answer != nil && s.Next.Answer.Problem != nil:
		c.respond(c.truth(s.Next.Answer.Problem))
	case !s.Next.Run:
		c.fail(p, r, g.upstream.ID)
	default:
		c.begin = s.Next
		return true
	}
	return false
}

// mayRepeat reports whether another attempt is allowed after a failed one.
func (c *call) mayRepeat(e *upstream.Error) bool {
	if !c.call.Repeatable && e.Sent {
		return false
	}
	if e.Kind == upstream.Status {
		return e.Code >= http.StatusInternalServerError || e.Code == http.StatusTooManyRequests
	}
	return e.Kind != upstream.Diverged
}

// problem returns what a failed attempt means for the caller.
func (c *call) problem(e *upstream.Error) *chestnutcleat.Problem {
	if c.ctx.Err() != nil {
		return c.truth(c.stopped())
	}
	switch e.Kind {
	case upstream.Connect:
		return c.truth(refusal(chestnutcleat.CodeNoUpstream, "the upstream could not be reached").WithRetry(retryDefault))
	case upstream.Status:
		return chestnutcleat.NewProblem(chestnutcleat.CodeUpstreamError, chestnutcleat.Failed, "the upstream answered with status %d", e.Code)
	}
	p := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, c.outcome(), "the upstream gave no whole answer")
	if c.call.Repeatable {
		return p.WithRetry(retryDefault)
	}
	return p
}

// truth corrects the outcome of a refusal when an earlier attempt was sent, or may have been sent by an earlier request.
func (c *call) truth(p *chestnutcleat.Problem) *chestnutcleat.Problem {
	if p.Outcome != chestnutcleat.NotRun || (!c.sent && !c.unsure) {
		return p
	}
	q := *p
	q.Outcome = c.outcome()
	return &q
}

// fail records the end of a call without a whole answer and tells the caller.
func (c *call) fail(p *chestnutcleat.Problem, r result, u chestnutcleat.UpstreamID) {
	p = c.truth(p)
	a := chestnutcleat.Answer{Status: p.Status, Outcome: p.Outcome, Problem: p, Usage: r.answer.Usage}
	crashed := r.err != nil && r.err.Crash() && c.ctx.Err() == nil
	if _, err := c.settle(chestnutcleat.SettleRequest{Answer: a, Upstream: u, Crashed: crashed}); err != nil {
		c.h.emit(event.CallNotRecorded, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
	}
	c.respond(p)
}

// settle fills in the ids and sends a SettleRequest.
func (c *call) settle(s chestnutcleat.SettleRequest) (chestnutcleat.SettleReply, error) {
	s.Customer, s.Program, s.Call, s.Attempt = c.call.Customer, c.call.Program, c.call.ID, c.begin.Attempt
	ctx, cancel := c.record()
	defer cancel()
	return c.h.Owners.Settle(ctx, s)
}
