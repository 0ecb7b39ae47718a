package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// In a fleet of several groups a VM sends its summary to the relays of its group, which pass the summaries of all on in one datagram.

// askingIntervals is how long a summary from a VM that is no relay means that it does not hear those that are.
const askingIntervals = 3

// Forwarded is the last summary of a VM of the relay's group; of the member it has the VM's id only.
type Forwarded struct {
	Summary
	// Age is the time since it was heard, in milliseconds.
	Age uint32 `json:"age"`
}

// stopped reports whether a VM that told this one of others is no longer heard itself; what they tell of it ends later.
func (p *Peer) stopped() bool {
	return p.part != asMember && time.Since(p.direct) > silentIntervals*interval
}

// round is who gets what of a VM in one interval, beside its own summary.
type round struct {
	// relays is set if this VM is a relay.
	relays bool
	// to get the summaries that are forwarded.
	to        []chestnutcleat.Address
	forwarded []Forwarded
	// asking are VMs that don't hear the relays, as they send to this VM: they get the whole group and the sums.
	asking []chestnutcleat.Address
	group  []Forwarded
	view   *Digest
}

// newRound decides who gets what now. The relays of a group take turns, unless a change is urgent.
func (f *Fleet) newRound(urgent bool) round {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.groups.members) == 1:
		return round{to: addresses(f.roster.near)}
	case !f.isRelay():
		return f.memberRound()
	case !urgent && time.Since(f.toldGroup) < relays*interval-interval/2:
		return round{relays: true}
	}
	f.toldGroup = time.Now()
	return round{relays: true, to: addresses(f.roster.near), forwarded: forward(f.roster.near)}
}

// memberRound is that of a VM which is no relay: its relays, and VMs that the platform does not list yet, get its summary. It needs
// the lock.
func (f *Fleet) memberRound() round {
	own := f.relaysOf(f.groups.own)
	var to, asking []*Peer
	for _, p := range f.roster.near {
		switch {
		case !f.groups.has(p.VM) || slices.Contains(own, p.VM):
			to = append(to, p)
		case p.part != asHelper && time.Since(p.direct) <= askingIntervals*interval:
			asking = append(asking, p)
		}
	}
	r := round{to: addresses(to)}
	if len(asking) > 0 {
		r.forwarded, r.asking, r.group = forward(asking), addresses(asking), forward(f.roster.near)
		if v := f.view(); v != nil {
			r.view = &v.Digest
		}
	}
	return r
}

func addresses(list []*Peer) []chestnutcleat.Address {
	to := make([]chestnutcleat.Address, 0, len(list))
	for _, p := range list {
		to = append(to, p.Address)
	}
	return to
}

// forward returns the summaries of VMs that are heard.
func forward(peers []*Peer) []Forwarded {
	now := time.Now()
	list := make([]Forwarded, 0, len(peers))
	for _, p := range peers {
		if !p.silentAt(now) {
			v := Forwarded{Summary: p.Summary, Age: uint32(now.Sub(p.Heard).Milliseconds())}
			v.Member = Member{VM: p.VM}
			list = append(list, v)
		}
	}
	return list
}

// noteForwarded takes over a summary that a relay passes on, if it is of this group.
func (f *Fleet) noteForwarded(v *Forwarded) noted {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.roster.peers[v.VM]
	if p == nil || f.groups.isFar(v.VM) || !p.summaries.accept(v.Incarnation, v.Sequence) {
		return noted{old: true}
	}
	at := time.Now().Add(-time.Duration(v.Age) * time.Millisecond)
	// Relays of one group don't tell each other again what both were told.
	n := noted{silent: p.Silent() && time.Since(at) <= p.patience}
	v.Member = p.Member
	p.Summary = v.Summary
	if at.After(p.Heard) {
		p.Heard = at
	}
	return n
}

// isRelay reports whether this VM is one of the first of its group that are heard. It needs the lock.
func (f *Fleet) isRelay() bool {
	return len(f.groups.members) > 1 && slices.Contains(f.relaysOf(f.groups.own), f.Self.VM)
}

// relaysOf returns the first VMs of a group that are heard, and a random one if none is. It needs the lock.
func (f *Fleet) relaysOf(g Group) []chestnutcleat.VMID {
	var list []chestnutcleat.VMID
	members := f.groups.members[g]
	for _, id := range members {
		p := f.roster.peers[id]
		if id != f.Self.VM && (p == nil || p.Silent() || g == f.groups.own && p.stopped()) {
			continue
		}
		if list = append(list, id); len(list) == relays {
			return list
		}
	}
	if len(list) == 0 && len(members) > 0 {
		list = append(list, members[rand.IntN(len(members))])
	}
	return list
}
