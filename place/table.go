package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// minBackoff and maxBackoff bound how long an instance gets no work after connections to it failed; a crashed one is
	// back after some seconds.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxLoadFactor is how far above its service's mean an instance's load may be before requests with a key go elsewhere,
	// at the cost of leaving the program's prompt cache at an engine.
	maxLoadFactor = 1.25
	// loadSlack is added to the load bound, in requests, so that programs keep their instances in a nearly idle service.
	loadSlack = 2
	// sameDomainWeight favors instances of this VM's failure domain for requests without a key, as traffic between domains costs
	// extra.
	sameDomainWeight = 2
	// fullInstanceWeight makes full instances a last resort.
	fullInstanceWeight = 1e-6
)

// Request describes a request that needs an instance.
type Request struct {
	Service chestnutcleat.ServiceName
	// Version is the software version that the instance must have; nil for any.
	Version *chestnutcleat.SoftwareVersion
	// Certain leaves out instances that may have been started again since their registration. A request with a Version is never sent there.
	Certain bool
	// Key keeps requests with the same key at one instance; if it is empty, the choice depends on free slots.
	Key string
	// Exclude lists instances to exclude, as this request was offered to them before.
	Exclude []chestnutcleat.InstanceID
	// Domain is the failure domain of the VM that sends the request; its instances are preferred for requests without a key.
	Domain chestnutcleat.FailureDomain
}

// Assignment is a request that is assigned to an instance and counts as load there until End is called.
type Assignment struct {
	chestnutcleat.Instance
	// Uncertain is set if the instance may have been started again, at another software version, since its registration.
	Uncertain bool
	table     *Table
	ended     bool
}

// Table holds the known instances, their load and their health.
type Table struct {
	// start is when the table was created.
	start time.Time

	mu       sync.Mutex
	services map[chestnutcleat.ServiceName][]*instanceState
	// byID has the listed instances and those that still run requests of this VM.
	byID     map[chestnutcleat.InstanceID]*instanceState
	outcomes outcomeHistory
	// departures holds the instances that said that they leave, also those that are no longer listed.
	departures map[process]*departure
	versions   versionHistory
}

type instanceState struct {
	chestnutcleat.Instance
	// listed is set unless the instance has vanished from the list.
	listed bool
	// ownLoad is the number of requests that this VM has at the instance, remoteLoad that of all other VMs.
	ownLoad, remoteLoad int
	connectionFailures  int
	backoffUntil        time.Time
	hash                uint64
	// ejectedUntil is the end of the last ejection, and ejectionCount the number of ejections in close succession.
	ejectedUntil  time.Time
	ejectionCount int
	// departed is set once the instance itself said that it leaves, whatever its registration says.
	departed bool
	reach    reachability
}

// leaves reports whether the instance is known to leave, by its registration or its own word.
func (s *instanceState) leaves() bool { return s.Leaving || s.departed }

// sameStart reports whether two registrations under one id are of the same start of an instance.
func sameStart(a, b *chestnutcleat.Instance) bool {
	return a.StartedAt == b.StartedAt && a.Address == b.Address
}

// NewTable returns a table without instances.
func NewTable() *Table {
	return &Table{
		start: time.Now(), services: map[chestnutcleat.ServiceName][]*instanceState{}, byID: map[chestnutcleat.InstanceID]*instanceState{},
		outcomes: outcomeHistory{start: time.Now()}, departures: map[process]*departure{},
	}
}

// SetInstances replaces the list of instances. The state of instances that remain, or that still run requests, is kept: one whose
// entry lapsed may return. It returns those that are known to leave only since this list.
func (t *Table) SetInstances(list []chestnutcleat.Instance) []chestnutcleat.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.note(t.byID, time.Now())
	services := map[chestnutcleat.ServiceName][]*instanceState{}
	byID := make(map[chestnutcleat.InstanceID]*instanceState, len(list))
	var leaving []chestnutcleat.InstanceID
	for _, i := range list {
		s := t.byID[i.ID]
		if s == nil || !sameStart(&s.Instance, &i) {
			s = &instanceState{hash: xxhash.Sum64String(string(i.ID))}
		}
		if i.Leaving && !s.Leaving {
			leaving = append(leaving, i.ID)
		}
		s.Instance, s.listed = i, true
		byID[i.ID] = s
		services[i.Service] = append(services[i.Service], s)
	}
	for id, s := range t.byID {
		if byID[id] == nil && s.ownLoad > 0 {
			s.listed = false
			byID[id] = s
		}
	}
	t.services, t.byID = services, byID
	t.refreshDepartures(time.Now())
	return t.notYetDeparted(leaving)
}

// SetRemoteLoad sets the load that other VMs report at each instance.
func (t *Table) SetRemoteLoad(load func(chestnutcleat.InstanceID) int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.byID {
		s.remoteLoad = load(id)
	}
}

