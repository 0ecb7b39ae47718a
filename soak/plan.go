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

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Kill ends a VM's process at once; it is started again.
	Kill Kind = "kill"
	// Stop is a planned stop; the process is started again once it has ended.
	Stop Kind = "stop"
	// Pause suspends a VM's process.
	Pause Kind = "pause"
	// KillAll ends all processes at the same moment.
	KillAll Kind = "kill-all"
	// Wipe ends a storage VM's process and empties its disk.
	Wipe Kind = "wipe"
	// Reload sends SIGHUP.
	Reload Kind = "reload"
	// PlatformDown lets the platform answer 503, PlatformLost lose the answers of writes, PlatformDeaf let watches wait in vain, and
	// Compact drops its history.
	PlatformDown Kind = "platform-down"
	PlatformLost Kind = "platform-lost"
	PlatformDeaf Kind = "platform-deaf"
	Compact      Kind = "compact"
	// Errors, Lose, Twice and Slow are faults of an instance; Vanish resets and refuses its connections.
	Errors Kind = "errors"
	Lose   Kind = "lose"
	Twice  Kind = "twice"
	Slow   Kind = "slow"
	Vanish Kind = "vanish"
	// Mute lets an instance's connections go silent without an end.
	Mute Kind = "mute"
	// Change is a change of the configuration, Withdraw takes a customer's key back for a while, and Leave lets an instance drain.
	Change   Kind = "change"
	Withdraw Kind = "withdraw"
	Leave    Kind = "leave"
)

// on tells what a kind of fault acts on.
var on = map[Kind]target{
	Kill: onAny, Stop: onEntry, Pause: onAny, KillAll: onNone, Wipe: onStore, Reload: onEntry,
	PlatformDown: onNone, PlatformLost: onNone, PlatformDeaf: onNone, Compact: onNone,
	Errors: onInstance, Lose: onInstance, Twice: onInstance, Slow: onInstance, Vanish: onInstance, Mute: onInstance,
	Change: onNone, Withdraw: onNone, Leave: onInstance,
}

type target int

const (
	onNone target = iota
	onAny
	onEntry
	onStore
	onInstance
)

const (
	// calm is the time at the start and at the end of a run without faults: the fleet starts, and it must be back.
	calm = 8 * time.Second
	// meanGap is the mean time between two faults.
	meanGap = 900 * time.Millisecond
	// shortest and longest bound a fault.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// catchUp is how long a storage VM counts as lost after its fault; one may be lost at a time.
	catchUp = 8 * time.Second
)

// Fault is one fault of a plan.
type Fault struct {
	At   chestnutcleat.Duration `json:"at"`
	Kind Kind                   `json:"kind"`
	// On names the VM or instance; empty where the kind needs none.
	On  string                 `json:"on,omitempty"`
	For chestnutcleat.Duration `json:"for,omitempty"`
}

// span returns when the fault begins and ends.
func (f Fault) span() (from, to time.Duration) {
	return time.Duration(f.At), time.Duration(f.At) + time.Duration(f.For)
}

// Plan is the faults of a run, in the order of their times.
type Plan struct {
	Seed   uint64                 `json:"seed"`
	Length chestnutcleat.Duration `json:"length"`
	Faults []Fault                `json:"faults"`
}

// names of the VMs and instances that a plan may act on.
type names struct{ entries, stores, instances []string }

// MinLength is the shortest run that has faults.
const MinLength = 2*calm + longest

// NewPlan draws a plan of the given kinds, all if there are none; the same arguments give the same plan.
func NewPlan(seed uint64, length time.Duration, kinds ...Kind) (Plan, error) {
	random := rand.New(rand.NewPCG(seed, 7))
	n := fleetNames()
	p := Plan{Seed: seed, Length: chestnutcleat.Duration(length)}
	if len(kinds) == 0 {
		kinds = slices.Collect(maps.Keys(on))
	}
	for _, k := range kinds {
		if _, ok := on[k]; !ok {
			return Plan{}, fmt.Errorf("kind of fault %q is not known", k)
		}
	}
	slices.Sort(kinds)
	storeLost, changed := time.Duration(0), map[Kind]time.Duration{}
	for at := calm; at < length-calm; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		f := Fault{At: chestnutcleat.Duration(at), Kind: kinds[random.IntN(len(kinds))]}
		span := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		f.For = chestnutcleat.Duration(min(span, length-calm-at))
		if f.Kind == Withdraw || f.Kind == Leave {
			if at < changed[f.Kind] {
				continue
			}
			// What the bound of a change leaves of its time is what can be checked.
			f.For = chestnutcleat.Duration(min(span+applyTime, length-calm-at))
			changed[f.Kind] = at + time.Duration(f.For)
		}
		f.On = n.draw(random, on[f.Kind])
		if slices.Contains(n.stores, f.On) || f.Kind == KillAll {
			if at < storeLost {
				continue
			}
			storeLost = at + span + catchUp
		}
		p.Faults = append(p.Faults, f)
	}
	return p, nil
}

func (n names) draw(random *rand.Rand, t target) string {
	var list []string
	switch t {
	case onNone:
		return ""
	case onAny:
		list = slices.Concat(n.entries, n.stores)
	case onEntry:
		list = n.entries
	case onStore:
		list = n.stores
	case onInstance:
		list = n.instances
	}
	return list[random.IntN(len(list))]
}

// ReadPlan reads a plan that was printed, and perhaps edited.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	n := fleetNames()
	all := slices.Concat(n.entries, n.stores, n.instances)
	for i, f := range p.Faults {
		t, ok := on[f.Kind]
		if !ok {
			return Plan{}, fmt.Errorf("plan %s: fault %d: kind %q is not known", path, i, f.Kind)
		}
		if (t == onNone) != (f.On == "") || f.On != "" && !slices.Contains(all, f.On) {
			return Plan{}, fmt.Errorf("plan %s: fault %d: %q is nothing that kind %s acts on", path, i, f.On, f.Kind)
		}
	}
	return p, nil
}
