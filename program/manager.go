package program

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// retention is how long a program and its answers are kept after its end.
	retention = 5 * time.Minute
	// sweepInterval is the interval of Sweep.
	sweepInterval = 10 * time.Second
	// orphanTimeout is how long a call waits for an unknown call that it names; reordered calls arrive within milliseconds.
	orphanTimeout = 10 * time.Second
	// maxRetries is the largest number of retries of a call that Settle may start.
	maxRetries = 3
	// maxRepeats is the number of calls with the same history after which a program counts as looping.
	maxRepeats = 50
	// minOutput is the smallest remaining output budget with which a call still runs, in tokens, unless it asks for less.
	minOutput chestnutcleat.Tokens = 16
	// defaultRetained (bytes) and defaultWaiting (calls) apply if Manager.MaxRetained and Manager.MaxWaiting are zero.
	defaultRetained = 16 << 20
	defaultWaiting  = 1000
	// maxExported is the size in bytes of the largest answer that a handover transfers.
	maxExported = 64 << 10
	// maxJournaled is the size in bytes of the largest answer in the journal; the records of a VM share one object of 1 MB.
	maxJournaled = 4 << 10
	// suspectInterval is the polling interval of a call that waits for another attempt with its fingerprint to end.
	suspectInterval = 250 * time.Millisecond
	// storeRetryInterval is the delay before a retry of storing the end of a call.
	storeRetryInterval = 250 * time.Millisecond
)

// Manager holds the control state of the programs that this VM owns.
type Manager struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Limits   func() chestnutcleat.Limits
	Observer chestnutcleat.Observer
	// CheckCall returns why a new call must not be accepted now, or nil; a nil CheckCall accepts all.
	CheckCall func(chestnutcleat.Call) *chestnutcleat.Problem
	// Suspect sends a request to the owner of its fingerprint; nil disables the suspect checks.
	Suspect func(chestnutcleat.CrashCheckRequest, func(chestnutcleat.CrashCheckReply, error))
	// Timeout returns the longest run time of a route's calls; nil means the default.
	Timeout func(chestnutcleat.RouteName) time.Duration
	// MaxRetained is the limit of the bytes of retained answers.
	MaxRetained int64
	// MaxWaiting is the limit of calls that wait for an unknown call.
	MaxWaiting int

	programs map[chestnutcleat.Key]*program
	// incompleteSince holds the takeover time of each slot whose records may be incomplete.
	incompleteSince map[chestnutcleat.Slot]time.Time
	sequence        chestnutcleat.Sequence
	retained        int64
	answers         []*call
	orphans         int
	stats           Stats
}

// Run starts the periodic sweep.
func (m *Manager) Run() {
	m.Loop.After(sweepInterval, func() {
		m.Sweep()
		m.Run()
	})
}

// Stats returns the counters and the present sizes.
func (m *Manager) Stats() Stats {
	s := m.stats
	s.Programs = len(m.programs)
	s.Retained = m.retained
	s.Orphans = m.orphans
	return s
}

// Sweep ends idle programs and deletes those whose retention time has passed.
func (m *Manager) Sweep() {
	now := time.Now()
	idle := m.limits().Idle.OrDefault(chestnutcleat.DefaultIdle)
	for key, p := range m.programs {
		if !p.ended && !p.hasUnfinishedCalls() && now.Sub(p.lastActive) >= idle {
			p.ended, p.endedAt = true, p.lastActive.Add(idle)
			m.append(false, nil, m.programRecord(p))
		}
		if p.ended && !p.hasUnfinishedCalls() && now.Sub(p.endedAt) >= retention {
			m.deleteProgram(key, p)
		}
	}
	m.answers = slices.DeleteFunc(m.answers, func(c *call) bool { return c.answer.Body == nil })
	for s, at := range m.incompleteSince {
		if now.Sub(at) > idle+retention {
			delete(m.incompleteSince, s)
		}
	}
}

func (m *Manager) deleteProgram(key chestnutcleat.Key, p *program) {
	records := []chestnutcleat.Record{m.deleted(key.Slot(), programName(key))}
	for _, c := range p.calls {
		records = append(records, m.deleted(key.Slot(), callName(key, c.ID)))
	}
	m.releaseProgram(key, p)
	m.append(false, nil, records...)
}

// releaseProgram removes a program from memory, stops its timers and notifies those who wait for a stored end.
func (m *Manager) releaseProgram(key chestnutcleat.Key, p *program) {
	p.dropped = true
	delete(m.programs, key)
	for _, c := range p.calls {
		c.stopReportTimer()
		m.dropBody(c)
		c.notifyStored()
	}
}

// Summary returns the summary of a customer's program.
func (m *Manager) Summary(c chestnutcleat.CustomerID, id chestnutcleat.ProgramID) (chestnutcleat.Summary, bool) {
	p, ok := m.programs[chestnutcleat.ProgramKey(c, id)]
	if !ok {
		return chestnutcleat.Summary{}, false
	}
	s := chestnutcleat.Summary{Program: id, Started: p.started, Ended: p.ended, Budget: p.budget, Reserved: p.reserved()}
	s.Used = p.charge() - s.Reserved
	for _, id := range p.order {
		c := p.calls[id]
		l := chestnutcleat.CallSummary{ID: id, After: c.After, Parent: c.Parent, State: chestnutcleat.CallRunning, Attempt: c.attempt, Usage: c.used}
		if c.state == ended {
			l.State = chestnutcleat.CallEnded
		}
		if c.answer != nil {
			l.Outcome = c.answer.Outcome
		}
		s.Calls = append(s.Calls, l)
	}
	return s, true
}

// End ends a program. Its answers are kept for the retention time.
func (m *Manager) End(r chestnutcleat.EndRequest, done func(chestnutcleat.Ack)) {
	if p := m.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]; p != nil && !p.ended {
		p.ended, p.endedAt = true, time.Now()
		m.append(false, nil, m.programRecord(p))
		m.advanceWaiting(p)
	}
	done(chestnutcleat.Ack{})
}

func (m *Manager) limits() chestnutcleat.Limits {
	if m.Limits == nil {
		return chestnutcleat.Limits{}
	}
	return m.Limits()
}

func (m *Manager) timeout(r chestnutcleat.RouteName) time.Duration {
	if m.Timeout != nil {
		return m.Timeout(r)
	}
	return chestnutcleat.DefaultCallTimeout
}

func (m *Manager) emit(id chestnutcleat.EventID, attributes ...any) {
	if m.Observer != nil {
		m.Observer.Emit(id, attributes...)
	}
}
