package peer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// digestLifetime is the age up to which a digest is used.
	digestLifetime = 2 * time.Second
	// maxRemoteDigestsPerSecond bounds the rate at which a relay sends digests to other groups.
	maxRemoteDigestsPerSecond = 60
	// maxDepartures bounds the leaving instances in a digest.
	maxDepartures = 128
	// maxCount bounds the counts that other VMs report, so that sums over all VMs can't overflow.
	maxCount = 1 << 20
	// ageShift is the position of the age in a vmState, and ageLimit the exclusive bound of ages, in milliseconds.
	ageShift = 8
	ageLimit = 1 << 16
	// idHashShift is the position of the hash of the VM's id in a vmState.
	idHashShift = 32
)

// vmState packs the hash of a VM's id, the milliseconds since it was heard and, in the lowest bits, its flags.
type vmState uint64

func packState(idHash uint32, age time.Duration, flags uint8) vmState {
	return vmState(idHash)<<idHashShift | vmState(min(max(0, age.Milliseconds()), ageLimit-1))<<ageShift | vmState(flags)
}

func (s vmState) idHash() uint32 { return uint32(s >> idHashShift) }

func (s vmState) age() time.Duration { return time.Duration(uint32(s)>>ageShift) * time.Millisecond }

func (s vmState) flags() uint8 { return uint8(s) }

// Digest aggregates the state of the relay's group, for other groups, or of all other groups, for the relay's own group.
type Digest struct {
	From        chestnutcleat.VMID `json:"from"`
	Incarnation Incarnation        `json:"incarnation"`
	Sequence    uint64             `json:"sequence"`
	// Group is the aggregated group; empty for all groups but the relay's.
	Group Group `json:"group,omitempty"`
	// States has the states of the VMs that are heard.
	States []vmState `json:"heard"`
	// Load is the number of requests at each instance, by the hash of its id.
	Load map[uint32]int `json:"load,omitempty"`
	// Outcomes has the outcomes of all requests, DomainOutcomes those of VMs in the failure domain of the digest's receivers.
	Outcomes       place.OutcomeCounts `json:"tally,omitzero"`
	DomainOutcomes place.OutcomeCounts `json:"near,omitzero"`
	// CrashCounts counts, by the fingerprint of a request, how often an instance's connection broke while it ran the request.
	CrashCounts map[uint64]int `json:"breaks,omitempty"`
	// Blocks is the hash of the blocked requests that the relay knows.
	Blocks uint64 `json:"blocks,omitempty"`
	// Activities describes the programs of customers near their limits.
	Activities rate.Activities `json:"programs,omitempty"`
	// Departures are the instances that told one of the VMs that they leave.
	Departures []place.ProcessHash `json:"left,omitempty"`
	// Versions are the versions of the platform's objects that the relay has.
	Versions map[chestnutcleat.ObjectKind]chestnutcleat.Version `json:"versions,omitempty"`
	// Confirmed has the times, in milliseconds, since the platform had nothing newer than these versions.
	Confirmed map[chestnutcleat.ObjectKind]uint32 `json:"confirmed,omitempty"`

	// departed collects the instances from which sampleDepartures selects Departures.
	departed map[place.ProcessHash]bool
}

// receivedDigest is a digest and the time of its arrival.
type receivedDigest struct {
	Digest
	arrived time.Time
}

func (r *receivedDigest) isFresh() bool { return time.Since(r.arrived) < digestLifetime }

// newDigest returns an empty digest. The caller holds f.mu.
func (f *Fleet) newDigest(g Group, own *Summary) *Digest {
	f.sequence++
	return &Digest{
		From: f.Self.VM, Incarnation: f.incarnation, Sequence: f.sequence, Group: g, Versions: own.Versions, Confirmed: own.Confirmed, Blocks: own.Blocks,
		Load: map[uint32]int{}, CrashCounts: map[uint64]int{}, Activities: rate.Activities{},
		departed: map[place.ProcessHash]bool{},
	}
}

