package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// startTemporary makes this VM the temporary owner of the target's slots, by a lease from the target's witnesses, until the
// platform is available.
func (k *Keeper) startTemporary(t *takeover) {
	if k.own == nil || !k.valid(time.Now()) {
		return
	}
	id := t.target.VM
	h := newHeldLease(t.target, t.epoch, newStore(t.epoch))
	slots := k.fleet.slots(id)
	h.store.replaceSlots(slots, recordsOf(t.entries))
	k.temporary[id] = h
	for _, s := range slots {
		k.slots[s] = slotImporting
	}
	k.renew(h)
	k.awaitTemporary(t, h, slots)
}

// awaitTemporary imports the slots once the lease is valid and a majority of its witnesses has stored the records.
func (k *Keeper) awaitTemporary(t *takeover, h *heldLease, slots []chestnutcleat.Slot) {
	if k.temporary[t.target.VM] != h || !k.active(t) {
		return
	}
	if !h.valid(time.Now()) || !h.storedByMajority(h.store.lastIndex) {
		k.Loop.After(retryInterval, func() { k.awaitTemporary(t, h, slots) })
		return
	}
	k.emit(event.LeaseTemporary, "member", t.target.VM, "slots", len(slots))
	k.importSlots(slots, recordsOf(h.store.entries), t.transfer)
}

// endTemporary ends the temporary ownership of a VM's slots and drops them.
func (k *Keeper) endTemporary(id chestnutcleat.VMID) {
	h := k.temporary[id]
	if h == nil {
		return
	}
	delete(k.temporary, id)
	k.failAppends(h)
	k.emit(event.LeaseTemporaryEnd, "member", id)
	for s, o := range k.fleet.Owners {
		if k.slots[s] != slotNone && o.VM == id {
			k.dropSlot(chestnutcleat.Slot(s))
		}
	}
	if t := k.takeovers[id]; t != nil && !t.committing {
		k.endTakeover(t)
	}
}
