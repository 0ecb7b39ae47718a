package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Settle records how an attempt ended, or allows another one.
func (b *Book) Settle(r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	p := b.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]
	var c *call
	if p != nil {
		c = p.calls[r.Call]
	}
	switch {
	case c == nil:
		b.late(r)
		done(chestnutcleat.SettleReply{})
	case c.state == ended && c.presumed && c.attempt == r.Attempt && !r.Again:
		c.presumed = false
		c.saved()
		c.charged -= c.assumed
		c.reserved, c.assumed = c.assumed, 0
		c.state = running
		b.settled(p, c, r, done)
	case c.state == ended:
		b.late(r)
		c.afterSave(func() { done(chestnutcleat.SettleReply{Next: b.replay(c)}) })
	case c.again > 0 && c.again == r.Attempt && (r.Again || r.Crashed):
		b.resettle(p, c, done)
	case c.state != running || c.attempt != r.Attempt:
		b.late(r)
		done(chestnutcleat.SettleReply{})
	case r.Crashed:
		b.crash(p, c, r, done)
	case r.Again && b.mayRepeat(c):
		b.next(p, c, r, done)
	default:
		b.settled(p, c, r, done)
	}
}

// late drops the report of an old attempt.
func (b *Book) late(r chestnutcleat.SettleRequest) {
	b.stats.Late++
	b.emit(event.ProgramLateSettle, "customer", r.Customer, "program", r.Program, "call", r.Call, "attempt", r.Attempt)
}

// mayRepeat reports whether another attempt is allowed.
func (b *Book) mayRepeat(c *call) bool {
	return (c.Repeatable || !(c.started || c.starting)) && c.retries < maxRetries
}

// resettle answers a settle whose reply was lost.
func (b *Book) resettle(p *program, c *call, done func(chestnutcleat.SettleReply)) {
	if c.state == running {
		done(chestnutcleat.SettleReply{Next: b.permit(p, c)})
		return
	}
	b.wait(p, c, chestnutcleat.BeginRequest{Call: c.Call}, func(n chestnutcleat.BeginReply) { done(chestnutcleat.SettleReply{Next: n}) })
}

// next makes another attempt that the same entry VM runs.
func (b *Book) next(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	b.free(p, c)
	if r.Upstream != "" {
		c.avoid = append(c.avoid, r.Upstream)
	}
	if p.upstream == r.Upstream {
		p.upstream, p.cached = "", 0
	}
	c.stopSilence()
	// An attempt that broke off may have used what was reserved, unless its usage is known.
	if used := r.Answer.Usage.Total(); used > 0 {
		c.charged += used
		c.ran = true
	} else if c.started && r.Answer.Outcome != chestnutcleat.NotRun {
		c.charged += c.reserved
		c.ran = true
	}
	c.reserved = 0
	c.retries++
	c.again = c.attempt
	c.attempt++
	c.starting = false
	w := &waiter{done: func(n chestnutcleat.BeginReply) { done(chestnutcleat.SettleReply{Next: n}) }}
	w.timer = b.Loop.After(time.Until(c.Deadline), func() { b.leave(p, c, w) })
	c.waiters = append([]*waiter{w}, c.waiters...)
	b.check(p, c)
}

// crash marks the fingerprint of a call whose upstream died.
func (b *Book) crash(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	b.emit(event.ProgramCrash, "customer", p.customer, "program", p.id, "call", c.ID, "upstream", r.Upstream)
	c.stopSilence()
	decide := func(crashes int) {
		if p.gone || c.state != running || c.attempt != r.Attempt {
			b.late(r)
			done(chestnutcleat.SettleReply{})
			return
		}
		c.crashes = max(crashes, c.crashes+1)
		switch {
		case c.started && !c.Repeatable:
			r.Answer = unknownAnswer(c, "the upstream's connection broke while it ran the call")
			b.settled(p, c, r, done)
		case c.crashes >= 2:
			b.emit(event.ProgramSuspect, "customer", p.customer, "route", c.Route, "body", c.Body)
			c.charged += c.reserved
			c.reserved = 0
			b.crashed(p, c)
			c.afterSave(func() { done(chestnutcleat.SettleReply{Next: b.replay(c)}) })
		case b.mayRepeat(c):
			b.next(p, c, r, done)
		default:
			b.settled(p, c, r, done)
		}
	}
	if b.Suspect == nil {
		decide(0)
		return
	}
	f := b.fingerprint(p, c)
	f.Crashed = true
	b.Suspect(f, func(s chestnutcleat.SuspectReply, _ error) { decide(s.Crashes) })
}

