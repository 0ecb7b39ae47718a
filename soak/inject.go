package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/store"
)

// platformFaults holds the faults that the platform has for a while.
var platformFaults = map[FaultKind]store.Faults{
	PlatformDown:         {Status: http.StatusServiceUnavailable},
	PlatformLoseAnswers:  {LoseResponses: true},
	PlatformStallWatches: {StallWatches: true, StaleLists: true},
}

// instanceFaults holds the faults that an instance has for a while.
var instanceFaults = map[FaultKind]instance.Faults{
	InstanceErrors:   {ErrorRate: 0.5},
	LoseAnswers:      {ConnectionLossRate: 0.3},
	DuplicateAnswers: {DuplicateRate: 0.5},
	EndlessAnswers:   {EndlessRate: 0.5},
	DripAnswers:      {DripRate: 0.5},
	RepeatRefusals:   {RepeatedRefusalRate: 0.5},
	DelayAnswers:     {Delay: 300 * time.Millisecond},
	UnframedAnswers:  {UnframedRate: 0.7, CutRate: 0.3},
}

// malformedStream is the stream of random numbers of malformed messages.
const malformedStream = 11

// inject applies a fault, and reverts it after its duration if it has one.
func (f *fleet) inject(ctx context.Context, fault Fault) {
	duration := time.Duration(fault.Duration)
	if faults, ok := platformFaults[fault.Kind]; ok {
		f.platform.SetFaults(faults)
		_ = chestnutcleat.Sleep(ctx, duration)
		f.platform.SetFaults(store.Faults{})
		return
	}
	if targets[fault.Kind] == targetInstance {
		f.injectAtInstance(ctx, f.standinInstances[fault.Target], fault.Kind, duration)
		return
	}
	switch fault.Kind {
	case Kill:
		f.processes[fault.Target].signal(syscall.SIGKILL)
	case Stop:
		f.processes[fault.Target].signal(syscall.SIGTERM)
	case ReloadSettings:
		f.processes[fault.Target].signal(syscall.SIGHUP)
	case Pause:
		f.processes[fault.Target].signal(syscall.SIGSTOP)
		_ = chestnutcleat.Sleep(ctx, duration)
		f.processes[fault.Target].signal(syscall.SIGCONT)
	case KillAll:
		for _, p := range f.processes {
			p.signal(syscall.SIGKILL)
		}
	case KillEntries:
		for _, id := range f.names.entries {
			f.processes[id].signal(syscall.SIGKILL)
		}
	case MalformedMessages:
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		f.sendMalformed(ctx, rand.New(rand.NewPCG(uint64(fault.At), malformedStream)))
	case WipeDisk:
		f.processes[fault.Target].wipeDisk()
	case PlatformCompact:
		f.platform.Compact()
	case OddEntries:
		f.leaveOddEntries(ctx, duration)
	case ChangeConfiguration:
		f.updateConfig(func(s *instance.Sample) { s.Timeout = requestTimeout + duration })
	case AddRoutes:
		f.updateConfig(func(s *instance.Sample) { s.ExtraRoutes += routesPerChange })
	case Release:
		f.release(ctx, rand.New(rand.NewPCG(uint64(fault.At), releaseStream)), duration)
	case WithdrawKey:
		f.updateConfig(func(s *instance.Sample) { s.Withdrawn = true })
		_ = chestnutcleat.Sleep(ctx, duration)
		f.updateConfig(func(s *instance.Sample) { s.Withdrawn = false })
	}
}

// injectAtInstance applies a fault of an instance and reverts it after its duration.
func (f *fleet) injectAtInstance(ctx context.Context, inst *standinInstance, k FaultKind, duration time.Duration) {
	switch k {
	case DrainInstance:
		f.register(inst, instance.StateDraining)
		_ = chestnutcleat.Sleep(ctx, duration)
		f.register(inst, instance.StateReady)
	case LeavingAnswers:
		f.letLeave(ctx, inst, duration)
	case ResetConnections:
		inst.listener.resetFor(duration)
	case StallConnections:
		inst.listener.stallFor(duration)
	default:
		inst.SetFaults(instanceFaults[k])
		_ = chestnutcleat.Sleep(ctx, duration)
		inst.SetFaults(instance.Faults{})
	}
}

// leaveOddEntries writes odd entries among the objects of all kinds and removes them after a duration.
func (f *fleet) leaveOddEntries(ctx context.Context, d time.Duration) {
	entries := store.OddEntries()
	for name, entry := range entries {
		for _, kind := range store.Kinds() {
			f.platform.SetEntry(kind, "odd "+name, entry)
		}
	}
	_ = chestnutcleat.Sleep(ctx, d)
	for name := range entries {
		for _, kind := range store.Kinds() {
			f.platform.Delete(kind, "odd "+name)
		}
	}
}
