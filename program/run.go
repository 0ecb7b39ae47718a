package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// check asks whether the call's fingerprint crashed upstreams before.
func (b *Book) check(p *program, c *call) {
	c.state = pending
	if b.Suspect == nil {
		b.reserve(p, c)
		return
	}
	attempt := c.attempt
	f := b.fingerprint(p, c)
	b.Suspect(f, func(r chestnutcleat.SuspectReply, err error) {
		if p.gone || c.state != pending || c.attempt != attempt {
			f.Ended = true
			b.Suspect(f, func(chestnutcleat.SuspectReply, error) {})
			return
		}
		b.checked(p, c, r, err)
	})
}

func (b *Book) checked(p *program, c *call, r chestnutcleat.SuspectReply, err error) {
	switch {
	case len(c.waiters) == 0:
		b.idle(p, c)
	case err != nil:
		b.abandon(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerLost, chestnutcleat.NotRun, "the owner of the crash marks cannot be reached").WithRetry(time.Second))
	case r.Crashes >= 2:
		b.crashed(p, c)
	case r.Busy:
		attempt := c.attempt
		b.Loop.After(suspectInterval, func() {
			if !p.gone && c.state == pending && c.attempt == attempt {
				b.check(p, c)
			}
		})
	default:
		c.crashes = r.Crashes
		b.reserve(p, c)
	}
}

func (b *Book) fingerprint(p *program, c *call) chestnutcleat.SuspectRequest {
	return chestnutcleat.SuspectRequest{Customer: p.customer, Route: c.Route, Body: c.Body, Holder: holder(p, c)}
}

// crashed ends a call that crashed two upstreams.
func (b *Book) crashed(p *program, c *call) {
	problem := chestnutcleat.NewProblem(chestnutcleat.CodeCrash, chestnutcleat.Failed, "the request crashed two upstreams")
	problem.Call = c.ID
	b.finish(p, c, chestnutcleat.Answer{Status: problem.Status, Outcome: chestnutcleat.Failed, Problem: problem})
}

// reserve takes the call's tokens from the budget and records that.
func (b *Book) reserve(p *program, c *call) {
	rest := p.budget - p.charge() - c.Prompt
	c.output = min(c.Output, rest)
	if rest < 0 || c.output < min(c.Output, minOutput) {
		problem := chestnutcleat.NewProblem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "program %q has used or reserved its budget of %d tokens", p.id, p.budget)
		if p.reserved() > 0 {
			problem.WithRetry(time.Second)
		}
		b.abandon(p, c, problem)
		return
	}
	c.reserved = c.Prompt + c.output
	if len(c.waiters) > 0 {
		// The record names the request, so that its repetition after a takeover is known.
		c.holder = c.waiters[0].request
	}
	attempt := c.attempt
	b.append(false, func(err error) {
		if p.gone || c.state != pending || c.attempt != attempt {
			return
		}
		if err != nil {
			b.emit(event.ProgramJournal, "program", p.id, "error", err)
			b.abandon(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerLost, chestnutcleat.NotRun, "the reservation could not be stored").WithRetry(time.Second))
			return
		}
		b.grant(p, c)
	}, b.programRecord(p), b.callRecord(p, c, maxJournaled))
}

// abandon refuses an attempt. A call whose earlier attempt may have run ends if the refusal is final,
// otherwise a resend makes another attempt.
func (b *Book) abandon(p *program, c *call, problem *chestnutcleat.Problem) {
	b.free(p, c)
	c.reserved = 0
	if !c.ran {
		b.reject(p, c, problem)
		b.wake(p)
		return
	}
	later := *problem
	if problem.Code == chestnutcleat.CodeBudget && problem.Retry == 0 {
		later.Outcome = chestnutcleat.Failed
		b.finish(p, c, chestnutcleat.Answer{Status: later.Status, Outcome: later.Outcome, Problem: &later})
		return
	}
	later.Outcome = chestnutcleat.Unknown
	c.state, c.silent, c.started = running, true, false
	b.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: &later})
}

// grant lets the first waiter run the call.
func (b *Book) grant(p *program, c *call) {
	if len(c.waiters) == 0 {
		b.idle(p, c)
		return
	}
	c.state = running
	c.started, c.starting, c.silent, c.ticket = false, false, false, ""
	b.stats.Begun++
	b.watch(p, c)
	w := c.take()
	c.holder = w.request
	w.done(b.permit(p, c))
	b.repeatGrant(p, c)
}

// repeatGrant answers the repetitions of the request that may run the call.
func (b *Book) repeatGrant(p *program, c *call) {
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
		w.done(b.permit(p, c))
	}
}

// permit returns the reply that lets an entry VM run the call.
func (b *Book) permit(p *program, c *call) chestnutcleat.BeginReply {
	return chestnutcleat.BeginReply{
		Run: true, Attempt: c.attempt, Started: p.started, Upstream: p.upstream, Cached: min(p.cached, c.Prompt),
		Output: c.output, Alone: c.crashes > 0, Avoid: append([]chestnutcleat.UpstreamID(nil), c.avoid...),
		Until: p.started.Add(b.limits().Wall.Or(chestnutcleat.DefaultWall)),
	}
}

// idle withdraws an attempt that nobody waits for.
func (b *Book) idle(p *program, c *call) {
	b.free(p, c)
	c.reserved = 0
	if !c.ran {
		b.withdraw(p, c)
		b.wake(p)
		return
	}
	c.state, c.silent, c.started = running, true, false
}

// free reports that the current attempt of a call no longer runs.
func (b *Book) free(p *program, c *call) { b.attemptEnded(p, c, false) }

// attemptEnded tells the owner of the fingerprint that an attempt no longer runs, and whether it was answered.
func (b *Book) attemptEnded(p *program, c *call, answered bool) {
	if b.Suspect == nil {
		return
	}
	r := b.fingerprint(p, c)
	r.Ended, r.Done = true, answered
	b.Suspect(r, func(chestnutcleat.SuspectReply, error) {})
}

// watch notices an entry VM that does not report the end of a call.
func (b *Book) watch(p *program, c *call) {
	c.stopSilence()
	c.silence = b.Loop.After(b.timeout(c.Route), func() {
		if !p.gone && c.state == running {
			b.silent(p, c)
		}
	})
}

// silent handles a call whose entry VM did not report its end in time.
func (b *Book) silent(p *program, c *call) {
	b.stats.Silent++
	b.emit(event.ProgramSilent, "customer", p.customer, "program", p.id, "call", c.ID)
	if c.started && !c.Repeatable {
		b.unknown(p, c, "the VM that ran the call did not report its end")
		return
	}
	c.silent = true
	if len(c.waiters) > 0 {
		b.rerun(p, c)
	}
}

// rerun makes a new attempt of a call whose entry VM is silent.
func (b *Book) rerun(p *program, c *call) {
	c.stopSilence()
	b.free(p, c)
	if c.started {
		c.charged += c.reserved
		c.ran = true
	}
	c.reserved = 0
	c.attempt++
	c.again, c.silent, c.starting = 0, false, false
	b.startAll(c, chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "another attempt replaced this one"))
	b.check(p, c)
}

// unknown ends a call of which nobody knows whether it ran.
func (b *Book) unknown(p *program, c *call, reason string) {
	b.stats.Unknown++
	b.emit(event.ProgramUnknown, "customer", p.customer, "program", p.id, "call", c.ID)
	c.assumed = c.reserved
	c.charged += c.assumed
	c.presumed = len(c.waiters) == 0
	b.finish(p, c, unknownAnswer(c, reason))
}
