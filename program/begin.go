package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Begin registers a call. It calls done with permission to run the call, its recorded answer or a problem.
func (m *Manager) Begin(r chestnutcleat.BeginRequest, done func(chestnutcleat.BeginReply)) {
	in := r.Call
	if in.ID == "" || in.Program == "" || in.After == in.ID || in.Parent == in.ID {
		m.refuse(done, chestnutcleat.NewProblem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "a call needs an id and a program and must not name itself as predecessor or parent"))
		return
	}
	if in.Deadline.IsZero() {
		in.Deadline = time.Now().Add(chestnutcleat.DefaultCallTimeout)
	}
	r.Call = in
	p := m.ensureProgram(in)
	if c, ok := p.calls[in.ID]; ok {
		m.join(p, c, r, done)
		return
	}
	if problem := m.checkNewCall(p, in); problem != nil {
		m.discardIfEmpty(p)
		m.refuse(done, problem)
		return
	}
	p.lastActive = time.Now()
	c := &call{Call: in, attempt: 1, sentTip: tipOf(in.History)}
	p.calls[in.ID] = c
	p.order = append(p.order, in.ID)
	p.count++
	m.addWaiter(p, c, r, done)
	m.advance(p, c)
	m.advanceWaiting(p)
}

// ensureProgram returns the call's program, created on first use.
func (m *Manager) ensureProgram(in chestnutcleat.Call) *program {
	key := chestnutcleat.ProgramKey(in.Customer, in.Program)
	if p, ok := m.programs[key]; ok {
		return p
	}
	if m.programs == nil {
		m.programs = map[chestnutcleat.Key]*program{}
	}
	now := time.Now()
	p := &program{key: key, customer: in.Customer, id: in.Program, started: now, lastActive: now, budget: m.limits().Tokens}
	if p.budget == 0 {
		p.budget = chestnutcleat.DefaultTokens
	}
	p.calls = map[chestnutcleat.CallID]*call{}
	p.repeats = map[chestnutcleat.Digest]int{}
	m.programs[key] = p
	return p
}

// discardIfEmpty removes a program that has accepted no call.
func (m *Manager) discardIfEmpty(p *program) {
	if len(p.calls) == 0 && p.count == 0 && !p.ended && !p.dropped {
		if p.recorded {
			m.append(false, nil, m.deleted(p.key.Slot(), programName(p.key)))
		}
		m.releaseProgram(p.key, p)
	}
}

// checkNewCall returns why a new call is refused, or nil. It also applies the call's budget.
func (m *Manager) checkNewCall(p *program, in chestnutcleat.Call) *chestnutcleat.Problem {
	if m.CheckCall != nil && !m.recordMayBeMissing(p, in) {
		if problem := m.CheckCall(in); problem != nil {
			return problem
		}
	}
	l := m.limits()
	calls := l.Calls
	if calls == 0 {
		calls = chestnutcleat.DefaultCalls
	}
	switch {
	case !in.Repeatable && m.recordMayBeMissing(p, in):
		m.stats.Unknown++
		return chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.Unknown, "the records of this program may be incomplete, so the call may have run before")
	case p.ended:
		return chestnutcleat.NewProblem(chestnutcleat.CodeProgramEnded, chestnutcleat.NotRun, "program %q has ended", p.id)
	case !time.Now().Before(in.Deadline):
		return chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the deadline has passed")
	case p.count >= calls:
		m.emit(event.ProgramLoop, "customer", p.customer, "program", p.id)
		return chestnutcleat.NewProblem(chestnutcleat.CodeLoopLimit, chestnutcleat.NotRun, "program %q made %d calls, which is its limit", p.id, p.count)
	case time.Since(p.started) >= l.WallClock.OrDefault(chestnutcleat.DefaultWallClock):
		return chestnutcleat.NewProblem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "program %q has used its wall-clock time", p.id)
	case len(in.History) > 0 && p.repeats[tipOf(in.History).Last] >= maxRepeats:
		m.emit(event.ProgramLoop, "customer", p.customer, "program", p.id)
		return chestnutcleat.NewProblem(chestnutcleat.CodeLoopLimit, chestnutcleat.NotRun, "program %q sent the same history %d times", p.id, maxRepeats)
	case m.namesUnknownCall(p, in) && m.orphans >= m.maxWaiting():
		return chestnutcleat.NewProblem(chestnutcleat.CodeOrderUnknown, chestnutcleat.NotRun, "call %q is not known and too many calls wait", in.After).WithRetry(time.Second)
	}
	if in.Budget > 0 && in.Budget < p.budget {
		p.budget = in.Budget
	}
	return nil
}

