package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// checkSuspect asks the fingerprint's owner whether the call may run or has crashed upstreams before.
func (m *Manager) checkSuspect(p *program, c *call) {
	c.state = pending
	if m.Suspect == nil {
		m.reserveTokens(p, c)
		return
	}
	attempt := c.attempt
	check := m.newCrashCheck(p, c)
	m.Suspect(check, func(r chestnutcleat.CrashCheckReply, err error) {
		if p.dropped || c.state != pending || c.attempt != attempt {
			check.Ended = true
			m.Suspect(check, func(chestnutcleat.CrashCheckReply, error) {})
			return
		}
		m.handleSuspectReply(p, c, r, err)
	})
}

func (m *Manager) handleSuspectReply(p *program, c *call, r chestnutcleat.CrashCheckReply, err error) {
	switch {
	case len(c.waiters) == 0:
		m.withdrawAttempt(p, c)
	case err != nil:
		m.refuseAttempt(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the owner of the crash records cannot be reached").WithRetry(time.Second))
	case r.Crashes >= 2:
		m.finishCrashed(p, c)
	case r.Busy:
		attempt := c.attempt
		m.Loop.After(suspectInterval, func() {
			if !p.dropped && c.state == pending && c.attempt == attempt {
				m.checkSuspect(p, c)
			}
		})
	default:
		c.crashes = r.Crashes
		m.reserveTokens(p, c)
	}
}

func (m *Manager) newCrashCheck(p *program, c *call) chestnutcleat.CrashCheckRequest {
	return chestnutcleat.CrashCheckRequest{Customer: p.customer, Route: c.Route, Body: c.BodyDigest, Attempt: attemptID(p, c)}
}

// finishCrashed ends a call that crashed two upstreams.
func (m *Manager) finishCrashed(p *program, c *call) {
	problem := chestnutcleat.NewProblem(chestnutcleat.CodeCrash, chestnutcleat.Failed, "the request crashed two upstreams")
	problem.Call = c.ID
	m.finish(p, c, chestnutcleat.Answer{Status: problem.Status, Outcome: chestnutcleat.Failed, Problem: problem})
}

// reserveTokens reserves the call's tokens in the program's budget, stores the reservation and then grants the attempt.
func (m *Manager) reserveTokens(p *program, c *call) {
	remaining := p.budget - p.charge() - c.Prompt
	c.output = min(c.Output, remaining)
	if remaining < 0 || c.output < min(c.Output, minOutput) {
		problem := chestnutcleat.NewProblem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "program %q has used or reserved its budget of %d tokens", p.id, p.budget)
		if p.reserved() > 0 {
			problem.WithRetry(time.Second)
		}
		m.refuseAttempt(p, c, problem)
		return
	}
	c.reserved = c.Prompt + c.output
	if len(c.waiters) > 0 {
		// The record contains the request id, so that a new owner recognizes a retry of the request.
		c.holder = c.waiters[0].request
	}
	attempt := c.attempt
	m.append(false, func(err error) {
		if p.dropped || c.state != pending || c.attempt != attempt {
			return
		}
		if err != nil {
			m.emit(event.ProgramJournal, "program", p.id, "error", err)
			m.refuseAttempt(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the reservation could not be stored").WithRetry(time.Second))
			return
		}
		m.grantAttempt(p, c)
	}, m.programRecord(p), m.callRecord(p, c, maxJournaled))
}

// refuseAttempt refuses an attempt. If an earlier attempt may have run, a final refusal ends the call; after any other
// refusal, a resend starts another attempt.
func (m *Manager) refuseAttempt(p *program, c *call, problem *chestnutcleat.Problem) {
	m.reportAttemptAborted(p, c)
	c.reserved = 0
	if !c.mayHaveRun {
		m.reject(p, c, problem)
		m.advanceWaiting(p)
		return
	}
	later := *problem
	if problem.Code == chestnutcleat.CodeBudget && problem.Retry == 0 {
		later.Outcome = chestnutcleat.Failed
		m.finish(p, c, chestnutcleat.Answer{Status: later.Status, Outcome: later.Outcome, Problem: &later})
		return
	}
	later.Outcome = chestnutcleat.Unknown
	c.state, c.abandoned, c.started = running, true, false
	m.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: &later})
}

