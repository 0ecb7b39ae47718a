package soak

import (
	"context"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// letLeave lets an instance say in its answers that it leaves. It is registered as draining for the last drainingTime of the given
// duration, is then not registered any more and starts again under its id and address.
func (f *fleet) letLeave(ctx context.Context, inst *standinInstance, duration time.Duration) {
	inst.SetLeaving()
	_ = chestnutcleat.Sleep(ctx, duration-drainingTime)
	f.register(inst, instance.StateDraining)
	_ = chestnutcleat.Sleep(ctx, min(duration, drainingTime))
	f.platform.Delete("servers", inst.ID)
	inst.startedAt = time.Now().UnixMilli()
	inst.SetStart(inst.startedAt)
	f.register(inst, instance.StateReady)
}

// vmHistory tells when a VM's process was started.
type vmHistory struct {
	vm     string
	starts []time.Time
}

// histories returns the history of each entry VM by the address to which callers connect. It is called when the processes have ended.
func (f *fleet) histories() map[string]vmHistory {
	out := map[string]vmHistory{}
	for id, p := range f.processes {
		if a := string(p.settings.Listen.Callers); a != "" {
			out[a] = vmHistory{vm: id, starts: p.starts}
		}
	}
	return out
}

// departure is what a VM must know: it passed on an answer in which a start of an instance says that it leaves.
type departure struct {
	address, instance string
	startedAt         int64
}

// departureOf returns what a VM that passed on the answer of a run would know.
func departureOf(a *attempt, run *instance.Run) departure {
	return departure{address: a.Address, instance: run.Instance, startedAt: run.StartedAt}
}

// checkDeparted finds requests that a VM sent to an instance although callers sent them more than maxDrainDelay after the VM had passed
// on an answer in which that start of the instance says that it leaves. A restart or a pause of the VM since then excuses it.
func (r *recorder) checkDeparted(log *instance.Log, p *Plan, histories map[string]vmHistory) {
	known := r.departures(log)
	for _, a := range r.attempts {
		h := histories[a.Address]
		for _, run := range log.Runs(a.ID) {
			if passedOn, ok := r.ignoredDeparture(a, known[departureOf(a, &run)], p, h); ok {
				r.addAttemptViolation(a, "%s sent it to %s, %v after the VM had passed on that the instance leaves",
					h.vm, run.Instance, a.start-passedOn)
			}
		}
	}
}

// ignoredDeparture returns the first of the times at which the VM passed on that the instance leaves, in their order, that the VM should
// have known when it got the attempt.
func (r *recorder) ignoredDeparture(a *attempt, times []time.Duration, p *Plan, h vmHistory) (time.Duration, bool) {
	for _, passedOn := range times {
		if a.start <= passedOn+maxDrainDelay {
			break
		}
		if !h.startedWithin(r.start.Add(passedOn), r.start.Add(a.end)) && !p.pauses(h.vm, passedOn, a.end) {
			return passedOn, true
		}
	}
	return 0, false
}

// departures returns when VMs had passed on answers in which instances say that they leave, the first ones first. Attempts that ran
// several times are left out, as one of their answers may not have been passed on.
func (r *recorder) departures(log *instance.Log) map[departure][]time.Duration {
	known := map[departure][]time.Duration{}
	for _, a := range r.attempts {
		if runs := log.Runs(a.ID); len(runs) == 1 && runs[0].Leaving && a.Complete {
			d := departureOf(a, &runs[0])
			known[d] = append(known[d], a.end)
		}
	}
	for _, times := range known {
		slices.Sort(times)
	}
	return known
}

// startedWithin reports whether the VM's process was started in a span of time.
func (h vmHistory) startedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.starts, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// pauses reports whether the plan pauses a VM in a span of time.
func (p *Plan) pauses(vm string, from, to time.Duration) bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool {
		start, end := f.span()
		return f.Kind == Pause && f.Target == vm && start <= to && from <= end
	})
}
