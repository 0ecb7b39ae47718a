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

// serve runs a call and responds to the caller. refuseNew refuses a call that the program's owner does not have, and so does a shutdown
// that may interrupt the call.
func (c *call) serve(r *http.Request, refuseNew bool) {
	defer c.initContext(r)()
	c.mayHaveRun = c.explicitID && !c.call.Repeatable
	refuseNew = refuseNew || c.h.requests.wouldInterrupt(c.latestEnd())
	if refuseNew && !c.isKnownToOwner() {
		c.sendProblem(notRunProblem(chestnutcleat.CodeLeaving, "the VM is leaving and accepts no new programs and no long calls; use another one").WithRetry(defaultRetryDelay))
		return
	}
	if p := c.takeToken(); p != nil {
		c.sendProblem(p)
		return
	}
	if p := c.beginCall(chestnutcleat.RequestID(rand.Text())); p != nil {
		c.sendProblem(p)
		return
	}
	switch {
	case c.begin.Answer != nil:
		c.replay(*c.begin.Answer)
	case !c.begin.Run:
		c.sendProblem(notRunProblem(chestnutcleat.CodeInternal, "the program's owner gave no decision").WithRetry(defaultRetryDelay))
	default:
		c.run()
	}
}

// replay responds with the recorded answer to an earlier request for the same call.
func (c *call) replay(a chestnutcleat.Answer) {
	switch {
	case c.isKeyWithdrawn():
		c.sendProblem(chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, chestnutcleat.Unknown, "the key was withdrawn"))
	case a.Problem != nil:
		c.sendProblem(a.Problem)
	case a.BodyDropped:
		c.sendProblem(chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Failed, "the call ran; its answer was too large to be kept"))
	default:
		c.h.countCall("replay", string(a.Outcome))
		c.exchange.replay(a)
	}
}

// run makes attempts until one returns a complete answer or no further one is allowed.
func (c *call) run() {
	for n := 1; ; n++ {
		g, p := c.acquireUpstream()
		if p != nil {
			c.fail(p, result{}, "")
			return
		}
		if p := c.recordIntent(g); p != nil {
			c.release(g, result{err: &upstream.Error{Kind: upstream.Connect, Err: errNotSent}}, 0)
			c.fail(p, result{}, "")
			return
		}
		start := time.Now()
		r := result{err: &upstream.Error{Kind: upstream.Connect, Err: errNotSent}}
		if g.ticket.Expiry.IsZero() || start.Before(g.ticket.Expiry) {
			r = c.attempt(g)
		}
		c.release(g, r, time.Since(start))
		if r.err == nil {
			c.succeed(g, r)
			return
		}
		if !c.retry(g, r, n) {
			return
		}
	}
}

// attempt sends the call. One that must not be repeated is limited by the route's timeout only, not by the caller's deadline.
func (c *call) attempt(g grant) result {
	if c.call.Repeatable {
		return c.exchange.attempt(c.ctx, g)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), c.route.Timeout.OrDefault(chestnutcleat.DefaultCallTimeout))
	defer cancel()
	r := c.exchange.attempt(ctx, g)
	if ctx.Err() != nil {
		// The call's deadline is not later than the attempt's, but its timer may not have fired yet. Without this wait the
		// caller would get the problem of an interrupted upstream instead of the deadline.
		<-c.ctx.Done()
	}
	return r
}

// latestEnd returns when the call ends at the latest: an attempt that must not be repeated may begin just before the deadline.
func (c *call) latestEnd() time.Time {
	if c.call.Repeatable {
		return c.call.Deadline
	}
	return c.call.Deadline.Add(c.route.Timeout.OrDefault(chestnutcleat.DefaultCallTimeout))
}

// recordIntent records at the program's owner that a call that must not be repeated is about to be sent.
func (c *call) recordIntent(g grant) *chestnutcleat.Problem {
	if !c.tryStart() {
		return c.stopProblem()
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
		return c.stopProblem()
	}
	return nil
}

// release returns the ticket to the upstream's owner and reports the cost to the customer's owner.
func (c *call) release(g grant, r result, elapsed time.Duration) {
	// An attempt that this VM cancelled is no failure of the upstream.
	stopped := c.ctx.Err() != nil
	q := chestnutcleat.ReleaseRequest{Ticket: g.ticket, Usage: r.answer.Usage, Elapsed: elapsed, History: r.history}
	if r.err != nil {
		q.NotSent = !r.err.Sent
		q.Failed = !stopped && !errors.Is(r.err, errNotSent) && (r.err.Kind != upstream.Status || r.err.Code >= http.StatusInternalServerError)
		q.Crashed = !stopped && r.err.IsCrash()
		if r.err.HeaderRead && !q.NotSent {
			q.History = c.call.History
		}
	}
	c.background(func(ctx context.Context) error { return c.h.Owners.Release(ctx, q) }, event.TicketLost)
	if c.who.anonymous || q.NotSent {
		return
	}
	u := chestnutcleat.UsageReport{ID: chestnutcleat.RequestID("usage-" + string(g.ticket.ID)), Customer: c.call.Customer, Cost: cost(g.upstream, r.answer.Usage, elapsed), TokenRequest: c.tokenRequest}
	c.tokenRequest = ""
	c.background(func(ctx context.Context) error { return c.h.Owners.Usage(ctx, u) }, event.CallNotRecorded)
}

// reportUnusedToken tells the customer's owner that a call that took a rate token used no upstream.
func (c *call) reportUnusedToken() {
	if c.tokenRequest == "" {
		return
	}
	u := chestnutcleat.UsageReport{ID: "unused-" + c.tokenRequest, Customer: c.call.Customer, TokenRequest: c.tokenRequest}
	c.background(func(ctx context.Context) error { return c.h.Owners.Usage(ctx, u) }, event.CallNotRecorded)
}

