package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// selfTakeoverDelay is how long a VM that restarted or lost its lease leaves the takeover of its slots to others.
const selfTakeoverDelay = 4 * time.Second

// scanForTakeovers starts the takeovers for which this VM is the coordinator.
func (k *Keeper) scanForTakeovers() {
	if k.fleet == nil || k.onLeft != nil {
		return
	}
	now := time.Now()
	if k.own == nil {
		k.takeOverSelf(now)
		return
	}
	// A VM without a valid lease of its own must not fence others, unless it may have lost the lease because witnesses died.
	ok := k.valid(now)
	mayFence := ok || len(k.fleet.Members) <= maxWitnesses || now.Sub(k.lastValid) > renewalTimeout
	live := map[chestnutcleat.VMID]bool{}
	for _, v := range k.Members() {
		if m := k.fleet.member(v.ID); m != nil && m.Incarnation == v.ProcessIncarnation() && v.State != chestnutcleat.VMGone {
			live[v.ID] = true
		}
	}
	var candidates []chestnutcleat.VMID
	for id := range live {
		candidates = append(candidates, id)
	}
	for _, m := range k.fleet.Members {
		if m.VM == k.Self.ID {
			continue
		}
		if (mayFence && !live[m.VM] && highestRanked("takeover "+string(m.VM), candidates) == k.Self.ID) || (ok && k.mustTakeOverLapsed(&m, live, now)) {
			k.beginTakeover(m)
		}
	}
}

// takeOverSelf takes over this VM's own slots under a new epoch if no other VM has done so, as all VMs may have lost their
// leases or restarted.
func (k *Keeper) takeOverSelf(now time.Time) {
	m := k.fleet.member(k.Self.ID)
	if m != nil && m.Incarnation < k.Self.Incarnation && now.Sub(k.started) > selfTakeoverDelay+k.jitter(selfTakeoverDelay) {
		k.beginTakeover(*m)
		return
	}
	if m != nil && m.Incarnation == k.Self.Incarnation && !k.lostAt.IsZero() && now.Sub(k.lostAt) > selfTakeoverDelay+k.jitter(selfTakeoverDelay) {
		k.beginTakeover(*m)
	}
}

// mustTakeOverLapsed reports whether this VM must take over a VM that no longer renews its lease: live witnesses of the VM
// start one after the other, 2 s apart.
func (k *Keeper) mustTakeOverLapsed(m *Member, live map[chestnutcleat.VMID]bool, now time.Time) bool {
	rank, found := 0, false
	for _, w := range m.Witnesses {
		if w.VM == k.Self.ID {
			found = true
			break
		}
		if live[w.VM] {
			rank++
		}
	}
	if !found {
		return false
	}
	return now.Sub(k.renewedAt(m)) > renewalTimeout+time.Duration(rank)*2*time.Second
}

// renewedAt returns when this VM's last grant to a member ends, or when this VM learned that it is a witness of it.
func (k *Keeper) renewedAt(m *Member) time.Time {
	last := k.witnessSince[m.VM]
	if g := k.grants[m.VM]; g != nil && g.epoch >= m.Epoch && g.expiresAt.After(last) {
		last = g.expiresAt
	}
	return last
}