// withoutCounts returns the digest without the fields that grow with the numbers of instances, broken requests and programs.
func (d *Digest) withoutCounts() *Digest {
	out := *d
	out.Load, out.CrashCounts, out.Activities = nil, nil, nil
	out.Outcomes, out.DomainOutcomes = place.OutcomeCounts{}, place.OutcomeCounts{}
	return &out
}

// addSummary adds a VM's own summary.
func (d *Digest) addSummary(s *Summary, age time.Duration) {
	d.States = append(d.States, packState(hashID(string(s.VM)), age, s.flags()))
	addLoad(d.Load, s.Load)
	addCounts(d.CrashCounts, s.CrashCounts)
	d.Outcomes.Add(s.Outcomes)
	d.Activities.Add(s.Activities)
	addDepartures(d.departed, s.boundedDepartures())
}

// addDigest adds the digest of another group.
func (d *Digest) addDigest(o *Digest, sameDomain bool) {
	addCounts(d.Load, o.Load)
	addCounts(d.CrashCounts, o.CrashCounts)
	d.Outcomes.Add(o.Outcomes)
	d.Activities.Add(o.Activities)
	addDepartures(d.departed, o.Departures)
	if sameDomain {
		d.DomainOutcomes.Add(o.Outcomes)
	}
}

// addDepartures adds instances that leave, at most maxDepartures of a list.
func addDepartures(into map[place.ProcessHash]bool, list []place.ProcessHash) {
	for _, p := range list[:min(len(list), maxDepartures)] {
		into[p] = true
	}
}

// sampleDepartures selects the departures that the digest reports. If there are too many they are drawn anew for each digest, so that
// repeated digests have all, whoever reports them.
func (d *Digest) sampleDepartures() {
	d.Departures = slices.Sorted(maps.Keys(d.departed))
	if len(d.Departures) > maxDepartures {
		rand.Shuffle(len(d.Departures), func(i, j int) { d.Departures[i], d.Departures[j] = d.Departures[j], d.Departures[i] })
		d.Departures = d.Departures[:maxDepartures]
	}
}

// plausibleCount returns a reported count within its bounds.
func plausibleCount(n int) int { return min(max(0, n), maxCount) }

func addCounts[K comparable](into, from map[K]int) {
	for k, n := range from {
		into[k] += plausibleCount(n)
	}
}

// addLoad adds a VM's requests at each instance to sums by hash of id.
func addLoad(into map[uint32]int, from map[chestnutcleat.InstanceID]int) {
	for id, n := range from {
		into[hashID(string(id))] += plausibleCount(n)
	}
}

// sendToOtherGroups sends the digest of this VM's group to relays of the other groups: at once if it is urgent, and otherwise within
// maxRemoteDigestsPerSecond.
func (f *Fleet) sendToOtherGroups(own *Summary, urgent bool) {
	if to := f.remoteRelays(urgent); len(to) > 0 {
		f.sendOrTrim(message{Digest: f.digestGroup(own)}, to)
	}
}

// remoteRelays returns the relay of each other group that has this VM's rank. It returns none if the last digests were sent too
// recently, or if this VM is no longer a relay.
func (f *Fleet) remoteRelays(urgent bool) []chestnutcleat.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := slices.Index(f.relaysOf(f.groups.own), f.Self.VM)
	spacing := time.Duration(len(f.groups.members)) * time.Second / maxRemoteDigestsPerSecond
	if rank < 0 || !urgent && time.Since(f.lastRemoteDigest) < spacing-summaryInterval/2 {
		return nil
	}
	f.lastRemoteDigest = time.Now()
	var to []chestnutcleat.Address
	for g := range f.groups.members {
		if g != f.groups.own {
			list := f.relaysOf(g)
			to = f.addAddress(to, list[min(rank, len(list)-1)])
		}
	}
	return to
}

// addAddress appends a VM's address if it is known. The caller holds f.mu.
func (f *Fleet) addAddress(list []chestnutcleat.Address, id chestnutcleat.VMID) []chestnutcleat.Address {
	if p := f.peers.byID[id]; p != nil {
		return append(list, p.Address)
	}
	return list
}

