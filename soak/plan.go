package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// Kill kills a VM's process, which is started again.
	Kill FaultKind = "kill"
	// KillEntries kills the processes of all entry VMs at the same moment.
	KillEntries FaultKind = "kill-entries"
	// Stop shuts a VM down gracefully; its process is started again when it has ended.
	Stop FaultKind = "stop"
	// Pause suspends a VM's process.
	Pause FaultKind = "pause"
	// KillAll kills all processes at the same moment.
	KillAll FaultKind = "kill-all"
	// WipeDisk kills a storage VM's process and empties its disk.
	WipeDisk FaultKind = "wipe"
	// ReloadSettings sends SIGHUP to an entry VM.
	ReloadSettings FaultKind = "reload"
	// During PlatformDown the platform answers 503, during PlatformLoseAnswers it applies writes but breaks the connection instead
	// of answering, and during PlatformStallWatches watches get no changes and stale lists are as old as the fault.
	// PlatformCompact drops the platform's history.
	PlatformDown         FaultKind = "platform-down"
	PlatformLoseAnswers  FaultKind = "platform-lost"
	PlatformStallWatches FaultKind = "platform-deaf"
	PlatformCompact      FaultKind = "compact"
	// OddEntries leaves entries of another writer, which can't be decoded, among the platform's objects of all kinds.
	OddEntries FaultKind = "odd-entry"
	// AddRoutes adds routes to the configuration, and Release stops entry VMs gracefully one after the other.
	AddRoutes FaultKind = "routes"
	Release   FaultKind = "release"
	// MalformedMessages sends malformed datagrams, bytes and calls to the VMs' ports for each other.
	MalformedMessages FaultKind = "malformed"
	// InstanceErrors lets an instance answer with errors, LoseAnswers run requests but lose their answers, DuplicateAnswers send an
	// answer twice, DelayAnswers answer slowly, EndlessAnswers send bytes until the connection is closed, and RepeatRefusals run requests
	// but answer with an earlier refusal. ResetConnections resets and refuses its connections.
	InstanceErrors   FaultKind = "errors"
	LoseAnswers      FaultKind = "lose"
	DuplicateAnswers FaultKind = "twice"
	DelayAnswers     FaultKind = "slow"
	EndlessAnswers   FaultKind = "endless"
	RepeatRefusals   FaultKind = "refuse"
	ResetConnections FaultKind = "vanish"
	// DripAnswers lets an instance begin answers and then send a byte now and then, without end.
	DripAnswers FaultKind = "drip"
	// StallConnections lets an instance's connections stay open without sending.
	StallConnections FaultKind = "mute"
	// ChangeConfiguration changes the configuration, WithdrawKey withdraws a customer's key for a while, and DrainInstance drains
	// an instance for a while.
	ChangeConfiguration FaultKind = "change"
	WithdrawKey         FaultKind = "withdraw"
	DrainInstance       FaultKind = "leave"
	// During LeavingAnswers an instance says in all its answers that it leaves; its registration says so only in the end, then goes,
	// and a new start of the instance is registered. UnframedAnswers lets an instance answer without length and chunks, and cut
	// some of these answers.
	LeavingAnswers  FaultKind = "leaving"
	UnframedAnswers FaultKind = "unframed"
)

// targets maps each kind of fault to what it acts on.
var targets = map[FaultKind]targetKind{
	Kill: targetAnyVM, Stop: targetEntry, Pause: targetAnyVM, KillAll: targetNone, WipeDisk: targetStore, ReloadSettings: targetEntry,
	PlatformDown: targetNone, PlatformLoseAnswers: targetNone, PlatformStallWatches: targetNone, PlatformCompact: targetNone,
	OddEntries: targetNone, MalformedMessages: targetNone, KillEntries: targetNone,
	InstanceErrors: targetInstance, LoseAnswers: targetInstance, DuplicateAnswers: targetInstance, DelayAnswers: targetInstance,
	EndlessAnswers: targetInstance, RepeatRefusals: targetInstance, ResetConnections: targetInstance, StallConnections: targetInstance,
	DripAnswers:         targetInstance,
	ChangeConfiguration: targetNone, WithdrawKey: targetNone, DrainInstance: targetInstance,
	LeavingAnswers: targetInstance, UnframedAnswers: targetInstance,
	AddRoutes: targetNone, Release: targetNone,
}

// namedOnly are the kinds that a plan has only if they are named. The plans of seeds that name no kinds stay as they were without them.
var namedOnly = map[FaultKind]bool{AddRoutes: true, Release: true}

// checkDelays are added to the duration of changes, which can only be checked after the delay in which they take effect.
var checkDelays = map[FaultKind]time.Duration{
	AddRoutes: maxApplyDelay, WithdrawKey: maxApplyDelay, DrainInstance: maxApplyDelay, LeavingAnswers: maxDrainDelay + drainingTime,
}

// changeSubject is what a change acts on; a plan has only one change of each subject at a time.
type changeSubject int

const (
	subjectKey changeSubject = iota
	subjectRegistrations
	subjectRoutes
)

