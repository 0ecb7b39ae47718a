package peer

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
)

const (
	// viewTime is the age up to which a digest counts.
	viewTime = 2 * time.Second
	// farPerSecond bounds the digests that a relay sends to other groups.
	farPerSecond = 60
	// ageBits is the place of a VM's age in its packed state, and maxAge the largest age that fits, in milliseconds.
	ageBits = 8
	maxAge  = 1 << 16
	// nameBits is the place of its short name.
	nameBits = 32
)

// vmState packs a VM's short name, the milliseconds since it was heard and, in the lowest bits, its flags.
type vmState uint64

func packState(short uint32, age time.Duration, flags uint8) vmState {
	return vmState(short)<<nameBits | vmState(min(max(0, age.Milliseconds()), maxAge-1))<<ageBits | vmState(flags)
}

func (s vmState) short() uint32 { return uint32(s >> nameBits) }

func (s vmState) age() time.Duration { return time.Duration(uint32(s)>>ageBits) * time.Millisecond }

func (s vmState) flags() uint8 { return uint8(s) }

// Digest adds up what a relay knows of its group, for other groups, or of all other groups, for its own.
type Digest struct {
	From        chestnutcleat.VMID `json:"from"`
	Incarnation Incarnation        `json:"incarnation"`
	Sequence    uint64             `json:"sequence"`
	// Group is the one that is added up; empty for all other groups.
	Group Group `json:"group,omitempty"`
	// States has the VMs that are heard.
	States []vmState `json:"heard"`
	// Load is the number of requests at each instance, by short name.
	Load map[uint32]int `json:"load,omitempty"`
	// Tally counts what requests met at the instances, Near what those of the failure domain of the digest's receivers met.
	Tally place.OutcomeCounts `json:"tally,omitzero"`
	Near  place.OutcomeCounts `json:"near,omitzero"`
	// Breaks are the requests while whose run instances broke off, by fingerprint, and how often.
	Breaks map[uint64]int `json:"breaks,omitempty"`
	// Versions are those of the relay's copies of the platform's objects.
	Versions map[chestnutcleat.ObjectKind]chestnutcleat.Version `json:"versions,omitempty"`
}

// received is a digest and when it came.
type received struct {
	Digest
	at time.Time
}

func (r *received) isFresh() bool { return time.Since(r.at) < viewTime }

// newDigest returns a digest without content. It needs the lock.
func (f *Fleet) newDigest(g Group, versions map[chestnutcleat.ObjectKind]chestnutcleat.Version) *Digest {
	f.sequence++
	return &Digest{
		From: f.Self.VM, Incarnation: f.incarnation, Sequence: f.sequence, Group: g, Versions: versions,
		Load: map[uint32]int{}, Breaks: map[uint64]int{},
	}
}

// addSummary adds a VM's own word.
func (d *Digest) addSummary(s *Summary, age time.Duration) {
	d.States = append(d.States, packState(shortName(string(s.VM)), age, s.flags()))
	addLoad(d.Load, s.Load)
	addCounts(d.Breaks, s.Breaks)
	d.Tally.Add(s.Tally)
}

// addDigest adds another group.
func (d *Digest) addDigest(o *Digest, near bool) {
	addCounts(d.Load, o.Load)
	addCounts(d.Breaks, o.Breaks)
	d.Tally.Add(o.Tally)
	if near {
		d.Near.Add(o.Tally)
	}
}

func addCounts[K comparable](into, from map[K]int) {
	for k, n := range from {
		into[k] += n
	}
}

// addLoad adds a VM's requests at each instance, which sums have by short name.
func addLoad(into map[uint32]int, from map[chestnutcleat.InstanceID]int) {
	for id, n := range from {
		into[shortName(string(id))] += n
	}
}

// tellOthers sends the digest of this VM's group to the relays of the other groups, as often as their number allows, and at once if
// that is urgent.
func (f *Fleet) tellOthers(own *Summary, urgent bool) {
	if to := f.farRelays(urgent); len(to) > 0 {
		f.write(message{Digest: f.digestGroup(own)}, to...)
	}
}