// digestGroup aggregates this VM's group.
func (f *Fleet) digestGroup(own *Summary) *Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.newDigest(f.groups.own, own)
	d.addSummary(own, 0)
	for _, id := range f.groups.members[f.groups.own] {
		if p := f.peers.byID[id]; p != nil && !p.Silent() {
			d.addSummary(&p.Summary, time.Since(p.LastHeard))
		}
	}
	d.sampleDepartures()
	return d
}

// digestOtherGroups aggregates all other groups, and keeps the result as this VM's own view.
func (f *Fleet) digestOtherGroups(own *Summary) *Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.newDigest("", own)
	now := time.Now()
	for idHash, p := range f.peers.remote {
		if !p.silentAt(now) {
			d.States = append(d.States, packState(idHash, now.Sub(p.LastHeard), p.flags()))
		}
	}
	for g, r := range f.groupDigests {
		if r.isFresh() && g != f.groups.own {
			d.addDigest(&r.Digest, f.groups.domains[g] == f.Self.Domain)
		}
	}
	d.sampleDepartures()
	f.relayViews[f.Self.VM] = &receivedDigest{Digest: *d, arrived: time.Now()}
	return d
}

// receiveDigest handles a digest from a relay.
func (f *Fleet) receiveDigest(d *Digest) {
	update := f.applyDigest(d)
	if update.stale {
		return
	}
	for _, id := range update.newlyHeard {
		if f.OnHeard != nil {
			f.OnHeard(id)
		}
	}
	if f.OnDigest != nil {
		f.OnDigest(*d)
	}
	f.sendDatagram(message{Digest: d}, update.passTo...)
	if update.flagsChanged && update.isRelay {
		f.SendSoon()
	}
}

// digestUpdate describes what a digest changed.
type digestUpdate struct {
	summaryUpdate
	// newlyHeard are the VMs that were silent before, and passTo the relays that should have received the digest.
	newlyHeard []chestnutcleat.VMID
	passTo     []chestnutcleat.Address
}

// applyDigest stores a digest and applies the states in it.
func (f *Fleet) applyDigest(d *Digest) digestUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers.byID[d.From]
	if p == nil || d.From == f.Self.VM || !p.digests.accept(d.Incarnation, d.Sequence) {
		return digestUpdate{summaryUpdate: summaryUpdate{stale: true}}
	}
	update := digestUpdate{summaryUpdate: summaryUpdate{isRelay: f.isRelay()}}
	r := &receivedDigest{Digest: *d, arrived: time.Now()}
	if d.Group == "" {
		f.relayViews[d.From] = r
	} else if d.Group != f.groups.own {
		f.groupDigests[d.Group] = r
		update.passTo = f.relaysToInform()
	}
	update.newlyHeard, update.flagsChanged = f.applyStates(d)
	return update
}

// relaysToInform returns the relays of this VM's group if it is not one itself: the sender of a digest may not hear them yet. The
// caller holds f.mu.
func (f *Fleet) relaysToInform() []chestnutcleat.Address {
	if f.isRelay() {
		return nil
	}
	var list []chestnutcleat.Address
	for _, id := range f.relaysOf(f.groups.own) {
		if id != f.Self.VM {
			list = f.addAddress(list, id)
		}
	}
	return list
}

// applyStates applies the states of VMs of other groups that are newer than the known ones. It returns the VMs that were silent
// before, and whether a flag changed. The caller holds f.mu.
func (f *Fleet) applyStates(d *Digest) (heard []chestnutcleat.VMID, changed bool) {
	now := time.Now()
	for _, s := range d.States {
		p := f.peers.remote[s.idHash()]
		if p == nil {
			continue
		}
		at := now.Add(-s.age())
		if !at.After(p.LastHeard) {
			continue
		}
		if p.Silent() && now.Sub(at) <= p.silenceTimeout {
			heard = append(heard, p.VM)
			changed = true
		}
		p.LastHeard = at
		if flags := s.flags(); flags != p.flags() {
			p.setFlags(flags)
			changed = true
		}
	}
	return heard, changed
}
