package program

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// retention is how long an ended program and its answers are kept.
	retention = 5 * time.Minute
	// sweepInterval is how often programs are checked for their end.
	sweepInterval = 10 * time.Second
	// orderPatience bounds the wait for a call that is not known; reordered calls arrive within milliseconds.
	orderPatience = 10 * time.Second
	// maxRetries bounds the attempts after the first one.
	maxRetries = 3
	// maxRepeats is the number of calls with the same history after which a program is taken to loop.
	maxRepeats = 50
	// minOutput is the smallest output that is worth a call.
	minOutput chestnutcleat.Tokens = 16
	// defaultRetained and defaultWaiting apply when the fields are zero.
	defaultRetained = 16 << 20
	defaultWaiting  = 1000
	// maxExported is the largest answer that moves to the next owner.
	maxExported = 64 << 10
	// maxJournaled is the largest answer that is kept on witnesses, which share one object of 1 MB per VM.
	maxJournaled = 4 << 10
	// suspectInterval is how often a call asks again whether the only allowed run of its fingerprint has ended.
	suspectInterval = 250 * time.Millisecond
	// saveInterval is the pause before the end of a call that could not be stored is stored again.
	saveInterval = 250 * time.Millisecond
)

// Book is the control state of the programs that this VM owns.
type Book struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Limits   func() chestnutcleat.Limits
	Observer chestnutcleat.Observer
	// Refuse returns why a call that is not known yet must not be accepted now; nil accepts all.
	Refuse func(chestnutcleat.Call) *chestnutcleat.Problem
	// Suspect passes a request to the owner of its key; nil means that no fingerprints are kept.
	Suspect func(chestnutcleat.SuspectRequest, func(chestnutcleat.SuspectReply, error))
	// Timeout returns the longest run time of a route's calls; nil means the default.
	Timeout func(chestnutcleat.RouteName) time.Duration
	// Retained bounds the bytes of kept answers.
	Retained int64
	// Waiting bounds the calls that wait for an unknown call.
	Waiting int

	programs map[chestnutcleat.Key]*program
	// missing tells when slots with possibly missing records were taken over.
	missing  map[chestnutcleat.Slot]time.Time
	sequence chestnutcleat.Sequence
	retained int64
	answers  []*call
	orphans  int
	stats    Stats
}

// Run starts the sweep timer.
func (b *Book) Run() {
	b.Loop.After(sweepInterval, func() {
		b.Sweep()
		b.Run()
	})
}

// Stats returns the counters.
func (b *Book) Stats() Stats {
	s := b.stats
	s.Programs = len(b.programs)
	s.Retained = b.retained
	s.Orphans = b.orphans
	return s
}

// Sweep ends idle programs and forgets those whose retention time passed.
func (b *Book) Sweep() {
	now := time.Now()
	idle := b.limits().Idle.Or(chestnutcleat.DefaultIdle)
	for key, p := range b.programs {
		if !p.ended && !p.busy() && now.Sub(p.last) >= idle {
			p.ended, p.endedAt = true, p.last.Add(idle)
			b.append(false, nil, b.programRecord(p))
		}
		if p.ended && !p.busy() && now.Sub(p.endedAt) >= retention {
			b.forget(key, p)
		}
	}
	b.answers = slices.DeleteFunc(b.answers, func(c *call) bool { return c.answer.Body == nil })
	for s, at := range b.missing {
		if now.Sub(at) > idle+retention {
			delete(b.missing, s)
		}
	}
}

func (b *Book) forget(key chestnutcleat.Key, p *program) {
	records := []chestnutcleat.Record{b.deleted(key.Slot(), programName(key))}
	for _, c := range p.calls {
		records = append(records, b.deleted(key.Slot(), callName(key, c.ID)))
	}
	b.release(key, p)
	b.append(false, nil, records...)
}

// release frees the memory of a program.
func (b *Book) release(key chestnutcleat.Key, p *program) {
	p.gone = true
	delete(b.programs, key)
	for _, c := range p.calls {
		c.stopSilence()
		b.discard(c)
		c.saved()
	}
}

// Look returns a summary of a customer's program.
func (b *Book) Look(c chestnutcleat.CustomerID, id chestnutcleat.ProgramID) (chestnutcleat.Summary, bool) {
	p, ok := b.programs[chestnutcleat.ProgramKey(c, id)]
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

// End ends a program; its answers are kept for the retention time.
func (b *Book) End(r chestnutcleat.EndRequest, done func(chestnutcleat.Ack)) {
	if p := b.programs[chestnutcleat.ProgramKey(r.Customer, r.Program)]; p != nil && !p.ended {
		p.ended, p.endedAt = true, time.Now()
		b.append(false, nil, b.programRecord(p))
		b.wake(p)
	}
	done(chestnutcleat.Ack{})
}

func (b *Book) limits() chestnutcleat.Limits {
	if b.Limits == nil {
		return chestnutcleat.Limits{}
	}
	return b.Limits()
}

func (b *Book) timeout(r chestnutcleat.RouteName) time.Duration {
	if b.Timeout != nil {
		return b.Timeout(r)
	}
	return chestnutcleat.DefaultCallTimeout
}

func (b *Book) emit(id chestnutcleat.EventID, attributes ...any) {
	if b.Observer != nil {
		b.Observer.Emit(id, attributes...)
	}
}
