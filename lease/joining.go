package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

func (k *Keeper) selfMember() Member {
	return Member{VM: k.Self.ID, Incarnation: k.Self.Incarnation, Address: k.Self.Address, Caller: k.Self.CallerAddress, Domain: k.Self.Domain}
}

// join adds this VM to the fleet object.
func (k *Keeper) join() {
	if k.joining || k.onLeft != nil {
		return
	}
	k.joining = true
	end := func() { k.joining = false }
	k.read(platformTimeout, func(o chestnutcleat.Object, err error) {
		switch {
		case err != nil:
			end()
		case k.version > 0 && len(k.fleet.Members) == 1 && k.fleet.Members[0].VM == k.Self.ID:
			// This VM restarted and was the only one of the fleet; its records are in its journal object.
			end()
			k.beginTakeover(k.fleet.Members[0])
		case k.version > 0 && len(k.fleet.Members) == 1:
			k.askSoleMember(k.fleet.Members[0], end)
		default:
			k.addSelf(end)
		}
	})
}

func (k *Keeper) addSelf(end func()) {
	var epoch chestnutcleat.Epoch
	u := &update{}
	u.mutate = func(f *Fleet) bool {
		m := f.member(k.Self.ID)
		if k.own != nil || m != nil || len(f.Members) == 1 {
			return false
		}
		epoch = f.add(k.selfMember())
		return true
	}
	u.done = func(ok bool) {
		end()
		if !ok {
			return
		}
		k.startOwnLease(epoch)
		if k.own != nil && len(k.fleet.Members) == 1 {
			// This VM has created the fleet.
			k.importSlots(k.fleet.slots(k.Self.ID), nil, chestnutcleat.Transfer{})
		}
	}
	k.update(u)
}

// add adds a member with a new epoch and witnesses; the first member gets all slots.
func (f *Fleet) add(m Member) chestnutcleat.Epoch {
	m.Epoch = f.nextEpoch(0)
	f.addWitnesses(&m, maxWitnesses, m.Epoch, true)
	f.Members = append(f.Members, m)
	if len(f.Members) == 1 {
		for s := range f.Owners {
			f.Owners[s] = holding{m.VM, m.Epoch}
		}
	}
	return m.Epoch
}

// startOwnLease starts this VM's lease if the fleet object lists it with this epoch.
func (k *Keeper) startOwnLease(e chestnutcleat.Epoch) {
	m := k.fleet.member(k.Self.ID)
	if k.own != nil || m == nil || m.Epoch != e || m.Incarnation != k.Self.Incarnation {
		return
	}
	k.own = newHeldLease(*m, e, newStore(e))
	k.polledAt = time.Now()
	k.emit(event.LeaseJoined, "epoch", e)
	k.tick()
}

// askSoleMember asks the only VM of the fleet to add this one, as that VM must know that it needs a witness from now on.
func (k *Keeper) askSoleMember(m Member, end func()) {
	call(k, m.VM, MethodJoin, JoinRequest{Member: k.selfMember()}, func(a JoinReply, err error) {
		if err == nil {
			k.read(platformTimeout, func(chestnutcleat.Object, error) {
				end()
				if n := k.fleet.member(k.Self.ID); n != nil && n.Incarnation == k.Self.Incarnation {
					k.startOwnLease(n.Epoch)
				}
			})
			return
		}
		end()
		k.readVMList()
		if k.hasEnded(Witness{VM: m.VM, Incarnation: m.Incarnation}) {
			k.beginTakeover(m)
		}
	})
}

// onJoin adds a VM to a fleet whose only member is this VM.
func (k *Keeper) onJoin(r JoinRequest, done func(JoinReply)) {
	if k.own == nil || k.left {
		done(JoinReply{})
		return
	}
	k.update(&update{
		mutate: func(f *Fleet) bool {
			me := f.member(k.Self.ID)
			if me == nil || len(f.Members) != 1 {
				return false
			}
			f.add(r.Member)
			f.addWitnesses(f.member(k.Self.ID), 1, f.nextEpoch(0), false)
			return true
		},
		beforeWrite: k.startWitnessGrowth,
		done: func(ok bool) {
			k.endWitnessGrowth(ok)
			done(JoinReply{Joined: ok})
		},
	})
}

// growWitnesses adds witnesses up to maxWitnesses. Only the VM itself may do so, as it must ask the larger set from then on.
func (k *Keeper) growWitnesses() {
	n := min(maxWitnesses, len(k.fleet.Members)-1)
	if len(k.own.subject.Witnesses) >= n || k.updating || k.onLeft != nil {
		return
	}
	// While VMs join, wait for witnesses in other failure domains.
	distinct := time.Since(k.fleetChangedAt) < stableTime
	if distinct && !k.hasUnusedDomain() {
		return
	}
	k.update(&update{
		mutate: func(f *Fleet) bool {
			me := f.member(k.Self.ID)
			if me == nil || k.own == nil || !k.own.subject.sameEpoch(me) {
				return false
			}
			before := len(me.Witnesses)
			f.addWitnesses(me, maxWitnesses, f.nextEpoch(0), distinct)
			return len(me.Witnesses) > before
		},
		beforeWrite: k.startWitnessGrowth,
		done:        k.endWitnessGrowth,
	})
}

// hasUnusedDomain reports whether some VM is in a failure domain that has no witness of this VM yet.
func (k *Keeper) hasUnusedDomain() bool {
	me := &k.own.subject
	for _, m := range k.fleet.Members {
		if m.VM != me.VM && k.fleet.domainUse(me, m.Domain) == 0 {
			return true
		}
	}
	return false
}

func (k *Keeper) startWitnessGrowth(f *Fleet) {
	if k.own == nil {
		return
	}
	k.own.previousWitnesses = k.own.subject.Witnesses
	k.own.growthStarted = time.Now()
	k.own.pendingWitnesses = f.member(k.Self.ID).Witnesses
}

func (k *Keeper) endWitnessGrowth(bool) {
	if k.own != nil {
		k.own.pendingWitnesses = nil
		k.renew(k.own)
	}
}
