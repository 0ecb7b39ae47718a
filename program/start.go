package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Start records that a call is about to be sent to an upstream. For a non-repeatable call it replies only after a
// majority of the witnesses has stored the intent.
func (m *Manager) Start(r chestnutcleat.StartRequest, done func(chestnutcleat.StartReply)) {
	p := m.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]
	var c *call
	if p != nil {
		c = p.calls[r.Call]
	}
	switch {
	case c == nil || c.state != running || c.attempt != r.Attempt:
		done(chestnutcleat.StartReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, m.staleOutcome(c, r), "attempt %d of call %q is no longer the current one", r.Attempt, r.Call)})
	case c.Repeatable:
		c.started, c.abandoned = true, false
		m.startReportTimer(p, c)
		done(chestnutcleat.StartReply{})
	case (c.started || c.starting) && c.ticket != r.Ticket.ID:
		done(chestnutcleat.StartReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Unknown, "call %q was started with another ticket", r.Call)})
	case c.started:
		done(chestnutcleat.StartReply{})
	case c.starting:
		c.starters = append(c.starters, done)
	default:
		c.starting, c.ticket, c.abandoned = true, r.Ticket.ID, false
		c.starters = append(c.starters, done)
		m.storeIntent(p, c)
	}
}

// staleOutcome returns the outcome of an attempt that may not start because it is not the current one.
func (m *Manager) staleOutcome(c *call, r chestnutcleat.StartRequest) chestnutcleat.Outcome {
	if c == nil || c.attempt > r.Attempt || c.Repeatable {
		return chestnutcleat.NotRun
	}
	return chestnutcleat.Unknown
}

// storeIntent stores the intent to run a non-repeatable call and then answers its start requests.
func (m *Manager) storeIntent(p *program, c *call) {
	attempt := c.attempt
	m.append(true, func(err error) {
		if p.dropped || c.state != running || c.attempt != attempt || !c.starting {
			return
		}
		c.starting = false
		if err != nil {
			m.emit(event.ProgramJournal, "program", p.id, "error", err)
			m.replyStarters(c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the intent could not be stored").WithRetry(time.Second))
			return
		}
		c.started = true
		m.startReportTimer(p, c)
		m.replyStarters(c, nil)
	}, m.callRecord(p, c, maxJournaled))
}

// replyStarters answers the start requests that wait for the intent to be stored.
func (m *Manager) replyStarters(c *call, problem *chestnutcleat.Problem) {
	list := c.starters
	c.starters = nil
	for _, f := range list {
		f(chestnutcleat.StartReply{Problem: problem})
	}
}
