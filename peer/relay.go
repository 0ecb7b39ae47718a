package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// In a fleet of several groups a VM sends its summary to the relays of its group, which forward all summaries in one datagram.

// directIntervals is the number of intervals for which a summary sent to a non-relay shows that its sender doesn't hear the relays.
const directIntervals = 3

// Forwarded is the last summary of a VM of the relay's group. Its Member has only the id of the VM.
type Forwarded struct {
	Summary
	// Age is the time since the VM was heard, in milliseconds.
	Age uint32 `json:"age"`
}

// directlySilent reports whether a relay or fallback no longer sends to this VM. It notices this earlier than Silent, for which
// forwarded summaries count too.
func (p *Peer) directlySilent() bool {
	return p.groupRole != roleMember && time.Since(p.lastDirect) > silenceIntervals*summaryInterval
}

// sendPlan lists the recipients of this VM's summary in one interval and what they get with it.
type sendPlan struct {
	// isRelay is set if this VM is a relay.
	isRelay bool
	// to are the recipients of the forwarded summaries.
	to        []chestnutcleat.Address
	forwarded []Forwarded
	// withoutRelay are VMs that don't hear the relays, as they send to this VM; they get the whole group and a view of the others.
	withoutRelay []chestnutcleat.Address
	group        []Forwarded
	view         *Digest
}

// planSend plans the next send. The relays of a group take turns, unless a change is urgent.
func (f *Fleet) planSend(urgent bool) sendPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.groups.members) == 1:
		return sendPlan{to: addresses(f.peers.local)}
	case !f.isRelay():
		return f.planMemberSend()
	case !urgent && time.Since(f.lastForward) < relaysPerGroup*summaryInterval-summaryInterval/2:
		return sendPlan{isRelay: true}
	}
	f.lastForward = time.Now()
	return sendPlan{isRelay: true, to: addresses(f.peers.local), forwarded: forwardedSummaries(f.peers.local)}
}

// planMemberSend plans the next send of a VM that is not a relay: its summary goes to the relays, and to VMs that the platform does
// not list yet. The caller holds f.mu.
func (f *Fleet) planMemberSend() sendPlan {
	own := f.relaysOf(f.groups.own)
	var to, withoutRelay []*Peer
	for _, p := range f.peers.local {
		switch {
		case !f.groups.isListed(p.VM) || slices.Contains(own, p.VM):
			to = append(to, p)
		case p.groupRole != roleFallback && time.Since(p.lastDirect) <= directIntervals*summaryInterval:
			withoutRelay = append(withoutRelay, p)
		}
	}
	plan := sendPlan{to: addresses(to)}
	if len(withoutRelay) > 0 {
		plan.forwarded, plan.withoutRelay, plan.group = forwardedSummaries(withoutRelay), addresses(withoutRelay), forwardedSummaries(f.peers.local)
		if v := f.bestView(); v != nil {
			plan.view = &v.Digest
		}
	}
	return plan
}

func addresses(list []*Peer) []chestnutcleat.Address {
	to := make([]chestnutcleat.Address, 0, len(list))
	for _, p := range list {
		to = append(to, p.Address)
	}
	return to
}

// forwardedSummaries returns the summaries of those VMs that are not silent. A VM that has just come from another group is known by the
// digests of that group only and has no summary yet.
func forwardedSummaries(peers []*Peer) []Forwarded {
	now := time.Now()
	list := make([]Forwarded, 0, len(peers))
	for _, p := range peers {
		if !p.silentAt(now) && p.Incarnation != 0 {
			v := Forwarded{Summary: p.Summary, Age: uint32(now.Sub(p.LastHeard).Milliseconds())}
			v.Member = Member{VM: p.VM}
			v.addAge(v.Age)
			list = append(list, v)
		}
	}
	return list
}

// applyForwarded stores a forwarded summary of a VM of this group.
func (f *Fleet) applyForwarded(forwarded *Forwarded) summaryUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers.byID[forwarded.VM]
	if p == nil || f.groups.isRemote(forwarded.VM) || !p.summaries.accept(forwarded.Incarnation, forwarded.Sequence) {
		return summaryUpdate{stale: true}
	}
	at := time.Now().Add(-time.Duration(forwarded.Age) * time.Millisecond)
	// flagsChanged and isRelay stay unset, as the relays of a group all get the original and need not announce it to each other.
	update := summaryUpdate{wasSilent: p.Silent() && time.Since(at) <= p.silenceTimeout}
	forwarded.Member = p.Member
	p.Summary = forwarded.Summary
	if at.After(p.LastHeard) {
		p.LastHeard = at
	}
	return update
}

// isRelay reports whether this VM is a relay of its group. The caller holds f.mu.
func (f *Fleet) isRelay() bool {
	return len(f.groups.members) > 1 && slices.Contains(f.relaysOf(f.groups.own), f.Self.VM)
}

// relaysOf returns the first VMs of a group that are heard and stay, or else the first ones that are heard, or a random one if none is. A VM
// that leaves hands over before it is gone. The caller holds f.mu.
func (f *Fleet) relaysOf(g Group) []chestnutcleat.VMID {
	var list, leaving []chestnutcleat.VMID
	members := f.groups.members[g]
	for _, id := range members {
		switch {
		case !f.canRelay(id, g):
			continue
		case f.isLeaving(id):
			leaving = append(leaving, id)
		default:
			list = append(list, id)
		}
		if len(list) == relaysPerGroup {
			return list
		}
	}
	list = append(list, leaving[:min(len(leaving), relaysPerGroup-len(list))]...)
	if len(list) == 0 && len(members) > 0 {
		list = append(list, members[rand.IntN(len(members))])
	}
	return list
}

// canRelay reports whether a VM of a group is heard. The caller holds f.mu.
func (f *Fleet) canRelay(id chestnutcleat.VMID, g Group) bool {
	if id == f.Self.VM {
		return true
	}
	p := f.peers.byID[id]
	return p != nil && !p.Silent() && (g != f.groups.own || !p.directlySilent())
}

// isLeaving reports whether a VM shuts down. The caller holds f.mu.
func (f *Fleet) isLeaving(id chestnutcleat.VMID) bool {
	if id == f.Self.VM {
		return f.leaving
	}
	p := f.peers.byID[id]
	return p != nil && p.Leaving
}
