package soak

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/instance"
)

const (
	// maxApplyDelay is the time within which a change is in effect at all VMs that reach the platform, and maxDrainDelay the time
	// within which a draining instance stops getting requests; the VMs' settings use the same values.
	maxApplyDelay = 2 * time.Second
	maxDrainDelay = 2 * time.Second
	// maxTransitDelay bounds the time of a request to its instance: the drain delay applies to when it is sent, but the instance
	// logs when it arrives.
	maxTransitDelay = 200 * time.Millisecond
	// rateWindow is the time window over which rates are measured; rateOverage is the fraction and extraRequests the number of requests by which
	// they may be exceeded.
	rateWindow    = 5 * time.Second
	rateOverage   = 0.1
	extraRequests = 20
)

// checkWithdrawnKey finds requests that ran for a customer while its key was withdrawn.
func (r *recorder) checkWithdrawnKey(log *instance.Log, p *Plan) {
	for _, f := range p.Faults {
		if f.Kind != WithdrawKey {
			continue
		}
		withdrawn, restored := f.span()
		from := p.inEffectBy(withdrawn, maxApplyDelay)
		for _, a := range r.attempts {
			if a.customer == instance.SampleWithdrawn && a.start > from && a.end < restored && len(log.Runs(a.ID)) > 0 {
				r.addAttemptViolation(a, "ran though its key had been withdrawn at %v", withdrawn)
			}
		}
	}
}

// checkDrained finds requests that reached an instance while it was draining.
func (r *recorder) checkDrained(log *instance.Log, p *Plan) {
	runs := slices.Concat(log.All()...)
	for _, f := range p.Faults {
		if f.Kind != DrainInstance {
			continue
		}
		drained, restored := f.span()
		from := p.inEffectBy(drained, maxDrainDelay) + maxTransitDelay
		for _, run := range runs {
			if at := run.At.Sub(r.start); run.Instance == f.Target && at > from && at < restored {
				r.addRunViolation(at, "%s got a request of %s although it has been draining since %v", f.Target, run.Customer, drained)
			}
		}
	}
}

// checkRateLimit finds windows in which more requests of the limited customer ran than its rate allows.
func (r *recorder) checkRateLimit(log *instance.Log) {
	var times []time.Time
	for _, runs := range log.All() {
		// A request that runs several times counts once.
		if runs[0].Customer == instance.SampleLimited {
			times = append(times, runs[0].At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := int((instance.LimitedRate*rateWindow.Seconds()+instance.LimitedBurst)*(1+rateOverage)) + extraRequests
	for i := limit; i < len(times); i++ {
		if span := times[i].Sub(times[i-limit]); span < rateWindow {
			r.addRunViolation(times[i].Sub(r.start), "%d requests of %s ran within %v", limit+1, instance.SampleLimited, span)
			return
		}
	}
}

// delaysChanges are the kinds of faults during which a VM does not learn of operators' changes.
var delaysChanges = map[FaultKind]bool{PlatformDown: true, Pause: true}

// inEffectBy returns when a change must be in effect at all VMs. The bound starts again at the end of each overlapping fault that
// delays changes.
func (p *Plan) inEffectBy(at, bound time.Duration) time.Duration {
	for _, f := range p.Faults {
		start, end := f.span()
		if delaysChanges[f.Kind] && start < at+bound && end > at {
			at = end
		}
	}
	return at + bound
}
