package lease

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// commitTakeover replicates the records to this VM's witnesses and then commits the change of owner.
func (k *Keeper) commitTakeover(t *takeover) {
	if t.committing {
		return
	}
	t.committing = true
	slots := k.fleet.slots(t.target.VM)
	allowRetry := func() { t.committing = false }
	if k.own == nil {
		k.writeTakeover(t, allowRetry)
		return
	}
	if !t.recordsStored {
		k.own.store.replaceSlots(slots, recordsOf(t.entries))
		t.recordsStored = true
	}
	own := k.own
	if own.subject.hasWitness(t.target.VM) && len(own.subject.Witnesses) < maxWitnesses {
		// This VM may need the target for its own majority until the target is removed; the target's other witnesses have
		// the records.
		k.writeTakeover(t, allowRetry)
		return
	}
	k.replicate([]*heldLease{own}, func(err error) {
		// Without a valid lease the majority may be dead; the records are then replicated after the commit, which names new
		// witnesses.
		if (err != nil && k.valid(time.Now())) || k.own != own || !k.active(t) {
			allowRetry()
			return
		}
		k.writeTakeover(t, allowRetry)
	})
}

// writeTakeover commits the removal of the target and the change of owner; allowRetry runs when the outcome is known.
func (k *Keeper) writeTakeover(t *takeover, allowRetry func()) {
	var epoch chestnutcleat.Epoch
	var slots []chestnutcleat.Slot
	own := k.own
	u := &update{}
	u.mutate = func(f *Fleet) bool {
		if k.own != own || !t.target.sameEpoch(f.member(t.target.VM)) {
			return false
		}
		t.target.Witnesses = slices.Clone(f.member(t.target.VM).Witnesses)
		// The promises must come from a majority of the witnesses in this version of the fleet object.
		if t.count(t.promisedBy) < t.target.quorum() && len(t.target.Witnesses) > 0 {
			return false
		}
		slots = f.slots(t.target.VM)
		epoch = f.nextEpoch(t.epoch)
		f.remove(t.target.VM)
		if own == nil {
			f.Members = append(f.Members, k.selfMember())
			me := f.member(k.Self.ID)
			me.Epoch = epoch
			f.addWitnesses(me, maxWitnesses, epoch, true)
		}
		for _, s := range slots {
			f.Owners[s] = holding{k.Self.ID, epoch}
		}
		return true
	}
	u.beforeWrite = func(*Fleet) {
		for _, s := range slots {
			delete(k.incoming, s)
		}
	}
	u.done = func(ok bool) {
		allowRetry()
		if !ok {
			return
		}
		k.finishTakeover(t, own == nil, epoch, slots)
	}
	k.update(u)
}

// finishTakeover imports the slots after the commit and serves them once no other VM can act for the target.
func (k *Keeper) finishTakeover(t *takeover, joined bool, e chestnutcleat.Epoch, slots []chestnutcleat.Slot) {
	k.endTakeover(t)
	k.emit(event.LeaseTakeover, "member", t.target.VM, "slots", len(slots))
	if joined {
		k.startOwnLease(e)
	}
	h := k.temporary[t.target.VM]
	delete(k.temporary, t.target.VM)
	if k.own == nil {
		for _, s := range slots {
			k.dropSlot(s)
		}
		return
	}
	if joined {
		k.own.store.replaceSlots(slots, recordsOf(t.entries))
		k.sendRecordsToAll(k.own)
	}
	if h != nil {
		k.emit(event.LeaseTemporaryEnd, "member", t.target.VM)
	}
	arrived := slices.DeleteFunc(slices.Clone(slots), func(s chestnutcleat.Slot) bool { return h != nil && k.slots[s] == slotMoving })
	for _, s := range arrived {
		k.dropSlot(s)
		k.slots[s] = slotImporting
	}
	k.confirm(&confirmation{subject: t.target, epoch: t.epoch, slots: slots, entries: t.entries, transfer: t.transfer, version: k.version})
}
