package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Settle records the end of an attempt or starts a retry.
func (m *Manager) Settle(r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	p := m.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]
	var c *call
	if p != nil {
		c = p.calls[r.Call]
	}
	switch {
	case c == nil:
		m.dropLateReport(r)
		done(chestnutcleat.SettleReply{})
	case c.state == ended && c.presumed && c.attempt == r.Attempt && !r.Retry:
		c.presumed = false
		c.notifyStored()
		c.lostCharge -= c.presumedCharge
		c.reserved, c.presumedCharge = c.presumedCharge, 0
		c.state = running
		m.finishAttempt(p, c, r, done)
	case c.state == ended:
		m.dropLateReport(r)
		c.afterStored(func() { done(chestnutcleat.SettleReply{Next: m.replay(c)}) })
	case c.retriedAttempt > 0 && c.retriedAttempt == r.Attempt && (r.Retry || r.Crashed):
		m.repeatSettle(p, c, done)
	case c.state != running || c.attempt != r.Attempt:
		m.dropLateReport(r)
		done(chestnutcleat.SettleReply{})
	case r.Crashed:
		m.handleCrash(p, c, r, done)
	case r.Retry && m.mayRetry(c):
		m.retry(p, c, r, done)
	default:
		m.finishAttempt(p, c, r, done)
	}
}

// dropLateReport counts the report of an outdated attempt, which is ignored.
func (m *Manager) dropLateReport(r chestnutcleat.SettleRequest) {
	m.stats.Late++
	m.emit(event.ProgramLateSettle, "customer", r.Customer, "program", r.Program, "call", r.Call, "attempt", r.Attempt)
}

// mayRetry reports whether another attempt is allowed.
func (m *Manager) mayRetry(c *call) bool {
	return (c.Repeatable || !(c.started || c.starting)) && c.retries < maxRetries
}

// repeatSettle answers a retried settle request that has already started the current attempt.
func (m *Manager) repeatSettle(p *program, c *call, done func(chestnutcleat.SettleReply)) {
	if c.state == running {
		done(chestnutcleat.SettleReply{Next: m.runReply(p, c)})
		return
	}
	m.addWaiter(p, c, chestnutcleat.BeginRequest{Call: c.Call}, func(n chestnutcleat.BeginReply) { done(chestnutcleat.SettleReply{Next: n}) })
}

// retry starts another attempt for the same entry VM.
func (m *Manager) retry(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	m.reportAttemptAborted(p, c)
	if r.Upstream != "" {
		c.avoid = append(c.avoid, r.Upstream)
	}
	if p.upstream == r.Upstream {
		p.upstream, p.cached = "", 0
	}
	c.stopReportTimer()
	// An interrupted attempt may have used its whole reservation, unless its usage is known.
	if used := r.Answer.Usage.Total(); used > 0 {
		c.lostCharge += used
		c.mayHaveRun = true
	} else if c.started && r.Answer.Outcome != chestnutcleat.NotRun {
		c.lostCharge += c.reserved
		c.mayHaveRun = true
	}
	c.reserved = 0
	c.retries++
	c.retriedAttempt = c.attempt
	c.attempt++
	c.starting = false
	w := &waiter{done: func(n chestnutcleat.BeginReply) { done(chestnutcleat.SettleReply{Next: n}) }}
	w.timer = m.Loop.After(time.Until(c.Deadline), func() { m.expireWaiter(p, c, w) })
	c.waiters = append([]*waiter{w}, c.waiters...)
	m.checkSuspect(p, c)
}

// handleCrash reports the crash of a call's upstream to the fingerprint's owner and then retries or ends the call.
func (m *Manager) handleCrash(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	m.emit(event.ProgramCrash, "customer", p.customer, "program", p.id, "call", c.ID, "upstream", r.Upstream)
	c.stopReportTimer()
	decide := func(crashes int) {
		if p.dropped || c.state != running || c.attempt != r.Attempt {
			m.dropLateReport(r)
			done(chestnutcleat.SettleReply{})
			return
		}
		c.crashes = max(crashes, c.crashes+1)
		switch {
		case c.started && !c.Repeatable:
			r.Answer = unknownAnswer(c, "the upstream's connection broke while it ran the call")
			m.finishAttempt(p, c, r, done)
		case c.crashes >= 2:
			m.emit(event.ProgramSuspect, "customer", p.customer, "route", c.Route, "body", c.BodyDigest)
			c.lostCharge += c.reserved
			c.reserved = 0
			m.finishCrashed(p, c)
			c.afterStored(func() { done(chestnutcleat.SettleReply{Next: m.replay(c)}) })
		case m.mayRetry(c):
			m.retry(p, c, r, done)
		default:
			m.finishAttempt(p, c, r, done)
		}
	}
	if m.Suspect == nil {
		decide(0)
		return
	}
	check := m.newCrashCheck(p, c)
	check.Crashed = true
	m.Suspect(check, func(s chestnutcleat.CrashCheckReply, _ error) { decide(s.Crashes) })
}