// OwnLoad returns the number of this VM's requests at each instance that has any.
func (t *Table) OwnLoad() map[chestnutcleat.InstanceID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := make(map[chestnutcleat.InstanceID]int, len(t.byID))
	for id, s := range t.byID {
		if s.ownLoad > 0 {
			load[id] = s.ownLoad
		}
	}
	return load
}

// Pick assigns a request to an instance, or returns nil if no instance is eligible.
func (t *Table) Pick(r Request) *Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(r)
	if len(list) == 0 {
		return nil
	}
	var s *instanceState
	if r.Key != "" {
		s = pickByKey(list, r.Key)
	} else {
		s = pickByFreeSlots(list, r.Domain)
	}
	s.ownLoad++
	return &Assignment{Instance: s.Instance, Uncertain: t.uncertain(s, time.Now()), table: t}
}

// CanPick reports whether Pick would find an instance.
func (t *Table) CanPick(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.candidates(r)) > 0
}

// candidates returns the eligible instances. Those in backoff, ejected or on probation are returned only if there are no others.
func (t *Table) candidates(r Request) []*instanceState {
	now := time.Now()
	probationRequest := isProbationRequest(requestHash(r.Key))
	var available, unavailable []*instanceState
	for _, s := range t.services[r.Service] {
		switch {
		case s.leaves():
		case slices.Contains(r.Exclude, s.ID), r.Version != nil && s.Version != *r.Version:
		case (r.Version != nil || r.Certain) && t.uncertain(s, now):
		case now.Before(s.backoffUntil), now.Before(s.ejectedUntil), s.onProbation(now) && !probationRequest:
			unavailable = append(unavailable, s)
		default:
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return unavailable
	}
	return available
}

// requestHash returns the hash of a key, or a random number for requests without a key.
func requestHash(key string) uint64 {
	if key == "" {
		return rand.Uint64()
	}
	return xxhash.Sum64String(key)
}

func (s *instanceState) load() int { return s.ownLoad + s.remoteLoad }

// pickByKey returns the instance with the highest rendezvous score for the key among those whose load is within the bound.
func pickByKey(list []*instanceState, key string) *instanceState {
	total := 0
	for _, s := range list {
		total += s.load()
	}
	bound := maxLoadFactor*float64(total+1)/float64(len(list)) + loadSlack
	h := xxhash.Sum64String(key)
	var best *instanceState
	var bestScore uint64
	for _, s := range list {
		if float64(s.load()) > bound || s.load() >= s.Slots {
			continue
		}
		if score := mix(h ^ s.hash); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return pickByFreeSlots(list, "")
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// pickByFreeSlots draws an instance at random, weighted by free slots. If each VM picked the least loaded one, all would send
// their requests to it until they learn of each other's.
func pickByFreeSlots(list []*instanceState, domain chestnutcleat.FailureDomain) *instanceState {
	var best *instanceState
	earliest := math.Inf(1)
	for _, s := range list {
		// The minimum of exponential variables falls on each instance with a probability proportional to its rate.
		if t := rand.ExpFloat64() / s.weight(domain); t < earliest || best == nil {
			best, earliest = s, t
		}
	}
	return best
}

// weight returns the number of free slots, scaled up in the given failure domain, or a tiny value if there are none.
func (s *instanceState) weight(domain chestnutcleat.FailureDomain) float64 {
	free := s.Slots - s.load()
	if free <= 0 {
		return fullInstanceWeight * float64(s.Slots) / float64(s.load())
	}
	if s.Domain == domain {
		return sameDomainWeight * float64(free)
	}
	return float64(free)
}

// Outcome is the outcome of a request as far as it concerns its instance.
type Outcome int

// Outcomes of a request.
const (
	// Success means that the instance answered.
	Success Outcome = iota
	// Neutral means that the request ended for a reason that says nothing about the instance, such as a caller that left.
	Neutral
	// InstanceError means that the instance answered with an error of its own, or with an answer that can't be passed on.
	InstanceError
	// ConnectionError means that the instance could not be reached or the connection broke.
	ConnectionError
)

// End releases the assignment and records the outcome; later calls do nothing.
func (a *Assignment) End(outcome Outcome) {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	s := a.state()
	if s == nil {
		return
	}
	s.ownLoad--
	if !s.listed && s.ownLoad == 0 {
		delete(t.byID, s.ID)
	}
	if outcome != Neutral {
		t.outcomes.record(s.Service, s.ID, outcome != Success)
	}
	switch outcome {
	case Success:
		s.connectionFailures = 0
		s.backoffUntil = time.Time{}
	case ConnectionError:
		s.backoffUntil = time.Now().Add(min(minBackoff<<min(s.connectionFailures, 8), maxBackoff))
		s.connectionFailures++
	}
}
