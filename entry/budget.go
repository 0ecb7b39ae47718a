package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

const (
	// recordTime bounds the wait for a write quorum before a turn is refused.
	recordTime = 700 * time.Millisecond
	// recordRetry is when the copies are likely to answer again: a VM that starts again takes one to three seconds.
	recordRetry = time.Second
	// recordSlack is how long records outlive what the route keeps turns for.
	recordSlack = 30 * time.Second
	// defaultRetention is used where a route does not say how long programs may come back.
	defaultRetention = time.Minute
	// maxProgram is the longest life of a program that records are kept for beyond the retention.
	maxProgram = time.Hour
	// raceWait is the longest wait before a turn that did not fit beside another one tries once more.
	raceWait = 20 * time.Millisecond
)

// recordUntil is the Unix time in seconds until which a record of this turn is needed.
func (t *turn) recordUntil() int64 {
	keep := t.route.Retention
	if keep <= 0 {
		keep = defaultRetention
	}
	// What callers say about their time is bounded, so that nobody fills the disks for good.
	return time.Now().Add(min(t.Wait+t.ProgramWait, maxProgram) + keep + recordSlack).Unix()
}

func (t *turn) budgeted() bool { return t.Budget > 0 && t.Program != "" }

func (t *turn) record(kind ledger.Kind, tokens chestnutcleat.Tokens) ledger.Record {
	return ledger.Record{
		Kind: kind, Customer: t.customerID(), Program: t.Program, Attempt: t.ID, Tokens: tokens, Until: t.recordUntil(),
	}
}

// reserve holds the most that the turn may generate of its program's budget.
func (t *turn) reserve() error {
	if !t.budgeted() {
		return nil
	}
	fits, open, err := t.tryReserve()
	if err == nil && !fits && open {
		// Another attempt has not settled yet: if both withdraw, one of them may fit after a moment.
		if chestnutcleat.Sleep(t.ctx, time.Duration(rand.Int64N(int64(raceWait)))) == nil {
			fits, _, err = t.tryReserve()
		}
	}
	if err != nil {
		return t.unrecorded(err)
	}
	if !fits {
		t.Ledger.Post(t.record(ledger.Settle, 0))
		return problem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "the budget of %d tokens does not hold %d more", t.Budget, t.Output)
	}
	return nil
}

// tryReserve writes the reservation and reads what the program's other attempts hold; open is set when some may still settle.
func (t *turn) tryReserve() (fits, open bool, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, recordTime)
	defer cancel()
	others, err := t.Ledger.Write(ctx, t.record(ledger.Reserve, t.Output))
	if err != nil {
		return false, false, err
	}
	for _, a := range others {
		open = open || !a.Settled
	}
	return ledger.Fits(t.Budget, others, t.Output), open, nil
}

// unrecorded refuses a turn whose reservation may or may not stand.
func (t *turn) unrecorded(err error) error {
	t.Ledger.Post(t.record(ledger.Settle, 0))
	if t.r.Context().Err() != nil {
		return errAbandoned
	}
	return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "the program's records can't be written: %v", err).WithRetry(recordRetry)
}

// settle replaces the reservation by what was handed to the caller, unless the turn was kept with that.
func (t *turn) settle() {
	if t.budgeted() && t.used() != t.settled {
		t.Ledger.Post(t.record(ledger.Settle, t.used()))
	}
}

// used is what was handed to the caller.
func (t *turn) used() chestnutcleat.Tokens {
	if s, ok := t.table.Services[t.service]; ok && s.Engine != nil && s.Engine.Chunk > 0 {
		return min(t.Output, s.Engine.Chunk*chestnutcleat.Tokens(t.events))
	}
	return t.Output
}

// keep writes the turn, so that later ones may continue from it, and settles its reservation. The caller has all but the end of its
// answer, so a quorum that is lost for a moment is waited for.
func (t *turn) keep() error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(t.ctx), t.until)
	defer cancel()
	r := t.record(ledger.Keep, 0)
	r.Program, r.Previous, r.Input, r.Output = "", t.Previous, t.body, t.output
	var beside []ledger.Record
	if t.budgeted() {
		t.settled = t.used()
		beside = append(beside, t.record(ledger.Settle, t.settled))
	}
	if _, err := t.Ledger.Persist(ctx, r, beside...); err != nil {
		return err
	}
	t.Turns.Add(t.customerID(), ledger.Turn{ID: t.ID, Previous: t.Previous, Input: t.body, Output: t.output})
	return nil
}

// prepend puts the chain of kept turns before the caller's own input.
func (t *turn) prepend() error {
	chain, err := t.chain()
	switch {
	case errors.Is(err, chestnutcleat.ErrNotFound):
		return problem(chestnutcleat.CodeProgramGone, chestnutcleat.NotRun, "turn %s is not kept for customer %s", t.Previous, t.customerID())
	case t.r.Context().Err() != nil:
		return errAbandoned
	case err != nil:
		return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "turn %s can't be read: %v", t.Previous, err).WithRetry(recordRetry)
	}
	size := len(t.body)
	for i := range chain {
		size += len(chain[i].Input) + len(chain[i].Output)
	}
	input := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		input = append(append(input, chain[i].Input...), chain[i].Output...)
	}
	t.input = append(input, t.body...)
	return nil
}

// chain returns the kept turns before this one, newest first.
func (t *turn) chain() ([]ledger.Turn, error) {
	chain, missing := t.Turns.Chain(t.customerID(), t.Previous)
	if missing == "" {
		return chain, nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, recordTime)
	defer cancel()
	rest, err := t.Ledger.Fetch(ctx, t.customerID(), missing)
	if errors.Is(err, chestnutcleat.ErrNotFound) && len(chain) > 0 {
		// The cache holds a later turn of the chain, so the older one was written.
		err = ledger.ErrUnsure
	}
	if err != nil {
		return nil, err
	}
	for _, kept := range rest {
		t.Turns.Add(t.customerID(), kept)
	}
	return append(chain, rest...), nil
}
