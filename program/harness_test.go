package program_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/program"
)

// store is a journal that outlives its owners and can simulate faults.
type store struct {
	loop    *control.Loop
	records []chestnutcleat.Record
	fail    bool
	// loseAcks makes Append store the records without an acknowledgement.
	loseAcks bool
}

// Append implements chestnutcleat.Journal.
func (s *store) Append(records []chestnutcleat.Record, done func(error)) {
	if s.fail {
		s.loop.After(time.Millisecond, func() { done(errors.New("no majority")) })
		return
	}
	s.records = append(s.records, records...)
	if !s.loseAcks {
		s.loop.After(time.Millisecond, func() { done(nil) })
	}
}

// fleet runs one owner at a time over a shared store.
type fleet struct {
	loop     *control.Loop
	store    *store
	manager  *program.Manager
	suspects *program.Suspects
	limits   chestnutcleat.Limits
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{loop: control.New()}
	f.store = &store{loop: f.loop}
	done := make(chan struct{})
	go func() { f.loop.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	f.suspects = &program.Suspects{Loop: f.loop, Journal: f.store}
	f.manager = f.newManager()
	return f
}

func (f *fleet) newManager() *program.Manager {
	m := &program.Manager{Loop: f.loop, Journal: f.store, Limits: func() chestnutcleat.Limits { return f.limits }}
	m.Suspect = f.suspects.Handle
	return m
}

// do runs a step in the control goroutine and waits for its effects.
func (f *fleet) do(step func()) {
	f.loop.Post(step)
	f.advance(10 * time.Millisecond)
}

// advance advances virtual time. The empty step orders the test's reads before later writes of the loop.
func (f *fleet) advance(d time.Duration) {
	f.loop.Post(func() {})
	time.Sleep(d)
	synctest.Wait()
}

// loseOwner replaces the owner by one that knows only the stored records.
func (f *fleet) loseOwner(t chestnutcleat.Transfer) {
	f.do(func() { f.replace(f.store.records, t) })
}

func (f *fleet) replace(records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	old := f.manager
	f.manager = f.newManager()
	slots := map[chestnutcleat.Slot][]chestnutcleat.Record{chestnutcleat.ProgramKey("c", "p").Slot(): nil}
	for _, r := range records {
		slots[r.Slot] = append(slots[r.Slot], r)
	}
	for s, list := range slots {
		old.Drop(s)
		f.manager.Import(s, list, t)
	}
}

// handOver performs a graceful handover to another owner, which stores the records before it serves.
func (f *fleet) handOver() {
	f.do(func() {
		records := f.manager.Export(chestnutcleat.ProgramKey("c", "p").Slot())
		f.store.records = append(f.store.records, records...)
		f.replace(records, chestnutcleat.Transfer{})
	})
}

// pending collects the replies to one request.
type pending[R any] struct {
	replies []R
}

func (p *pending[R]) add(r R) { p.replies = append(p.replies, r) }

func (f *fleet) begin(c chestnutcleat.Call) *pending[chestnutcleat.BeginReply] {
	p := &pending[chestnutcleat.BeginReply]{}
	f.do(func() { f.manager.Begin(chestnutcleat.BeginRequest{Call: c}, p.add) })
	return p
}

func (f *fleet) start(c chestnutcleat.Call, attempt int) *pending[chestnutcleat.StartReply] {
	p := &pending[chestnutcleat.StartReply]{}
	ticket := chestnutcleat.Ticket{ID: chestnutcleat.TicketID(fmt.Sprint(attempt))}
	f.do(func() {
		f.manager.Start(chestnutcleat.StartRequest{Customer: c.Customer, Program: c.Program, Call: c.ID, Attempt: attempt, Ticket: ticket}, p.add)
	})
	return p
}

func (f *fleet) settle(r chestnutcleat.SettleRequest) *pending[chestnutcleat.SettleReply] {
	p := &pending[chestnutcleat.SettleReply]{}
	f.do(func() { f.manager.Settle(r, p.add) })
	return p
}

// newCall returns a repeatable call of program p that follows another.
func newCall(id, after chestnutcleat.CallID) chestnutcleat.Call {
	return chestnutcleat.Call{
		Customer: "c", Program: "p", ID: id, After: after, Route: "r", BodyDigest: chestnutcleat.DigestOf([]byte(id)),
		Prompt: 10, Output: 100, Repeatable: true, Deadline: time.Now().Add(time.Minute),
	}
}

func nonRepeatableCall(id chestnutcleat.CallID) chestnutcleat.Call {
	c := newCall(id, "")
	c.Repeatable = false
	return c
}

// done returns the settle request of a call that completed.
func done(c chestnutcleat.Call, attempt int) chestnutcleat.SettleRequest {
	a := chestnutcleat.Answer{Status: 200, Body: []byte("answer of " + c.ID), Outcome: chestnutcleat.Done}
	a.Usage = chestnutcleat.Usage{Prompt: c.Prompt, Output: 50}
	return chestnutcleat.SettleRequest{Customer: c.Customer, Program: c.Program, Call: c.ID, Attempt: attempt, Answer: a, Upstream: "u"}
}

// describe formats a reply to Begin for test tables.
func describe(p *pending[chestnutcleat.BeginReply]) string {
	if len(p.replies) != 1 {
		return fmt.Sprintf("%d replies", len(p.replies))
	}
	r := p.replies[0]
	switch {
	case r.Problem != nil:
		return string(r.Problem.Code) + " " + string(r.Problem.Outcome)
	case r.Answer != nil:
		return "answer " + string(r.Answer.Outcome)
	case r.Run:
		return fmt.Sprintf("run %d", r.Attempt)
	}
	return "nothing"
}
