package entry

import (
	"context"
	"errors"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
)

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
	refusedUnconfirmed   takeUpRefusal = "unconfirmed"
)

// refusalDetails tells callers the reasons.
var refusalDetails = map[takeUpRefusal]string{
	refusedRoute:         "streams of the route cannot be taken up again",
	refusedService:       "the route no longer leads to the service that began the stream",
	refusedContradiction: "several software versions may have begun the stream",
	refusedUnreadable:    "the records that name the stream's software version cannot be read",
	refusedUnknown:       "it is not known which software version began the stream",
	refusedInstances:     "no instance of the software version that began the stream is ready",
	refusedUnconfirmed:   "it is not known which software version began the stream, as this VM may have missed registrations",
}

var errOtherVersion = errors.New("all streams of the route that are on record began at one version, but another one is registered")

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
	case err == nil:
		return t.continueAt(o, byRoute)
	case errors.Is(err, chestnutcleat.ErrNotFound):
		return t.continueByRegistrations(err)
	case errors.Is(err, ledger.ErrContradiction):
		return t.refuseTakeUp(refusedContradiction, err)
	}
	return t.refuseTakeUp(refusedUnreadable, err)
}

// continueAt selects the service and the software version of an origin that is on record.
func (t *turn) continueAt(o ledger.Origin, byRoute bool) error {
	if byRoute {
		if err := t.confirmInstances(); err != nil {
			return t.refuseTakeUp(refusedUnconfirmed, err)
		}
		if t.Instances.OtherVersion(o.Service, o.Software) {
			return t.refuseTakeUp(refusedUnknown, errOtherVersion)
		}
	}
	t.service = o.Service
	if !t.route.LeadsTo(o.Service) {
		return t.refuseTakeUp(refusedService, nil)
	}
	t.version.Store(&o.Software)
	t.log(event.StreamTakenUp, "service", t.service, "version", o.Software, "found", evidence(byRoute), "try", o.Try)
	return nil
}

// continueByRegistrations selects the only software version that instances of the service have had, as none is on record.
func (t *turn) continueByRegistrations(notFound error) error {
	if err := t.confirmInstances(); err != nil {
		return t.refuseTakeUp(refusedUnconfirmed, errors.Join(notFound, err))
	}
	version, ok := t.onlyVersion()
	if !ok {
		return t.refuseTakeUp(refusedUnknown, notFound)
	}
	t.version.Store(&version)
	t.log(event.StreamTakenUp, "service", t.service, "version", version, "found", "registrations")
	return nil
}

// confirmInstances returns an error unless this VM's registrations are evidence: a VM that was cut off or stood still may lack the version
// of instances that joined meanwhile, and that began the stream through another VM.
func (t *turn) confirmInstances() error {
	if t.ConfirmInstances == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, recordTimeout)
	defer cancel()
	return t.ConfirmInstances(ctx)
}

// evidence names where the software version of a stream was found.
func evidence(byRoute bool) string {
	if byRoute {
		return "route"
	}
	return "record"
}

// findOrigin reads the origin of the stream that the caller takes up, or that of all streams of its route. An error other than
// chestnutcleat.ErrNotFound and ledger.ErrContradiction means that this VM may be cut off from the others.
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
