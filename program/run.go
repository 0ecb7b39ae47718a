package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// checkSuspect asks the fingerprint's owner whether the call may run or has crashed upstreams before.
func (b *Manager) checkSuspect(p *program, c *call) {
	c.state = pending
	if b.Suspect == nil {
		b.reserveTokens(p, c)
		return
	}
	attempt := c.attempt
	f := b.fingerprint(p, c)
	b.Suspect(f, func(r chestnutcleat.CrashCheckReply, err error) {
		if p.dropped || c.state != pending || c.attempt != attempt {
			f.Ended = true
			b.Suspect(f, func(chestnutcleat.CrashCheckReply, error) {})
			return
		}
		b.handleSuspectReply(p, c, r, err)
	})
}

func (b *Manager) handleSuspectReply(p *program, c *call, r chestnutcleat.CrashCheckReply, err error) {
	switch {
	case len(c.waiters) == 0:
		b.withdrawAttempt(p, c)
	case err != nil:
		b.refuseAttempt(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the owner of the crash marks cannot be reached").WithRetry(time.Second))
	case r.Crashes >= 2:
		b.finishCrashed(p, c)
	case r.Busy:
		attempt := c.attempt
		b.Loop.After(suspectInterval, func() {
			if !p.dropped && c.state == pending && c.attempt == attempt {
				b.checkSuspect(p, c)
			}
		})
	default:
		c.crashes = r.Crashes
		b.reserveTokens(p, c)
	}
}

func (b *Manager) fingerprint(p *program, c *call) chestnutcleat.CrashCheckRequest {
	return chestnutcleat.CrashCheckRequest{Customer: p.customer, Route: c.Route, Body: c.BodyDigest, Attempt: holder(p, c)}
}

// finishCrashed ends a call that crashed two upstreams.
func (b *Manager) finishCrashed(p *program, c *call) {
	problem := chestnutcleat.NewProblem(chestnutcleat.CodeCrash, chestnutcleat.Failed, "the request crashed two upstreams")
	problem.Call = c.ID
	b.finish(p, c, chestnutcleat.Answer{Status: problem.Status, Outcome: chestnutcleat.Failed, Problem: problem})
}

// reserveTokens reserves the call's tokens in the program's budget, stores the reservation and then grants the attempt.
func (b *Manager) reserveTokens(p *program, c *call) {
	rest := p.budget - p.charge() - c.Prompt
	c.output = min(c.Output, rest)
	if rest < 0 || c.output < min(c.Output, minOutput) {
		problem := chestnutcleat.NewProblem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "program %q has used or reserved its budget of %d tokens", p.id, p.budget)
		if p.reserved() > 0 {
			problem.WithRetry(time.Second)
		}
		b.refuseAttempt(p, c, problem)
		return
	}
	c.reserved = c.Prompt + c.output
	if len(c.waiters) > 0 {
		// The record contains the request id, so that a new owner recognizes a retry of the request.
		c.holder = c.waiters[0].request
	}
	attempt := c.attempt
	b.append(false, func(err error) {
		if p.dropped || c.state != pending || c.attempt != attempt {
			return
		}
		if err != nil {
			b.emit(event.ProgramJournal, "program", p.id, "error", err)
			b.refuseAttempt(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the reservation could not be stored").WithRetry(time.Second))
			return
		}
		b.grantAttempt(p, c)
	}, b.programRecord(p), b.callRecord(p, c, maxJournaled))
}

// refuseAttempt refuses an attempt. If an earlier attempt may have run, a final refusal ends the call; after any other
// refusal, a resend starts another attempt.
func (b *Manager) refuseAttempt(p *program, c *call, problem *chestnutcleat.Problem) {
	b.reportAttemptAborted(p, c)
	c.reserved = 0
	if !c.mayHaveRun {
		b.reject(p, c, problem)
		b.advanceWaiting(p)
		return
	}
	later := *problem
	if problem.Code == chestnutcleat.CodeBudget && problem.Retry == 0 {
		later.Outcome = chestnutcleat.Failed
		b.finish(p, c, chestnutcleat.Answer{Status: later.Status, Outcome: later.Outcome, Problem: &later})
		return
	}
	later.Outcome = chestnutcleat.Unknown
	c.state, c.abandoned, c.started = running, true, false
	b.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: &later})
}

