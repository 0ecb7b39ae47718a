package soak

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/instance"
)

const (
	// applyTime is the time in which a change is in effect at all VMs that reach the platform, and drainTime that in which an
	// instance that leaves gets no more requests; the VMs' settings say the same.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
	// wayTime is what a request takes to an instance; it counts by when it was sent.
	wayTime = 200 * time.Millisecond
	// window is the span over which rates hold, overage the part, and tolerance the number of requests, that may pass beyond.
	window    = 5 * time.Second
	overage   = 0.1
	tolerance = 20
)

// checkWithdrawn looks for requests that ran for a customer whose key had been withdrawn.
func (r *record) checkWithdrawn(log *instance.Log, p *Plan) {
	for _, f := range p.Faults {
		if f.Kind != Withdraw {
			continue
		}
		at, to := f.span()
		from := p.known(at, applyTime)
		for _, a := range r.attempts {
			if a.customer == instance.SampleWithdrawn && a.begun > from && a.end < to && len(log.Of(a.ID)) > 0 {
				r.violate(a, "ran though its key had been withdrawn at %v", at)
			}
		}
	}
}

// checkLeft looks for requests that reached an instance which had left.
func (r *record) checkLeft(log *instance.Log, p *Plan) {
	all := slices.Concat(log.All()...)
	for _, f := range p.Faults {
		if f.Kind != Leave {
			continue
		}
		left, to := f.span()
		from := p.known(left, drainTime) + wayTime
		for _, v := range all {
			if at := v.At.Sub(r.begun); v.Instance == f.On && at > from && at < to {
				r.fail(at, "%s got a request of %s though it leaves since %v", f.On, v.Customer, left)
			}
		}
	}
}

// checkRate looks for windows in which more requests of the limited customer ran than its rate allows.
func (r *record) checkRate(log *instance.Log) {
	var times []time.Time
	for _, runs := range log.All() {
		// A request that is run again counts once.
		if runs[0].Customer == instance.SampleLimited {
			times = append(times, runs[0].At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := int((instance.LimitedRate*window.Seconds()+instance.LimitedBurst)*(1+overage)) + tolerance
	for i := most; i < len(times); i++ {
		if span := times[i].Sub(times[i-most]); span < window {
			r.fail(times[i].Sub(r.begun), "%d requests of %s ran within %v", most+1, instance.SampleLimited, span)
			return
		}
	}
}

// blinding are the kinds of faults in which a VM does not learn what operators change.
var blinding = map[Kind]bool{PlatformDown: true, Pause: true}

// known returns when all VMs know of a change within a bound: faults that keep them from it put that off.
func (p *Plan) known(at, bound time.Duration) time.Duration {
	for _, f := range p.Faults {
		begun, end := f.span()
		if blinding[f.Kind] && begun < at+bound && end > at {
			at = end
		}
	}
	return at + bound
}