// settled records the final answer of a call.
func (b *Book) settled(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	b.attemptEnded(p, c, r.Answer.Outcome == chestnutcleat.Done && !r.Crashed)
	if r.Answer.Outcome == "" {
		r.Answer.Outcome = chestnutcleat.Unknown
	}
	if r.Answer.Outcome == chestnutcleat.NotRun && !c.ran {
		b.notRun(p, c, done)
		return
	}
	if r.Answer.Outcome == chestnutcleat.NotRun {
		r.Answer = ranBefore(r.Answer)
	}
	used := r.Answer.Usage
	switch {
	case used.Total() > 0 || r.Answer.Outcome == chestnutcleat.Done:
		c.used = used
		if used.Total() > c.reserved && c.reserved > 0 {
			b.emit(event.ProgramOverBudget, "program", p.id, "call", c.ID, "used", used.Total(), "reserved", c.reserved)
		}
	default:
		// Nothing is known of the usage, so the call may have used all that was reserved.
		c.charged += c.reserved
	}
	c.reserved = 0
	if len(r.History) > 0 && c.sent.extended(r.History) {
		c.tip = tipOf(r.History)
	}
	if r.Upstream != "" && r.Answer.Outcome == chestnutcleat.Done && c.sent.Length > 0 {
		p.upstream, p.cached = r.Upstream, used.Total()
	}
	b.finishThen(p, c, r.Answer, func() { done(chestnutcleat.SettleReply{}) })
}

// ranBefore corrects the answer of an attempt that did not run when an earlier one did.
func ranBefore(a chestnutcleat.Answer) chestnutcleat.Answer {
	a.Outcome = chestnutcleat.Failed
	if a.Problem != nil {
		problem := *a.Problem
		problem.Outcome = chestnutcleat.Failed
		a.Problem = &problem
	}
	return a
}

// unknownAnswer returns the answer of a call of which nobody knows whether it ran.
func unknownAnswer(c *call, reason string) chestnutcleat.Answer {
	problem := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Unknown, "%s", reason)
	problem.Call = c.ID
	return chestnutcleat.Answer{Status: problem.Status, Outcome: chestnutcleat.Unknown, Problem: problem}
}

// notRun forgets a call of which no part ran, so that a resend runs it.
func (b *Book) notRun(p *program, c *call, done func(chestnutcleat.SettleReply)) {
	c.stopSilence()
	c.reserved = 0
	if len(c.waiters) > 0 {
		c.attempt++
		c.again, c.starting = 0, false
		b.check(p, c)
	} else {
		b.withdraw(p, c)
		b.wake(p)
	}
	done(chestnutcleat.SettleReply{})
}

// finish records the answer of a call.
func (b *Book) finish(p *program, c *call, a chestnutcleat.Answer) {
	b.finishThen(p, c, a, func() {})
}

// finishThen records the answer, passes it to the waiters, and then calls done.
// The answer is stored first, so that a later owner replays the same one and knows that the call has ended.
func (b *Book) finishThen(p *program, c *call, a chestnutcleat.Answer, done func()) {
	c.stopSilence()
	c.reserved = 0
	c.state = ended
	c.endedAt = time.Now()
	p.last = c.endedAt
	b.startAll(c, chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "the attempt has ended"))
	b.discard(c)
	b.retain(c, a)
	c.savers = append(c.savers, done)
	c.saves++
	b.save(p, c, c.saves)
	b.wake(p)
}

// save stores the n-th end of a call until that succeeds, a report replaces a presumed end or another VM owns the program.
func (b *Book) save(p *program, c *call, n int) {
	b.append(!c.Repeatable, func(err error) {
		switch {
		case c.saves != n:
		case err != nil:
			b.emit(event.ProgramJournal, "program", p.id, "call", c.ID, "error", err)
			b.Loop.After(saveInterval, func() {
				if c.saves == n {
					b.save(p, c, n)
				}
			})
		default:
			c.saved()
			c.reply(b.replay(c))
		}
	}, b.callRecord(p, c, maxJournaled))
}

// saving reports whether the end of the call is not stored yet, for which callers must wait.
func (c *call) saving() bool { return len(c.savers) > 0 }

// afterSave calls f once the end of a call is stored, or another VM owns its program.
func (c *call) afterSave(f func()) {
	if c.saving() {
		c.savers = append(c.savers, f)
		return
	}
	f()
}

// saved ends the wait for the end of a call to be stored.
func (c *call) saved() {
	c.saves++
	list := c.savers
	c.savers = nil
	for _, f := range list {
		f()
	}
}
