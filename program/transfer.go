package program

import (
	"cmp"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Import implements chestnutcleat.SlotState.
func (m *Manager) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	if t.Incomplete {
		m.markIncomplete(s)
	}
	var calls []callData
	for _, r := range latest(records) {
		m.sequence = max(m.sequence, r.Sequence)
		if r.Deleted {
			continue
		}
		switch {
		case isProgram(r.Name):
			m.importProgram(r)
		case isCall(r.Name):
			d, err := vm.Decode[callData](r.Data)
			if err != nil {
				m.emit(event.ProgramRecordInvalid, "record", r.Name, "error", err)
				m.markIncomplete(s)
				continue
			}
			calls = append(calls, d)
		}
	}
	slices.SortFunc(calls, func(x, y callData) int { return cmp.Compare(x.Order, y.Order) })
	for _, d := range calls {
		m.importCall(d, t)
	}
}

// markIncomplete records that records of a slot may be missing.
func (m *Manager) markIncomplete(s chestnutcleat.Slot) {
	if m.incompleteSince == nil {
		m.incompleteSince = map[chestnutcleat.Slot]time.Time{}
	}
	m.incompleteSince[s] = time.Now()
}

// latest returns the newest record of each name.
func latest(records []chestnutcleat.Record) map[string]chestnutcleat.Record {
	m := map[string]chestnutcleat.Record{}
	for _, r := range records {
		if o, ok := m[r.Name]; !ok || r.Sequence >= o.Sequence {
			m[r.Name] = r
		}
	}
	return m
}

func (m *Manager) importProgram(r chestnutcleat.Record) {
	d, err := vm.Decode[programData](r.Data)
	if err != nil {
		m.emit(event.ProgramRecordInvalid, "record", r.Name, "error", err)
		return
	}
	p := m.ensureProgram(chestnutcleat.Call{Customer: d.Customer, Program: d.Program})
	p.started, p.lastActive = time.Unix(0, d.Started), time.Unix(0, d.Last)
	p.budget, p.count, p.upstream, p.cached, p.recorded = d.Budget, d.Count, d.Upstream, d.Cached, true
	if d.Ended != 0 {
		p.ended, p.endedAt = true, time.Unix(0, d.Ended)
	}
}

func (m *Manager) importCall(d callData, t chestnutcleat.Transfer) {
	p := m.ensureProgram(chestnutcleat.Call{Customer: d.Customer, Program: d.Program})
	if p.calls[d.ID] != nil {
		return
	}
	c := d.call()
	p.calls[c.ID] = c
	p.order = append(p.order, c.ID)
	p.count = max(p.count, len(p.order))
	if c.sentTip.Length > 0 {
		p.repeats[c.sentTip.Last]++
	}
	switch {
	case d.Answer != nil:
		c.state = ended
		m.retainAnswer(c, *d.Answer)
		p.lastActive = later(p.lastActive, c.endedAt)
	case !c.Repeatable && c.started && t.Lost:
		m.finishUnknown(p, c, "the VM that kept the call's state was lost while the call ran")
	default:
		// The entry VM may still be running the attempt and report its end to this owner.
		c.state = running
		c.abandoned = d.Silent
		c.started = c.started || (c.Repeatable && t.Lost)
		p.lastActive = time.Now()
		m.startReportTimer(p, c)
	}
}

// call rebuilds a call from its record.
func (d callData) call() *call {
	c := &call{
		Call: chestnutcleat.Call{
			Customer: d.Customer, Program: d.Program, ID: d.ID, After: d.After, Parent: d.Parent, Route: d.Route, BodyDigest: d.Body,
			Prompt: d.Prompt, Output: d.Output, Repeatable: d.Repeatable, Deadline: time.Unix(0, d.Deadline),
		},
		attempt: d.Attempt, retries: d.Retries, started: d.Started, mayHaveRun: d.Ran, ticket: d.Ticket, holder: d.Holder,
		lostCharge: d.Charged, reserved: d.Reserved, output: d.Allowed, crashes: d.Crashes, avoid: d.Avoid,
	}
	if d.Sent != nil {
		c.sentTip = *d.Sent
	}
	if d.Tip != nil {
		c.tip = *d.Tip
	}
	if d.Usage != nil {
		c.used = *d.Usage
	}
	if d.Ended != 0 {
		c.endedAt = time.Unix(0, d.Ended)
	}
	return c
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Export implements chestnutcleat.SlotState. Waiting calls are left out, because their callers resend them.
func (m *Manager) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	var records []chestnutcleat.Record
	for key, p := range m.programs {
		if key.Slot() != s {
			continue
		}
		records = append(records, m.programRecord(p))
		for _, id := range p.order {
			c := p.calls[id]
			// An attempt that waits for its reservation was not granted to any entry VM.
			c.abandoned = c.abandoned || c.state == pending
			if c.state >= running || c.mayHaveRun {
				records = append(records, m.callRecord(p, c, maxExported))
			}
		}
	}
	return records
}

// Resume implements chestnutcleat.SlotState.
func (m *Manager) Resume(s chestnutcleat.Slot) {
	for key, p := range m.programs {
		if key.Slot() != s {
			continue
		}
		for _, c := range p.calls {
			if c.state == pending {
				c.abandoned = false
			}
		}
	}
}

// Drop implements chestnutcleat.SlotState. Waiting callers get a problem and must ask the new owner.
func (m *Manager) Drop(s chestnutcleat.Slot) {
	delete(m.incompleteSince, s)
	for key, p := range m.programs {
		if key.Slot() != s {
			continue
		}
		m.releaseProgram(key, p)
		for _, c := range p.calls {
			m.dropCall(c)
		}
	}
}

// dropCall answers the callers that wait for a call whose slot moved.
func (m *Manager) dropCall(c *call) {
	if c.state == waiting && c.orphan {
		m.orphans--
		c.orphanTimer.Stop()
	}
	m.replyStarters(c, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the program moved to another VM").WithRetry(time.Second))
	outcome := chestnutcleat.Unknown
	if len(c.waiters) == 1 && c.state <= pending && !c.mayHaveRun {
		outcome = chestnutcleat.NotRun
	}
	c.reply(chestnutcleat.BeginReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, outcome, "the program moved to another VM").WithRetry(time.Second)})
}