// Incomplete reports whether records of a slot may be missing, so that a call without a record may have run before.
func (m *Manager) Incomplete(s chestnutcleat.Slot) bool {
	_, ok := m.incompleteSince[s]
	return ok
}

// recordMayBeMissing reports whether the call may have run before although it has no record here. That is impossible if
// its predecessor ended after this VM took over the slot.
func (m *Manager) recordMayBeMissing(p *program, in chestnutcleat.Call) bool {
	since, ok := m.incompleteSince[p.key.Slot()]
	if !ok {
		return false
	}
	after := p.calls[in.After]
	return after == nil || after.state != ended || !after.endedAt.After(since)
}

// join handles a duplicate of a known call.
func (m *Manager) join(p *program, c *call, r chestnutcleat.BeginRequest, done func(chestnutcleat.BeginReply)) {
	in := r.Call
	p.lastActive = time.Now()
	switch {
	case c.BodyDigest != in.BodyDigest || c.Route != in.Route:
		m.refuse(done, chestnutcleat.NewProblem(chestnutcleat.CodeCallReused, chestnutcleat.NotRun, "call %q was sent before with another body", in.ID))
	case c.state == ended && !c.storing():
		m.stats.Replays++
		c.presumed = false
		done(m.replay(c))
	case !time.Now().Before(in.Deadline):
		done(m.deadlineReply(c, false))
	case c.state == running && !c.abandoned && r.ID != "" && c.holder == r.ID:
		done(m.runReply(p, c))
	case c.state == running && c.abandoned:
		m.addWaiter(p, c, r, done)
		m.rerun(p, c)
	default:
		m.stats.Joined++
		m.addWaiter(p, c, r, done)
	}
}

// addWaiter queues a caller until the call can be answered or the caller's deadline passes.
func (m *Manager) addWaiter(p *program, c *call, r chestnutcleat.BeginRequest, done func(chestnutcleat.BeginReply)) {
	w := &waiter{request: r.ID, done: done}
	w.timer = m.Loop.After(time.Until(r.Call.Deadline), func() { m.expireWaiter(p, c, w) })
	c.waiters = append(c.waiters, w)
}

// expireWaiter answers a waiter whose deadline passed and withdraws the call if nobody else waits for it.
func (m *Manager) expireWaiter(p *program, c *call, w *waiter) {
	for i, o := range c.waiters {
		if o == w {
			c.waiters = append(c.waiters[:i:i], c.waiters[i+1:]...)
		}
	}
	// No caller is left to run the call. A pending one is withdrawn when its suspect check or journal write ends.
	last := len(c.waiters) == 0 && c.state <= pending && !c.mayHaveRun
	if last && c.state == waiting {
		m.withdraw(p, c)
	}
	w.done(m.deadlineReply(c, last))
}

// withdraw removes a call that did not run.
func (m *Manager) withdraw(p *program, c *call) {
	if c.state == waiting && c.orphan {
		m.orphans--
	}
	p.remove(c)
	p.count--
	if c.state == pending || c.state == running {
		m.append(false, nil, m.deleted(p.key.Slot(), callName(p.key, c.ID)))
	}
	c.state = ended
	m.discardIfEmpty(p)
}

// deadlineReply returns the reply to a caller whose deadline passed.
func (m *Manager) deadlineReply(c *call, last bool) chestnutcleat.BeginReply {
	m.stats.Refused++
	if last {
		return chestnutcleat.BeginReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the deadline passed before the call could run")}
	}
	return chestnutcleat.BeginReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.Unknown, "the deadline passed while another request of the call is in progress")}
}

// replay returns the recorded answer.
func (m *Manager) replay(c *call) chestnutcleat.BeginReply {
	a := *c.answer
	return chestnutcleat.BeginReply{Attempt: c.attempt, Answer: &a}
}

func (m *Manager) refuse(done func(chestnutcleat.BeginReply), p *chestnutcleat.Problem) {
	m.stats.Refused++
	done(chestnutcleat.BeginReply{Problem: p})
}

func (m *Manager) maxWaiting() int {
	if m.MaxWaiting > 0 {
		return m.MaxWaiting
	}
	return defaultWaiting
}
