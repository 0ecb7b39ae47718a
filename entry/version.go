package entry

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
)

// maxTakeUpWait bounds the part of a caller's wait for which its stream is recorded, so that no caller can fill the replicas with records of
// streams that end much earlier.
const maxTakeUpWait = 2 * time.Minute

// takeUpRefusal is the reason why a stream is not taken up again.
type takeUpRefusal string

// Reasons of refused take-ups.
const (
	refusedRoute         takeUpRefusal = "route"
	refusedService       takeUpRefusal = "service"
	refusedContradiction takeUpRefusal = "contradiction"
	refusedUnreadable    takeUpRefusal = "unreadable"
	refusedUnknown       takeUpRefusal = "unknown"
	refusedInstances     takeUpRefusal = "instances"
)

var refusalDetails = map[takeUpRefusal]string{
	refusedRoute:         "streams of the route cannot be taken up again",
	refusedService:       "the route no longer leads to the service that began the stream",
	refusedContradiction: "several software versions may have begun the stream",
	refusedUnreadable:    "the records that name the stream's software version cannot be read",
	refusedUnknown:       "it is not known which software version began the stream",
	refusedInstances:     "no instance of the software version that began the stream is ready",
}

var (
	errRegistrationChanged = errors.New("registration of the instance changed while it was asked")
	errOtherVersion        = errors.New("all streams of the route that are on record began at one version, but another one is registered")
)

// refuseTakeUp returns the error for a caller whose stream does not go on. Nothing was sent to any instance.
func (t *turn) refuseTakeUp(reason takeUpRefusal, cause error) error {
	if t.r.Context().Err() != nil {
		return errCallerGone
	}
	t.log(event.TakeUpRefused, "reason", reason, "service", t.service, "error", cause)
	return problem(chestnutcleat.CodeCannotResume, chestnutcleat.NotRun, "%s", refusalDetails[reason]).WithRetry(jitteredRetryAfter())
}

// locate finds the service and the software version that must go on with a stream that the caller takes up again.
func (t *turn) locate() error {
	if !t.TakesUp() {
		return nil
	}
	// A kept turn must have its whole output, of which this request brings a part only.
	if !t.route.Resumable || t.route.Retained {
		return t.refuseTakeUp(refusedRoute, nil)
	}
	o, byRoute, err := t.findOrigin()
	if byRoute && t.Resumes != "" {
		// The stream that the caller names has no record, so the recorded ones of its route don't tell where it began.
		err = chestnutcleat.ErrNotFound
	}
	switch {
	case err == nil && byRoute && t.Instances.OtherVersion(o.Service, o.Software, t.streamLifetime()):
		return t.refuseTakeUp(refusedUnknown, errOtherVersion)
	case err == nil && !t.route.LeadsTo(o.Service):
		t.service = o.Service
		return t.refuseTakeUp(refusedService, nil)
	case err == nil:
		t.service = o.Service
		t.version.Store(&o.Software)
		t.log(event.StreamTakenUp, "service", t.service, "version", o.Software, "found", evidence(byRoute), "try", o.Try)
		return nil
	case errors.Is(err, ledger.ErrContradiction):
		return t.refuseTakeUp(refusedContradiction, err)
	case !errors.Is(err, chestnutcleat.ErrNotFound):
		return t.refuseTakeUp(refusedUnreadable, err)
	}
	version, ok := t.onlyVersion()
	if !ok {
		return t.refuseTakeUp(refusedUnknown, err)
	}
	t.version.Store(&version)
	t.log(event.StreamTakenUp, "service", t.service, "version", version, "found", "registrations")
	return nil
}

// evidence names where the software version of a stream was found.
func evidence(byRoute bool) string {
	if byRoute {
		return "route"
	}
	return "record"
}

// findOrigin reads the origin of the stream that the caller takes up, or that of all streams of its route. An error other than chestnutcleat.ErrNotFound means that
// this VM may be cut off from the others.
func (t *turn) findOrigin() (o ledger.Origin, byRoute bool, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, recordTimeout)
	defer cancel()
	return t.Ledger.FindOrigin(ctx, ledger.OriginQuery{Customer: t.customerID(), Attempt: t.Resumes, Route: t.route.Name})
}

// onlyVersion returns the software version of an unknown stream if no other one can have begun it: for as long as records of streams
// last, the route has led to this service only, and all of its instances had this version.
func (t *turn) onlyVersion() (chestnutcleat.SoftwareVersion, bool) {
	within := t.streamLifetime()
	if len(t.route.Targets) > 1 || t.table.Age() < within {
		return "", false
	}
	return t.Instances.OnlyVersion(t.service, within)
}

// streamLifetime is how long after its begin a stream may be taken up again.
func (t *turn) streamLifetime() time.Duration {
	timeout := t.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return max(timeout, min(t.Wait, maxTakeUpWait)) + recordMargin
}

// newBegin returns the write that records at which software version the stream begins, or nil if it needs none.
func (t *turn) newBegin(assignment *place.Assignment) *ledger.Write {
	if !t.route.Resumable || t.beginTries > 0 && t.begunAt == assignment.Version {
		return nil
	}
	t.beginTries++
	t.begunAt = assignment.Version
	t.begun = &assignment.Version
	t.beginning = ledger.NewWrite(ledger.Record{
		Kind: ledger.Begin, Customer: t.customerID(), Attempt: t.ID, Route: t.route.Name, Service: assignment.Service, Software: assignment.Version, Try: t.beginTries,
		ExpiresAt: time.Now().Add(t.streamLifetime()).Unix(),
	})
	return t.beginning
}

// record writes what must be known before the turn is sent to an instance: its reservation, and with it the software version. A version
// alone is not waited for here.
func (t *turn) record(assignment *place.Assignment) error {
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
		t.beginTries, t.beginning = 0, nil
		t.log(event.StreamNotRecorded, "version", t.begunAt, "error", err)
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
	return nil
}

// awaitBegin waits until a write quorum holds the software version. If that fails, the stream is served and can't be taken up again, unless a
// replica may have the version of an earlier try, which would be taken for its own.
func (t *turn) awaitBegin() error {
	if t.beginning == nil {
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
	err := t.beginning.Wait(ctx)
	if err != nil && t.beginTries == 1 {
		t.log(event.StreamNotRecorded, "version", t.begunAt, "error", err)
		err = nil
	}
	if err == nil {
		t.beginning = nil
	}
	return err
}
