package entry

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
)

// maxTakeUpWait bounds the part of a caller's wait for which its stream is recorded, so that no caller can fill the replicas with records of
// streams that end much earlier.
const maxTakeUpWait = 2 * time.Minute

var errRegistrationChanged = errors.New("registration of the instance changed while it was asked")

// streamLifetime is how long after its begin a stream may be taken up again.
func (t *turn) streamLifetime() time.Duration {
	return max(t.routeTimeout(), min(t.Wait, maxTakeUpWait)) + recordMargin
}

// newBegin returns the write that records at which software version the stream begins, or nil if it needs none.
func (t *turn) newBegin(assignment *place.Assignment) *ledger.Write {
	if !t.route.Resumable || assignment.Uncertain || t.begun != nil && *t.begun == assignment.Version {
		return nil
	}
	t.beginTries++
	t.begun = &assignment.Version
	t.beginWrite = ledger.NewWrite(ledger.Record{
		Kind: ledger.Begin, Customer: t.customerID(), Attempt: t.ID, Route: t.route.Name,
		Service: assignment.Service, Software: assignment.Version, Try: t.beginTries, Nonce: t.nonce,
		ExpiresAt: time.Now().Add(t.streamLifetime()).Unix(),
	})
	return t.beginWrite
}

// recordAttempt writes what must be known before the turn is sent to an instance: its reservation, and with it the software version.
// Where only the version is written, startStream waits for it.
func (t *turn) recordAttempt(assignment *place.Assignment) error {
	if !t.hasBudget() || t.reserved {
		t.sendBegin(assignment)
		return nil
	}
	if err := t.reserve(assignment); err != nil {
		return err
	}
	t.reserved = true
	return nil
}

// sendBegin sends the record of the software version, if it needs one.
func (t *turn) sendBegin(assignment *place.Assignment) {
	w := t.newBegin(assignment)
	if w == nil {
		return
	}
	if err := t.Ledger.Send(w); err != nil && t.beginTries == 1 {
		t.beginTries, t.begun, t.beginWrite = 0, nil, nil
		t.log(event.StreamNotRecorded, "version", assignment.Version, "error", err)
	}
}

// startStream checks, before the first event of an attempt is delivered, that the instance's software version is the recorded one. From
// then on no other version may go on with the stream.
func (t *turn) startStream(a *attempt) *failure {
	if !t.route.Resumable {
		return nil
	}
	err := t.awaitBegin()
	if err == nil && !a.assignment.Current() {
		err = errRegistrationChanged
	}
	if err != nil {
		a.assignment.End(place.Neutral)
		t.recordFailure(a.assignment, true, err)
		return &failure{mayHaveRun: true, err: err}
	}
	t.version.Store(&a.assignment.Version)
	if a.assignment.Uncertain {
		t.stays = true
		t.log(event.StreamNotRecorded, "version", a.assignment.Version, "error", errUncertainVersion)
	}
	return nil
}

// awaitBegin waits until a write quorum holds the software version. If that fails at the first try, the stream is served and can't be
// taken up again. At a later try it is an error, as a replica may have the version of an earlier one, which would be taken for this.
func (t *turn) awaitBegin() error {
	if t.beginWrite == nil {
		return nil
	}
	ctx := t.ctx
	if t.beginTries == 1 {
		limit := recordTimeout
		if !t.Ledger.Writable() {
			limit = 0
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(t.ctx, limit)
		defer cancel()
	}
	err := t.beginWrite.Wait(ctx)
	if err != nil && t.beginTries == 1 {
		t.log(event.StreamNotRecorded, "version", *t.begun, "error", err)
		err = nil
	}
	if err == nil {
		t.beginWrite = nil
	}
	return err
}
