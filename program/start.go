package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Start records that a call is about to be sent to an upstream.
// For a non-repeatable call it answers once the intent is on a majority of witnesses.
func (b *Book) Start(r chestnutcleat.StartRequest, done func(chestnutcleat.StartReply)) {
	p := b.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]
	var c *call
	if p != nil {
		c = p.calls[r.Call]
	}
	switch {
	case c == nil || c.state != running || c.attempt != r.Attempt:
		done(chestnutcleat.StartReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, b.stale(c, r), "attempt %d of call %q is no longer the current one", r.Attempt, r.Call)})
	case c.Repeatable:
		c.started, c.silent = true, false
		b.watch(p, c)
		done(chestnutcleat.StartReply{})
	case (c.started || c.starting) && c.ticket != r.Ticket.ID:
		done(chestnutcleat.StartReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.Unknown, "call %q was started with another ticket", r.Call)})
	case c.started:
		done(chestnutcleat.StartReply{})
	case c.starting:
		c.starters = append(c.starters, done)
	default:
		c.starting, c.ticket, c.silent = true, r.Ticket.ID, false
		c.starters = append(c.starters, done)
		b.intend(p, c)
	}
}

// stale returns the outcome of a call that may not be started.
func (b *Book) stale(c *call, r chestnutcleat.StartRequest) chestnutcleat.Outcome {
	if c == nil || c.attempt > r.Attempt || c.Repeatable {
		return chestnutcleat.NotRun
	}
	return chestnutcleat.Unknown
}

// intend stores the intent of a non-repeatable call and then lets it start.
func (b *Book) intend(p *program, c *call) {
	attempt := c.attempt
	b.append(true, func(err error) {
		if p.gone || c.state != running || c.attempt != attempt || !c.starting {
			return
		}
		c.starting = false
		if err != nil {
			b.emit(event.ProgramJournal, "program", p.id, "error", err)
			b.startAll(c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerLost, chestnutcleat.NotRun, "the intent could not be stored").WithRetry(time.Second))
			return
		}
		c.started = true
		b.watch(p, c)
		b.startAll(c, nil)
	}, b.callRecord(p, c, maxJournaled))
}

// startAll answers the requests that wait for the intent to be stored.
func (b *Book) startAll(c *call, problem *chestnutcleat.Problem) {
	list := c.starters
	c.starters = nil
	for _, f := range list {
		f(chestnutcleat.StartReply{Problem: problem})
	}
}