// changeSubjects maps the kinds in checkDelays to what they change.
var changeSubjects = map[FaultKind]changeSubject{
	AddRoutes: subjectRoutes, WithdrawKey: subjectKey, DrainInstance: subjectRegistrations, LeavingAnswers: subjectRegistrations,
}

type targetKind int

const (
	targetNone targetKind = iota
	targetAnyVM
	targetEntry
	targetStore
	targetInstance
)

const (
	// quietPeriod is the time without faults at the start of a run, while the fleet starts, and at the end, while it recovers.
	quietPeriod = 8 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// storeRecoveryTime is how long a storage VM counts as unavailable after its fault; only one may be unavailable at a time.
	storeRecoveryTime = 8 * time.Second
	// drainingTime is how long an instance that leaves is registered as draining before its registration goes.
	drainingTime = time.Second
)

// Fault is one fault of a plan.
type Fault struct {
	At   chestnutcleat.Duration `json:"at"`
	Kind FaultKind              `json:"kind"`
	// Target names the VM or instance; empty for kinds that need none.
	Target   string                 `json:"on,omitempty"`
	Duration chestnutcleat.Duration `json:"for,omitempty"`
}

// span returns when the fault begins and ends.
func (f Fault) span() (from, to time.Duration) {
	return time.Duration(f.At), time.Duration(f.At) + time.Duration(f.Duration)
}

// Plan lists the faults of a run in the order of their times.
type Plan struct {
	Seed   uint64                 `json:"seed"`
	Length chestnutcleat.Duration `json:"length"`
	// Spare adds a storage VM that holds no records until it takes the place of one that is silent, which then comes back.
	Spare bool `json:"spare,omitempty"`
	Size
	Faults []Fault `json:"faults"`
}

// Size is the size of the fleet and its configuration; zero stands for a default.
type Size struct {
	// Entries is the number of entry VMs.
	Entries int `json:"entries,omitempty"`
	// Routes is the number of routes that the configuration has besides the sample's own.
	Routes int `json:"routes,omitempty"`
}

// memberNames are the names of the VMs and instances that a plan may act on.
type memberNames struct{ entries, stores, instances []string }

// MinLength is the length from which a run of any seed has time for faults.
const MinLength = 2*quietPeriod + maxFaultDuration

// NewPlan draws a plan with faults of the given kinds, or of all kinds if none is given. The same arguments give the same plan.
func NewPlan(seed uint64, length time.Duration, size Size, kinds ...FaultKind) (Plan, error) {
	random := rand.New(rand.NewPCG(seed, 7))
	names := size.names()
	p := Plan{Seed: seed, Length: chestnutcleat.Duration(length), Spare: seed%2 == 1, Size: size}
	if len(kinds) == 0 {
		kinds = slices.Collect(maps.Keys(targets))
		kinds = slices.DeleteFunc(kinds, func(k FaultKind) bool { return namedOnly[k] })
	}
	for _, k := range kinds {
		if _, ok := targets[k]; !ok {
			return Plan{}, fmt.Errorf("unknown kind of fault %q", k)
		}
	}
	slices.Sort(kinds)
	storeUnavailableUntil, changedUntil := time.Duration(0), map[changeSubject]time.Duration{}
	for at := quietPeriod; at < length-quietPeriod; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: chestnutcleat.Duration(at), Kind: kinds[random.IntN(len(kinds))]}
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f.Duration = chestnutcleat.Duration(min(duration, length-quietPeriod-at))
		if delay := checkDelays[f.Kind]; delay > 0 {
			if at < changedUntil[changeSubjects[f.Kind]] {
				continue
			}
			f.Duration = chestnutcleat.Duration(min(duration+delay, length-quietPeriod-at))
			changedUntil[changeSubjects[f.Kind]] = at + time.Duration(f.Duration)
		}
		f.Target = names.drawTarget(random, targets[f.Kind])
		if slices.Contains(names.stores, f.Target) || f.Kind == KillAll {
			if at < storeUnavailableUntil {
				continue
			}
			storeUnavailableUntil = at + duration + storeRecoveryTime
		}
		p.Faults = append(p.Faults, f)
	}
	return p, nil
}

func (n memberNames) drawTarget(random *rand.Rand, t targetKind) string {
	var list []string
	switch t {
	case targetNone:
		return ""
	case targetAnyVM:
		list = slices.Concat(n.entries, n.stores)
	case targetEntry:
		list = n.entries
	case targetStore:
		list = n.stores
	case targetInstance:
		list = n.instances
	}
	return list[random.IntN(len(list))]
}

// ReadPlan reads a plan from a JSON file, as the soak command prints it.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	names := p.names()
	all := slices.Concat(names.entries, names.stores, names.instances)
	for i, f := range p.Faults {
		t, ok := targets[f.Kind]
		if !ok {
			return Plan{}, fmt.Errorf("plan %s: fault %d: unknown kind %q", path, i, f.Kind)
		}
		if (t == targetNone) != (f.Target == "") || f.Target != "" && !slices.Contains(all, f.Target) {
			return Plan{}, fmt.Errorf("plan %s: fault %d: %q is not a valid target of kind %s", path, i, f.Target, f.Kind)
		}
	}
	return p, nil
}