// grantAttempt gives the first waiter permission to run the call.
func (b *Manager) grantAttempt(p *program, c *call) {
	if len(c.waiters) == 0 {
		b.withdrawAttempt(p, c)
		return
	}
	c.state = running
	c.started, c.starting, c.abandoned, c.ticket = false, false, false, ""
	b.stats.Begun++
	b.startReportTimer(p, c)
	w := c.take()
	c.holder = w.request
	w.done(b.runReply(p, c))
	b.grantDuplicates(p, c)
}

// grantDuplicates gives the same permission to retries of the request that holds it.
func (b *Manager) grantDuplicates(p *program, c *call) {
	if c.holder == "" {
		return
	}
	for i := 0; i < len(c.waiters); {
		w := c.waiters[i]
		if w.request != c.holder {
			i++
			continue
		}
		c.waiters = append(c.waiters[:i:i], c.waiters[i+1:]...)
		w.timer.Stop()
		w.done(b.runReply(p, c))
	}
}

// runReply returns the reply with permission to run the call.
func (b *Manager) runReply(p *program, c *call) chestnutcleat.BeginReply {
	return chestnutcleat.BeginReply{
		Run: true, Attempt: c.attempt, Started: p.started, Upstream: p.upstream, Cached: min(p.cached, c.Prompt),
		Output: c.output, Isolated: c.crashes > 0, Avoid: append([]chestnutcleat.UpstreamID(nil), c.avoid...),
		WallClockEnd: p.started.Add(b.limits().WallClock.OrDefault(chestnutcleat.DefaultWallClock)),
	}
}

// withdrawAttempt withdraws an attempt for which no caller waits.
func (b *Manager) withdrawAttempt(p *program, c *call) {
	b.reportAttemptAborted(p, c)
	c.reserved = 0
	if !c.mayHaveRun {
		b.withdraw(p, c)
		b.advanceWaiting(p)
		return
	}
	c.state, c.abandoned, c.started = running, true, false
}

// reportAttemptAborted reports to the fingerprint's owner that the current attempt no longer runs and has no answer.
func (b *Manager) reportAttemptAborted(p *program, c *call) { b.reportAttemptEnd(p, c, false) }

// reportAttemptEnd reports to the fingerprint's owner that the current attempt no longer runs and whether it was answered.
func (b *Manager) reportAttemptEnd(p *program, c *call, answered bool) {
	if b.Suspect == nil {
		return
	}
	r := b.fingerprint(p, c)
	r.Ended, r.Done = true, answered
	b.Suspect(r, func(chestnutcleat.CrashCheckReply, error) {})
}

// startReportTimer starts the timeout for the entry VM's report of the call's end.
func (b *Manager) startReportTimer(p *program, c *call) {
	c.stopReportTimer()
	c.reportTimer = b.Loop.After(b.timeout(c.Route), func() {
		if !p.dropped && c.state == running {
			b.handleReportTimeout(p, c)
		}
	})
}

// handleReportTimeout handles a call whose entry VM did not report its end in time.
func (b *Manager) handleReportTimeout(p *program, c *call) {
	b.stats.Silent++
	b.emit(event.ProgramReportMissing, "customer", p.customer, "program", p.id, "call", c.ID)
	if c.started && !c.Repeatable {
		b.finishUnknown(p, c, "the VM that ran the call did not report its end")
		return
	}
	c.abandoned = true
	if len(c.waiters) > 0 {
		b.rerun(p, c)
	}
}

// rerun starts a new attempt of an abandoned call.
func (b *Manager) rerun(p *program, c *call) {
	c.stopReportTimer()
	b.reportAttemptAborted(p, c)
	if c.started {
		c.lostCharge += c.reserved
		c.mayHaveRun = true
	}
	c.reserved = 0
	c.attempt++
	c.retriedAttempt, c.abandoned, c.starting = 0, false, false
	b.replyStarters(c, chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "another attempt replaced this one"))
	b.checkSuspect(p, c)
}

// finishUnknown ends a call of which it is unknown whether it ran, and charges its reservation.
func (b *Manager) finishUnknown(p *program, c *call, reason string) {
	b.stats.Unknown++
	b.emit(event.ProgramUnknown, "customer", p.customer, "program", p.id, "call", c.ID)
	c.presumedCharge = c.reserved
	c.lostCharge += c.presumedCharge
	c.presumed = len(c.waiters) == 0
	b.finish(p, c, unknownAnswer(c, reason))
}
