package lease

import (
	"maps"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// confirmation is run after a committed change has moved slots to this VM. It ensures that no VM with an older version
// of the fleet object acts as their temporary owner.
type confirmation struct {
	subject Member
	epoch   chestnutcleat.Epoch
	slots   []chestnutcleat.Slot
	// entries come from the witnesses and the journal object of a VM that was taken over; this VM's own store has them too.
	entries      map[entryKey]Entry
	transfer     chestnutcleat.Transfer
	version      chestnutcleat.Version
	confirmedBy  map[chestnutcleat.VMID]bool
	otherEntries map[entryKey]Entry
	finished     bool
}

// confirm asks the former owner's witnesses, with retries, until a majority has confirmed.
func (k *Keeper) confirm(c *confirmation) {
	if c.confirmedBy == nil {
		c.confirmedBy = map[chestnutcleat.VMID]bool{}
		c.otherEntries = map[entryKey]Entry{}
	}
	if c.finished || k.own == nil || k.left {
		return
	}
	if m := k.fleet.member(c.subject.VM); c.subject.sameEpoch(m) {
		c.subject = *m
	}
	for _, w := range c.subject.Witnesses {
		if c.confirmedBy[w.VM] {
			continue
		}
		if k.hasEnded(w) {
			c.confirmedBy[w.VM] = true
			continue
		}
		r := PromiseRequest{Subject: c.subject, Holder: k.Self.ID, Epoch: c.epoch, Version: c.version, Confirm: true}
		call(k, w.VM, chestnutcleat.MethodPromise, r, func(a PromiseReply, err error) {
			if err != nil || !a.Promised || c.finished {
				return
			}
			c.confirmedBy[w.VM] = true
			merge(c.otherEntries, a.Entries)
			k.checkConfirmed(c)
		})
	}
	k.checkConfirmed(c)
	if !c.finished {
		k.Loop.After(retryInterval, func() { k.confirm(c) })
	}
}

func (k *Keeper) checkConfirmed(c *confirmation) {
	n := 0
	for _, w := range c.subject.Witnesses {
		if c.confirmedBy[w.VM] {
			n++
		}
	}
	if c.finished || k.own == nil || (n < c.subject.quorum() && len(c.subject.Witnesses) > 0) {
		return
	}
	c.finished = true
	owned := func(s chestnutcleat.Slot) bool { return k.fleet.Owners[s].VM == k.Self.ID }
	c.slots = slices.DeleteFunc(c.slots, func(s chestnutcleat.Slot) bool { return !owned(s) })
	if len(c.otherEntries) > 0 {
		// Another VM was temporary owner in the meantime: its records are newer.
		merge(c.otherEntries, slices.Collect(maps.Values(c.entries)))
		c.transfer = chestnutcleat.Transfer{Lost: true, Incomplete: true}
		k.own.store.replaceSlots(c.slots, recordsOf(c.otherEntries))
	}
	k.serveConfirmed(c, k.own)
}

// serveConfirmed starts serving the slots of a confirmation once this VM's witnesses have stored their records.
func (k *Keeper) serveConfirmed(c *confirmation, own *heldLease) {
	k.replicate([]*heldLease{own}, func(err error) {
		if k.own != own {
			return
		}
		if err != nil {
			k.Loop.After(retryInterval, func() { k.serveConfirmed(c, own) })
			return
		}
		var arrived []chestnutcleat.Slot
		for _, s := range c.slots {
			switch {
			case k.fleet.Owners[s].VM != k.Self.ID:
			case k.slots[s] == slotMoving:
				k.slots[s] = slotReady
			case k.slots[s] == slotImporting:
				arrived = append(arrived, s)
			}
		}
		k.importSlots(arrived, own.store.records(arrived), c.transfer)
	})
}

// importSlots marks slots as ready and passes their records to the state of each kind.
func (k *Keeper) importSlots(slots []chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	type slotKind struct {
		slot chestnutcleat.Slot
		kind chestnutcleat.Kind
	}
	parts := map[slotKind][]chestnutcleat.Record{}
	for _, r := range records {
		kind, _, _ := strings.Cut(r.Name, "/")
		p := slotKind{r.Slot, chestnutcleat.Kind(kind)}
		parts[p] = append(parts[p], r)
	}
	for _, s := range slots {
		k.slots[s] = slotReady
		for kind, o := range k.States {
			o.Import(s, parts[slotKind{s, kind}], t)
		}
	}
	k.resumeWaiting()
}
