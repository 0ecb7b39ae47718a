package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
)

const (
	// recordTimeout limits how long a turn waits for the ledger, such as for a write quorum, before it is refused.
	recordTimeout = 700 * time.Millisecond
	// recordRetryAfter is the time after which the replicas are likely to answer again; a VM restart takes one to three seconds.
	recordRetryAfter = time.Second
	// recordMargin is added to the retention of records.
	recordMargin = 30 * time.Second
	// defaultRetention applies to routes that do not set how long programs may resume.
	defaultRetention = time.Minute
	// maxProgramTime limits the program time that callers can add to the retention of records.
	maxProgramTime = time.Hour
	// maxReserveBackoff is the longest random wait before a reservation that lost against a concurrent one is retried once.
	maxReserveBackoff = 20 * time.Millisecond
)

// recordExpiry returns the Unix time in seconds until which a record of this turn is needed.
func (t *turn) recordExpiry() int64 {
	retention := t.route.Retention
	if retention <= 0 {
		retention = defaultRetention
	}
	// The waiting times that callers state are capped, so that no caller can fill the disks with records that never expire.
	return time.Now().Add(min(t.Wait+t.ProgramWait, maxProgramTime) + retention + recordMargin).Unix()
}

func (t *turn) hasBudget() bool { return t.Budget > 0 && t.Program != "" }

func (t *turn) newRecord(kind ledger.Kind, tokens chestnutcleat.Tokens) ledger.Record {
	return ledger.Record{
		Kind: kind, Customer: t.customerID(), Program: t.Program, Attempt: t.ID, Tokens: tokens, ExpiresAt: t.recordExpiry(),
	}
}

// reserve reserves the turn's output limit from its program's token budget before the turn is sent to an instance.
func (t *turn) reserve(assignment *place.Assignment) error {
	fits, pending, err := t.tryReserve(assignment)
	if err == nil && !fits && pending {
		// A concurrent attempt is not settled yet. If both withdraw their reservations, one of them may fit on the retry.
		if chestnutcleat.Sleep(t.ctx, time.Duration(rand.Int64N(int64(maxReserveBackoff)))) == nil {
			fits, _, err = t.tryReserve(assignment)
		}
	}
	if err != nil {
		return t.reservationFailed(err)
	}
	if !fits {
		t.Ledger.WriteAsync(t.newRecord(ledger.Settle, 0))
		return problem(chestnutcleat.CodeBudget, chestnutcleat.NotRun, "the budget of %d tokens has no room for %d more", t.Budget, t.Output)
	}
	return nil
}

// tryReserve writes the reservation, together with the software version of a stream, and checks it against the other attempts of the
// program; pending is set if some of them are not settled yet.
func (t *turn) tryReserve(assignment *place.Assignment) (fits, pending bool, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, recordTimeout)
	defer cancel()
	var along []*ledger.Write
	if w := t.newBegin(assignment); w != nil {
		along = append(along, w)
	}
	others, err := t.Ledger.TryWrite(ctx, t.newRecord(ledger.Reserve, t.Output), along...)
	if err != nil {
		return false, false, err
	}
	for _, a := range others {
		pending = pending || !a.Settled
	}
	return ledger.Fits(t.Budget, others, t.Output), pending, nil
}

// reservationFailed withdraws a reservation that may or may not have been written and returns the error for the caller.
func (t *turn) reservationFailed(err error) error {
	t.Ledger.WriteAsync(t.newRecord(ledger.Settle, 0))
	if t.r.Context().Err() != nil {
		return errCallerGone
	}
	return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "records of the program cannot be written: %v", err).WithRetry(recordRetryAfter)
}

// settle replaces the reservation by the tokens delivered to the caller, unless storeTurn has done so.
func (t *turn) settle() {
	if t.reserved && t.usedTokens() != t.settledTokens {
		t.Ledger.WriteAsync(t.newRecord(ledger.Settle, t.usedTokens()))
	}
}

// usedTokens returns the tokens delivered to the caller, at most the reserved ones. Without a known number of tokens in an
// event, it is the whole reservation.
func (t *turn) usedTokens() chestnutcleat.Tokens {
	if s, ok := t.table.Services[t.service]; ok && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return min(t.Output, s.Engine.TokensPerEvent*chestnutcleat.Tokens(t.events))
	}
	return t.Output
}

// storeTurn writes the turn, so that later turns can continue from it, and settles its reservation. The caller has received all
// but the end of the response, so a temporary loss of the write quorum is waited out until the deadline.
func (t *turn) storeTurn() error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(t.ctx), t.deadline)
	defer cancel()
	r := t.newRecord(ledger.StoreTurn, 0)
	r.Program, r.Previous, r.Input, r.Output = "", t.Previous, t.body, t.output
	var extra []*ledger.Write
	if t.hasBudget() {
		t.settledTokens = t.usedTokens()
		extra = append(extra, ledger.NewWrite(t.newRecord(ledger.Settle, t.settledTokens)))
	}
	_, err := t.Ledger.Persist(ctx, r, extra...)
	return err
}

// prependChain puts the inputs and outputs of the previous turns before the caller's own input.
func (t *turn) prependChain() error {
	chain, err := t.loadChain()
	switch {
	case errors.Is(err, ledger.ErrCircular):
		return problem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "turn %s: %v", t.Previous, err)
	case errors.Is(err, chestnutcleat.ErrNotFound):
		return problem(chestnutcleat.CodeProgramUnknown, chestnutcleat.NotRun, "turn %s is not kept for customer %s", t.Previous, t.customerID())
	case t.r.Context().Err() != nil:
		return errCallerGone
	case err != nil:
		return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "cannot read turn %s: %v", t.Previous, err).WithRetry(recordRetryAfter)
	}
	size := len(t.body)
	for i := range chain {
		if chain[i].ID == t.ID {
			return problem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "turn %s cannot continue from turn %s, which continues from it", t.ID, t.Previous)
		}
		size += len(chain[i].Input) + len(chain[i].Output)
	}
	if err := t.memory.Add(int64(size)); err != nil {
		return outOfMemory(err)
	}
	input := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		input = append(append(input, chain[i].Input...), chain[i].Output...)
	}
	t.input = append(input, t.body...)
	return nil
}

// loadChain returns the stored turns before this one, newest first.
func (t *turn) loadChain() ([]ledger.Turn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, recordTimeout)
	defer cancel()
	return t.Ledger.Fetch(ctx, t.customerID(), t.Previous)
}
