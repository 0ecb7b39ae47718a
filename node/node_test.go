package node_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// run runs one call of a program through node i, as an entry VM does, and returns its outcome.
func (f *fleet) run(i int, program chestnutcleat.ProgramID, call, after chestnutcleat.CallID, executed func()) (chestnutcleat.Outcome, error) {
	n := f.node(i)
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	t, err := n.Take(ctx, chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(string(program) + "/" + string(call)), Customer: "grower", Count: 1})
	if err != nil {
		return chestnutcleat.NotRun, err
	}
	if !t.Admitted {
		return chestnutcleat.NotRun, chestnutcleat.NewProblem(chestnutcleat.CodeRate, chestnutcleat.NotRun, "retry in %s", t.Retry)
	}
	id := chestnutcleat.RequestID(fmt.Sprintf("%s/%s/%d", program, call, f.randomUint64()))
	c := chestnutcleat.Call{Customer: "grower", Program: program, ID: call, After: after, Route: "book", BodyDigest: chestnutcleat.DigestOf([]byte(call)), Deadline: time.Now().Add(10 * time.Second)}
	b, err := n.Begin(ctx, chestnutcleat.BeginRequest{ID: id, Call: c})
	switch {
	case err != nil:
		return chestnutcleat.NotRun, err
	case b.Problem != nil:
		return b.Problem.Outcome, b.Problem
	case b.Answer != nil:
		return b.Answer.Outcome, nil
	}
	a, err := n.Acquire(ctx, chestnutcleat.AcquireRequest{ID: id, Upstream: "s1", Customer: "grower", Program: program, Call: call, Level: t.Level, Started: b.Started, Deadline: c.Deadline, Timeout: 5 * time.Second})
	if err != nil || a.Ticket == nil {
		return chestnutcleat.NotRun, fmt.Errorf("acquire: %v %v", a.Problem, err)
	}
	s, err := n.Start(ctx, chestnutcleat.StartRequest{Customer: "grower", Program: program, Call: call, Attempt: b.Attempt, Ticket: *a.Ticket})
	if err != nil || s.Problem != nil {
		return chestnutcleat.Unknown, fmt.Errorf("start: %v %v", s.Problem, err)
	}
	executed()
	_, err = n.Settle(ctx, chestnutcleat.SettleRequest{Customer: "grower", Program: program, Call: call, Attempt: b.Attempt, Upstream: "s1", Answer: chestnutcleat.Answer{Status: 200, Outcome: chestnutcleat.Done, Body: []byte("ok")}})
	if err != nil {
		return chestnutcleat.Unknown, fmt.Errorf("settle: %w", err)
	}
	return chestnutcleat.Done, n.Release(ctx, chestnutcleat.ReleaseRequest{Ticket: *a.Ticket, Elapsed: time.Millisecond})
}

// TestCallsThroughEveryVM guards against calls that do not reach the program's owner from some VM, and against a
// repeated call that runs again.
func TestCallsThroughEveryVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7, 1)
		defer f.stop()
		count := 0
		var after chestnutcleat.CallID
		for i := range f.nodes {
			call := chestnutcleat.CallID(fmt.Sprintf("c%d", i))
			o, err := f.run(i, "p", call, after, func() { count++ })
			is.NoErr(err)
			is.Equal(o, chestnutcleat.Done)
			o, err = f.run((i+3)%len(f.nodes), "p", call, after, func() { count++ })
			is.NoErr(err)
			is.Equal(o, chestnutcleat.Done)
			after = call
		}
		is.Equal(count, len(f.nodes))
	})
}
