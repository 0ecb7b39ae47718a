package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// namesUnknownCall reports whether the call's predecessor or parent is unknown.
func (m *Manager) namesUnknownCall(p *program, in chestnutcleat.Call) bool {
	if in.After != "" && p.calls[in.After] == nil {
		return true
	}
	return in.Parent != "" && p.calls[in.Parent] == nil
}

// advance starts the checks of a waiting call if its predecessor has ended, or rejects the call.
func (m *Manager) advance(p *program, c *call) {
	if c.state != waiting {
		return
	}
	if p.ended {
		m.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeProgramEnded, chestnutcleat.NotRun, "program %q has ended", p.id))
		return
	}
	m.setOrphan(p, c, m.namesUnknownCall(p, c.Call))
	if c.orphan || (c.After != "" && p.calls[c.After].state != ended) {
		return
	}
	if !m.extendsPredecessor(p, c) {
		m.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeHistory, chestnutcleat.NotRun, "the messages of call %q do not extend the history that it follows", c.ID))
		return
	}
	if len(c.History) > 0 {
		p.repeats[tipOf(c.History).Last]++
	}
	c.History = nil
	m.checkSuspect(p, c)
}

// setOrphan updates whether a call waits for an unknown one and starts or stops the timeout of that wait.
func (m *Manager) setOrphan(p *program, c *call, orphan bool) {
	if orphan == c.orphan {
		return
	}
	c.orphan = orphan
	if !orphan {
		m.orphans--
		c.orphanTimer.Stop()
		return
	}
	m.orphans++
	c.orphanTimer = m.Loop.After(orphanTimeout, func() {
		if c.state == waiting && c.orphan {
			m.reject(p, c, chestnutcleat.NewProblem(chestnutcleat.CodeOrderUnknown, chestnutcleat.NotRun, "call %q names a call that is not known", c.ID).WithRetry(time.Second))
		}
	})
}

// extendsPredecessor reports whether the call's history extends that of its predecessor. A branch may start with its own
// history. A call without a history, to a plain service, inherits that of its predecessor.
func (m *Manager) extendsPredecessor(p *program, c *call) bool {
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
		return before.tip.extendedBy(c.History)
	case c.Parent != "":
		return true
	}
	return p.extends(c)
}

// advanceWaiting advances all waiting calls of a program.
func (m *Manager) advanceWaiting(p *program) {
	for _, id := range append([]chestnutcleat.CallID(nil), p.order...) {
		if c := p.calls[id]; c != nil && c.state == waiting {
			m.advance(p, c)
		}
	}
}

// reject refuses a call that did not run and removes it.
func (m *Manager) reject(p *program, c *call, problem *chestnutcleat.Problem) {
	m.withdraw(p, c)
	c.reserved = 0
	m.stats.Refused++
	c.reply(chestnutcleat.BeginReply{Problem: problem})
}