// cost returns the share of an upstream's capacity that a call used, in seconds of the whole upstream.
func cost(u chestnutcleat.Upstream, used chestnutcleat.Usage, elapsed time.Duration) float64 {
	slots := float64(max(u.Slots, 1))
	if u.Prefill <= 0 || u.Decode <= 0 {
		return elapsed.Seconds() / slots
	}
	return float64(used.Prompt-used.Cached)/u.Prefill + float64(used.Output)/(u.Decode*slots)
}

// succeed records a complete answer and delivers it.
func (c *call) succeed(g grant, r result) {
	_, err := c.settle(chestnutcleat.SettleRequest{Answer: r.answer, Upstream: g.upstream.ID, History: r.history})
	if err != nil {
		c.h.emit(event.CallNotRecorded, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
	}
	if c.isKeyWithdrawn() {
		c.h.emit(event.AnswerWithheld, "call", c.call.ID, "customer", c.call.Customer)
		c.sendProblem(chestnutcleat.NewProblem(chestnutcleat.CodeKeyWithdrawn, chestnutcleat.Unknown, "the key was withdrawn"))
		return
	}
	c.h.countCall("ok", string(r.answer.Outcome))
	c.exchange.deliver()
}

// retry records a failed attempt and reports whether to make another one.
func (c *call) retry(g grant, r result, n int) bool {
	c.sent = c.sent || r.err.Sent
	c.responseStarted = c.responseStarted || r.err.HeaderRead
	stopped := c.ctx.Err() != nil
	id := event.UpstreamFailed
	if r.err.Kind == upstream.Mismatched {
		id = event.AnswerMismatched
	}
	if !stopped {
		c.h.emit(id, "upstream", g.upstream.ID, "call", c.call.ID, "kind", r.err.Kind, "sent", r.err.Sent)
	}
	p := c.attemptProblem(r.err)
	if stopped || n >= c.h.MaxAttempts || !c.mayRetry(r.err) || !c.exchange.resumable() {
		c.fail(p, r, g.upstream.ID)
		return false
	}
	if !r.err.Sent {
		c.undoStart()
	}
	c.avoid = append(c.avoid, g.upstream.ID)
	a := chestnutcleat.Answer{Outcome: p.Outcome, Problem: p, Usage: r.answer.Usage}
	s, err := c.settle(chestnutcleat.SettleRequest{Answer: a, Upstream: g.upstream.ID, Crashed: r.err.IsCrash(), Retry: true})
	switch {
	case err != nil:
		c.sendProblem(p)
	case s.Next.Problem != nil:
		c.sendProblem(c.correctOutcome(s.Next.Problem))
	case s.Next.Answer != nil && s.Next.Answer.Problem != nil:
		c.sendProblem(c.correctOutcome(s.Next.Answer.Problem))
	case !s.Next.Run:
		c.fail(p, r, g.upstream.ID)
	default:
		c.begin = s.Next
		return true
	}
	return false
}

// mayRetry reports whether another attempt is allowed after a failed one.
func (c *call) mayRetry(e *upstream.Error) bool {
	if !c.call.Repeatable && e.Sent {
		return false
	}
	if e.Kind == upstream.Status {
		return e.Code >= http.StatusInternalServerError || e.Code == http.StatusTooManyRequests
	}
	return e.Kind != upstream.Diverged
}

// attemptProblem returns the problem for the caller after a failed attempt.
func (c *call) attemptProblem(e *upstream.Error) *chestnutcleat.Problem {
	if c.ctx.Err() != nil {
		return c.correctOutcome(c.stopProblem())
	}
	switch e.Kind {
	case upstream.Connect:
		return c.correctOutcome(notRunProblem(chestnutcleat.CodeNoUpstream, "the upstream could not be reached").WithRetry(defaultRetryDelay))
	case upstream.Status:
		return chestnutcleat.NewProblem(chestnutcleat.CodeUpstreamError, chestnutcleat.Failed, "the upstream answered with status %d", e.Code)
	}
	p := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, c.failureOutcome(), "the upstream sent no complete answer")
	if c.call.Repeatable {
		return p.WithRetry(defaultRetryDelay)
	}
	return p
}

// correctOutcome replaces the outcome not-run if an attempt of this or of an earlier request may have been sent.
func (c *call) correctOutcome(p *chestnutcleat.Problem) *chestnutcleat.Problem {
	if p.Outcome != chestnutcleat.NotRun || (!c.sent && !c.mayHaveRun) {
		return p
	}
	q := *p
	q.Outcome = c.failureOutcome()
	return &q
}

// fail records that a call ended without a complete answer and responds with the problem.
func (c *call) fail(p *chestnutcleat.Problem, r result, u chestnutcleat.UpstreamID) {
	p = c.correctOutcome(p)
	a := chestnutcleat.Answer{Status: p.Status, Outcome: p.Outcome, Problem: p, Usage: r.answer.Usage}
	crashed := r.err != nil && r.err.IsCrash() && c.ctx.Err() == nil
	if _, err := c.settle(chestnutcleat.SettleRequest{Answer: a, Upstream: u, Crashed: crashed}); err != nil {
		c.h.emit(event.CallNotRecorded, "call", c.call.ID, "program", c.call.Program, "error", err.Error())
	}
	c.sendProblem(p)
}

// settle fills in the ids of s and sends it to the program's owner.
func (c *call) settle(s chestnutcleat.SettleRequest) (chestnutcleat.SettleReply, error) {
	s.Customer, s.Program, s.Call, s.Attempt = c.call.Customer, c.call.Program, c.call.ID, c.begin.Attempt
	ctx, cancel := c.recordContext()
	defer cancel()
	return c.h.Owners.Settle(ctx, s)
}
