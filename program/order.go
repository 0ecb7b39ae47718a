package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// orphan reports whether the call names a call that is not known.
func (b *Book) orphan(p *program, in chestnutcleat.Call) bool {
	if in.After != "" && p.calls[in.After] == nil {
		return true
	}
	return in.Parent != "" && p.calls[in.Parent] == nil
}

// advance lets a waiting call run if the call that it follows has ended.
func (b *Book) advance(p *program, c *call) {
	if c.state != waiting {
		return
	}
	if p.ended {
		b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeProgramEnded, chestnutcleat.NotRun, "program %q has ended", p.id))
		return
	}
	b.watchOrphan(p, c, b.orphan(p, c.Call))
	if c.orphan || (c.After != "" && p.calls[c.After].state != ended) {
		return
	}
	if !b.follows(p, c) {
		b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeHistory, chestnutcleat.NotRun, "the messages of call %q do not extend the history that it follows", c.ID))
		return
	}
	if len(c.History) > 0 {
		p.repeats[tipOf(c.History).Last]++
	}
	c.History = nil
	b.check(p, c)
}

// watchOrphan bounds the time for which a call waits for an unknown one.
func (b *Book) watchOrphan(p *program, c *call, orphan bool) {
	if orphan == c.orphan {
		return
	}
	c.orphan = orphan
	if !orphan {
		b.orphans--
		c.patience.Stop()
		return
	}
	b.orphans++
	c.patience = b.Loop.After(orderPatience, func() {
		if c.state == waiting && c.orphan {
			b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOrder, chestnutcleat.NotRun, "call %q names a call that is not known", c.ID).WithRetry(time.Second))
		}
	})
}

// follows reports whether the call's history extends the one that it names.
// A branch may start with a history of its own; a plain service has none and passes on that of its predecessor.
func (b *Book) follows(p *program, c *call) bool {
	before := p.calls[c.After]
	if len(c.History) == 0 {
		if before != nil {
			c.tip = before.tip
		}
		return true
	}
	c.tip = tipOf(c.History)
	switch {
	case before != nil:
		return before.tip.extended(c.History)
	case c.Parent != "":
		return true
	}
	return p.extends(c)
}

// wake lets calls run whose predecessor has ended.
func (b *Book) wake(p *program) {
	for _, id := range append([]chestnutcleat.CallID(nil), p.order...) {
		if c := p.calls[id]; c != nil && c.state == waiting {
			b.advance(p, c)
		}
	}
}

// reject refuses a call that did not run and forgets it.
func (b *Book) reject(p *program, c *call, problem *chestnutcleat.Problem) {
	b.withdraw(p, c)
	c.reserved = 0
	b.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: problem})
}
