package lease

import (
	"maps"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// confirmation makes sure, after slots came to this VM by a committed change, that no VM with an older view of the
// fleet acts as their temporary owner.
type confirmation struct {
	subject Member
	epoch   chestnutcleat.Epoch
	slots   []chestnutcleat.Slot
	// entries come from the witnesses and the journal of a VM that was taken over; all records are in the own store, too.
	entries  map[entryKey]Entry
	transfer chestnutcleat.Transfer
	version  chestnutcleat.Version
	ok       map[chestnutcleat.VMID]bool
	foreign  map[entryKey]Entry
	ended    bool
}

// confirm asks the former owner's witnesses until a majority has confirmed.
func (k *Keeper) confirm(c *confirmation) {
	if c.ok == nil {
		c.ok = map[chestnutcleat.VMID]bool{}
		c.foreign = map[entryKey]Entry{}
	}
	if c.ended || k.own == nil || k.left {
		return
	}
	if m := k.fleet.member(c.subject.VM); c.subject.same(m) {
		c.subject = *m
	}
	for _, w := range c.subject.Witnesses {
		if c.ok[w.VM] {
			continue
		}
		if k.isGone(w) {
			c.ok[w.VM] = true
			continue
		}
		r := PromiseRequest{Subject: c.subject, Holder: k.Self.ID, Epoch: c.epoch, Version: c.version, Confirm: true}
		call(k, w.VM, chestnutcleat.MethodPromise, r, func(a PromiseReply, err error) {
			if err != nil || !a.Promised || c.ended {
				return
			}
			c.ok[w.VM] = true
			merge(c.foreign, a.Entries)
			k.confirmed(c)
		})
	}
	k.confirmed(c)
	if !c.ended {
		k.Loop.After(retryInterval, func() { k.confirm(c) })
	}
}

func (k *Keeper) confirmed(c *confirmation) {
	n := 0
	for _, w := range c.subject.Witnesses {
		if c.ok[w.VM] {
			n++
		}
	}
	if c.ended || k.own == nil || (n < c.subject.quorum() && len(c.subject.Witnesses) > 0) {
		return
	}
	c.ended = true
	mine := func(s chestnutcleat.Slot) bool { return k.fleet.Owners[s].VM == k.Self.ID }
	c.slots = slices.DeleteFunc(c.slots, func(s chestnutcleat.Slot) bool { return !mine(s) })
	if len(c.foreign) > 0 {
		// A temporary owner acted in between: its records are newer.
		merge(c.foreign, slices.Collect(maps.Values(c.entries)))
		c.transfer = chestnutcleat.Transfer{Lost: true, Incomplete: true}
		k.own.store.replace(c.slots, recordsOf(c.foreign))
	}
	k.enter(c, k.own)
}

// enter serves the slots of a confirmation once this VM's witnesses hold their records.
func (k *Keeper) enter(c *confirmation, own *hold) {
	k.appendTo([]*hold{own}, func(err error) {
		if k.own != own {
			return
		}
		if err != nil {
			k.Loop.After(retryInterval, func() { k.enter(c, own) })
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

// importSlots gives slots with their records to the states of each kind.
func (k *Keeper) importSlots(slots []chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	type place struct {
		slot chestnutcleat.Slot
		kind chestnutcleat.Kind
	}
	parts := map[place][]chestnutcleat.Record{}
	for _, r := range records {
		kind, _, _ := strings.Cut(r.Name, "/")
		p := place{r.Slot, chestnutcleat.Kind(kind)}
		parts[p] = append(parts[p], r)
	}
	for _, s := range slots {
		k.slots[s] = slotReady
		for kind, o := range k.States {
			o.Import(s, parts[place{s, kind}], t)
		}
	}
	k.wake()
}