// farRelays returns the relays of the other groups that have this VM's rank, and none if it is too soon to tell them or another
// VM has taken this one's place meanwhile.
func (f *Fleet) farRelays(urgent bool) []chestnutcleat.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := slices.Index(f.relaysOf(f.groups.own), f.Self.VM)
	pace := time.Duration(len(f.groups.members)) * time.Second / farPerSecond
	if rank < 0 || !urgent && time.Since(f.toldOthers) < pace-interval/2 {
		return nil
	}
	f.toldOthers = time.Now()
	var to []chestnutcleat.Address
	for g := range f.groups.members {
		if g != f.groups.own {
			list := f.relaysOf(g)
			to = f.addAddress(to, list[min(rank, len(list)-1)])
		}
	}
	return to
}

// addAddress adds where a VM gets datagrams. It needs the lock.
func (f *Fleet) addAddress(list []chestnutcleat.Address, id chestnutcleat.VMID) []chestnutcleat.Address {
	if p := f.roster.peers[id]; p != nil {
		return append(list, p.Address)
	}
	return list
}

// digestGroup adds up this VM's group.
func (f *Fleet) digestGroup(own *Summary) *Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.newDigest(f.groups.own, own.Versions)
	d.addSummary(own, 0)
	for _, id := range f.groups.members[f.groups.own] {
		if p := f.roster.peers[id]; p != nil && !p.Silent() {
			d.addSummary(&p.Summary, time.Since(p.Heard))
		}
	}
	return d
}

// digestOthers adds up all other groups; this VM's own view is the same.
func (f *Fleet) digestOthers(versions map[chestnutcleat.ObjectKind]chestnutcleat.Version) *Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.newDigest("", versions)
	now := time.Now()
	for short, p := range f.roster.far {
		if !p.silentAt(now) {
			d.States = append(d.States, packState(short, now.Sub(p.Heard), p.flags()))
		}
	}
	for g, r := range f.told {
		if r.isFresh() && g != f.groups.own {
			d.addDigest(&r.Digest, f.groups.domains[g] == f.Self.Domain)
		}
	}
	f.views[f.Self.VM] = &received{Digest: *d, at: time.Now()}
	return d
}

// receiveDigest takes over what a relay tells.
func (f *Fleet) receiveDigest(d *Digest) {
	n := f.noteDigest(d)
	if n.old {
		return
	}
	for _, id := range n.heard {
		if f.Heard != nil {
			f.Heard(id)
		}
	}
	if f.Digested != nil {
		f.Digested(*d)
	}
	f.write(message{Digest: d}, n.pass...)
	if n.changed && n.relays {
		f.Soon()
	}
}

// notedDigest tells what a digest changed.
type notedDigest struct {
	noted
	// heard are the VMs that had not been heard before, pass the relays that should have got the digest.
	heard []chestnutcleat.VMID
	pass  []chestnutcleat.Address
}

// noteDigest takes over a digest.
func (f *Fleet) noteDigest(d *Digest) notedDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.roster.peers[d.From]
	if p == nil || d.From == f.Self.VM || !p.digests.accept(d.Incarnation, d.Sequence) {
		return notedDigest{noted: noted{old: true}}
	}
	n := notedDigest{noted: noted{relays: f.isRelay()}}
	r := &received{Digest: *d, at: time.Now()}
	if d.Group == "" {
		f.views[d.From] = r
	} else if d.Group != f.groups.own {
		f.told[d.Group] = r
		n.pass = f.relaysInstead()
	}
	n.heard, n.changed = f.takeStates(d)
	return n
}

// relaysInstead returns the relays that should have got a digest of another group, if this VM is none: who sent it does not
// hear them yet. It needs the lock.
func (f *Fleet) relaysInstead() []chestnutcleat.Address {
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

// takeStates takes over the states of VMs of other groups, as far as they are newer than what is known, and returns those that
// were silent and whether a flag changed. It needs the lock.
func (f *Fleet) takeStates(d *Digest) (heard []chestnutcleat.VMID, changed bool) {
	now := time.Now()
	for _, s := range d.States {
		p := f.roster.far[s.short()]
		if p == nil {
			continue
		}
		at := now.Add(-s.age())
		if !at.After(p.Heard) {
			continue
		}
		if p.Silent() && now.Sub(at) <= p.patience {
			heard = append(heard, p.VM)
			changed = true
		}
		p.Heard = at
		if flags := s.flags(); flags != p.flags() {
			p.setFlags(flags)
			changed = true
		}
	}
	return heard, changed
}