// grantAttempt gives the first waiter permission to run the call.
func (m *Manager) grantAttempt(p *program, c *call) {
	if len(c.waiters) == 0 {
		m.withdrawAttempt(p, c)
		return
	}
	c.state = running
	c.started, c.starting, c.abandoned, c.ticket = false, false, false, ""
	m.stats.Begun++
	m.startReportTimer(p, c)
	w := c.popWaiter()
	c.holder = w.request
	w.done(m.runReply(p, c))
	m.grantDuplicates(p, c)
}

// grantDuplicates gives the same permission to retries of the request that holds it.
func (m *Manager) grantDuplicates(p *program, c *call) {
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
		w.done(m.runReply(p, c))
	}
}

// runReply returns the reply with permission to run the call.
func (m *Manager) runReply(p *program, c *call) chestnutcleat.BeginReply {
	return chestnutcleat.BeginReply{
		Run: true, Attempt: c.attempt, Started: p.started, Upstream: p.upstream, Cached: min(p.cached, c.Prompt),
		Output: c.output, Isolated: c.crashes > 0, Avoid: append([]chestnutcleat.UpstreamID(nil), c.avoid...),
		WallClockEnd: p.started.Add(m.limits().WallClock.OrDefault(chestnutcleat.DefaultWallClock)),
	}
}

// withdrawAttempt withdraws an attempt for which no caller waits.
func (m *Manager) withdrawAttempt(p *program, c *call) {
	m.reportAttemptAborted(p, c)
	c.reserved = 0
	if !c.mayHaveRun {
		m.withdraw(p, c)
		m.advanceWaiting(p)
		return
	}
	c.state, c.abandoned, c.started = running, true, false
}

// reportAttemptAborted reports to the fingerprint's owner that the current attempt no longer runs and has no answer.
func (m *Manager) reportAttemptAborted(p *program, c *call) { m.reportAttemptEnd(p, c, false) }

// reportAttemptEnd reports to the fingerprint's owner that the current attempt no longer runs and whether it was answered.
func (m *Manager) reportAttemptEnd(p *program, c *call, answered bool) {
	if m.Suspect == nil {
		return
	}
	r := m.newCrashCheck(p, c)
	r.Ended, r.Done = true, answered
	m.Suspect(r, func(chestnutcleat.CrashCheckReply, error) {})
}

// startReportTimer starts the timeout for the entry VM's report of the call's end.
func (m *Manager) startReportTimer(p *program, c *call) {
	c.stopReportTimer()
	c.reportTimer = m.Loop.After(m.timeout(c.Route), func() {
		if !p.dropped && c.state == running {
			m.handleReportTimeout(p, c)
		}
	})
}

// handleReportTimeout handles a call whose entry VM did not report its end in time.
func (m *Manager) handleReportTimeout(p *program, c *call) {
	m.stats.Silent++
	m.emit(event.ProgramReportMissing, "customer", p.customer, "program", p.id, "call", c.ID)
	if c.started && !c.Repeatable {
		m.finishUnknown(p, c, "the VM that ran the call did not report its end")
		return
	}
	c.abandoned = true
	if len(c.waiters) > 0 {
		m.rerun(p, c)
	}
}

// rerun starts a new attempt of an abandoned call.
func (m *Manager) rerun(p *program, c *call) {
	c.stopReportTimer()
	m.reportAttemptAborted(p, c)
	if c.started {
		c.lostCharge += c.reserved
		c.mayHaveRun = true
	}
	c.reserved = 0
	c.attempt++
	c.retriedAttempt, c.abandoned, c.starting = 0, false, false
	m.replyStarters(c, chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "another attempt replaced this one"))
	m.checkSuspect(p, c)
}

// finishUnknown ends a call of which it is unknown whether it ran, and charges its reservation.
func (m *Manager) finishUnknown(p *program, c *call, reason string) {
	m.stats.Unknown++
	m.emit(event.ProgramUnknown, "customer", p.customer, "program", p.id, "call", c.ID)
	c.presumedCharge = c.reserved
	c.lostCharge += c.presumedCharge
	c.presumed = len(c.waiters) == 0
	m.finish(p, c, unknownAnswer(c, reason))
}