// finishAttempt records the final answer of a call.
func (m *Manager) finishAttempt(p *program, c *call, r chestnutcleat.SettleRequest, done func(chestnutcleat.SettleReply)) {
	m.reportAttemptEnd(p, c, r.Answer.Outcome == chestnutcleat.Done && !r.Crashed)
	if r.Answer.Outcome == "" {
		r.Answer.Outcome = chestnutcleat.Unknown
	}
	if r.Answer.Outcome == chestnutcleat.NotRun && !c.mayHaveRun {
		m.handleNotRun(p, c, done)
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
			m.emit(event.ProgramOverBudget, "program", p.id, "call", c.ID, "used", used.Total(), "reserved", c.reserved)
		}
	default:
		// The usage is unknown, so the call may have used its whole reservation.
		c.lostCharge += c.reserved
	}
	c.reserved = 0
	if len(r.History) > 0 && c.sentTip.extendedBy(r.History) {
		c.tip = tipOf(r.History)
	}
	if r.Upstream != "" && r.Answer.Outcome == chestnutcleat.Done && c.sentTip.Length > 0 {
		p.upstream, p.cached = r.Upstream, used.Total()
	}
	m.finishThen(p, c, r.Answer, func() { done(chestnutcleat.SettleReply{}) })
}

// ranBefore returns the answer with the outcome Failed, for an attempt that did not run after one that may have.
func ranBefore(a chestnutcleat.Answer) chestnutcleat.Answer {
	a.Outcome = chestnutcleat.Failed
	if a.Problem != nil {
		problem := *a.Problem
		problem.Outcome = chestnutcleat.Failed
		a.Problem = &problem
	}
	return a
}

// unknownAnswer returns the answer of a call of which it is unknown whether it ran.
func unknownAnswer(c *call, reason string) chestnutcleat.Answer {
	problem := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Unknown, "%s", reason)
	problem.Call = c.ID
	return chestnutcleat.Answer{Status: problem.Status, Outcome: chestnutcleat.Unknown, Problem: problem}
}

// handleNotRun starts another attempt of a call that did not run if callers wait, and otherwise withdraws the call, so
// that a resend runs it.
func (m *Manager) handleNotRun(p *program, c *call, done func(chestnutcleat.SettleReply)) {
	c.stopReportTimer()
	c.reserved = 0
	if len(c.waiters) > 0 {
		c.attempt++
		c.retriedAttempt, c.starting = 0, false
		m.checkSuspect(p, c)
	} else {
		m.withdraw(p, c)
		m.advanceWaiting(p)
	}
	done(chestnutcleat.SettleReply{})
}

// finish ends a call with an answer.
func (m *Manager) finish(p *program, c *call, a chestnutcleat.Answer) {
	m.finishThen(p, c, a, func() {})
}

// finishThen ends a call with an answer. Once the answer is stored, it calls done and replies to the waiters. Storing it
// first ensures that a later owner replays the same answer and knows that the call has ended.
func (m *Manager) finishThen(p *program, c *call, a chestnutcleat.Answer, done func()) {
	c.stopReportTimer()
	c.reserved = 0
	c.state = ended
	c.endedAt = time.Now()
	p.lastActive = c.endedAt
	m.replyStarters(c, chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "the attempt has ended"))
	m.dropBody(c)
	m.retainAnswer(c, a)
	c.onStored = append(c.onStored, done)
	c.storeVersion++
	m.storeEnd(p, c, c.storeVersion)
	m.advanceWaiting(p)
}

// storeEnd stores version n of the end of a call. It retries until the write succeeds, a report replaces a presumed end,
// or another VM owns the program.
func (m *Manager) storeEnd(p *program, c *call, n int) {
	m.append(!c.Repeatable, func(err error) {
		switch {
		case c.storeVersion != n:
		case err != nil:
			m.emit(event.ProgramJournal, "program", p.id, "call", c.ID, "error", err)
			m.Loop.After(storeRetryInterval, func() {
				if c.storeVersion == n {
					m.storeEnd(p, c, n)
				}
			})
		default:
			c.notifyStored()
			c.reply(m.replay(c))
		}
	}, m.callRecord(p, c, maxJournaled))
}

// storing reports whether the end of the call is still being stored. Callers must wait for that.
func (c *call) storing() bool { return len(c.onStored) > 0 }

// afterStored calls f once the end of the call is stored or another VM owns the program.
func (c *call) afterStored(f func()) {
	if c.storing() {
		c.onStored = append(c.onStored, f)
		return
	}
	f()
}

// notifyStored runs the onStored callbacks and invalidates writes in flight.
func (c *call) notifyStored() {
	c.storeVersion++
	list := c.onStored
	c.onStored = nil
	for _, f := range list {
		f()
	}
}
