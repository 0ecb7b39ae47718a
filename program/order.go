package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// namesUnknownCall reports whether the call's predecessor or parent is unknown.
func (b *Manager) namesUnknownCall(p *program, in chestnutcleat.Call) bool {
	if in.After != "" && p.calls[in.After] == nil {
		return true
	}
	return in.Parent != "" && p.calls[in.Parent] == nil
}

// advance starts the checks of a waiting call if its predecessor has ended, or rejects the call.
func (b *Manager) advance(p *program, c *call) {
	if c.state != waiting {
		return
	}
	if p.ended {
		b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeProgramEnded, chestnutcleat.NotRun, "program %q has ended", p.id))
		return
	}
	b.setOrphan(p, c, b.namesUnknownCall(p, c.Call))
	if c.orphan || (c.After != "" && p.calls[c.After].state != ended) {
		return
	}
	if !b.extendsPredecessor(p, c) {
		b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeHistory, chestnutcleat.NotRun, "the messages of call %q do not extend the history that it follows", c.ID))
		return
	}
	if len(c.History) > 0 {
		p.repeats[tipOf(c.History).Last]++
	}
	c.History = nil
	b.checkSuspect(p, c)
}

// setOrphan updates whether a call waits for an unknown one and starts or stops the timeout of that wait.
func (b *Manager) setOrphan(p *program, c *call, orphan bool) {
	if orphan == c.orphan {
		return
	}
	c.orphan = orphan
	if !orphan {
		b.orphans--
		c.orphanTimer.Stop()
		return
	}
	b.orphans++
	c.orphanTimer = b.Loop.After(orphanTimeout, func() {
		if c.state == waiting && c.orphan {
			b.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOrderUnknown, chestnutcleat.NotRun, "call %q names a call that is not known", c.ID).WithRetry(time.Second))
		}
	})
}

// extendsPredecessor reports whether the call's history extends that of its predecessor. A branch may start with its own
// history. A call without a history, to a plain service, inherits that of its predecessor.
func (b *Manager) extendsPredecessor(p *program, c *call) bool {
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

// advanceWaiting advances all waiting calls of a program.
func (b *Manager) advanceWaiting(p *program) {
	for _, id := range append([]chestnutcleat.CallID(nil), p.order...) {
		if c := p.calls[id]; c != nil && c.state == waiting {
			b.advance(p, c)
		}
	}
}

// reject refuses a call that did not run and removes it.
func (b *Manager) reject(p *program, c *call, problem *chestnutcleat.Problem) {
	b.withdraw(p, c)
	c.reserved = 0
	b.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: problem})
}
