package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// update is a compare-and-swap change of the fleet object.
type update struct {
	// mutate changes a copy of the newest object, or reports that there is nothing to do.
	mutate func(*Fleet) bool
	// beforeWrite is called before the first write whose outcome may stay unknown.
	beforeWrite func(*Fleet)
	// done gets the outcome after the new object, if any, was adopted.
	done func(bool)

	id             chestnutcleat.ChangeID
	base           *Fleet
	next           *Fleet
	object         chestnutcleat.Object
	outcomeUnknown bool
}

// update queues a change; changes run one at a time.
func (k *Keeper) update(u *update) {
	k.updates = append(k.updates, u)
	k.runUpdate()
}

func (k *Keeper) runUpdate() {
	if k.updating || len(k.updates) == 0 {
		return
	}
	k.updating = true
	k.readForUpdate(k.updates[0])
}

func (k *Keeper) endUpdate(u *update, ok bool) {
	k.updates = k.updates[1:]
	k.updating = false
	u.done(ok)
	k.runUpdate()
}

// read gets the fleet object; version 0 stands for a missing object.
func (k *Keeper) read(timeout time.Duration, done func(chestnutcleat.Object, error)) {
	sent := time.Now()
	chestnutcleat.Async(k.Loop, timeout, func(ctx context.Context) (chestnutcleat.Object, error) {
		o, err := k.Platform.Get(ctx, fleetName)
		if errors.Is(err, chestnutcleat.ErrNotFound) {
			return chestnutcleat.Object{Name: fleetName}, nil
		}
		return o, err
	}, func(o chestnutcleat.Object, err error) {
		if err == nil {
			k.AdoptFleet(o)
			if k.own != nil && k.own.subject.sameEpoch(k.fleet.member(k.Self.ID)) && o.Version == k.version {
				k.memberReadSentAt = sent
			}
		}
		done(o, err)
	})
}

func (k *Keeper) readForUpdate(u *update) {
	k.read(platformTimeout, func(o chestnutcleat.Object, err error) {
		if err != nil {
			k.endUpdate(u, false)
			return
		}
		k.prepare(u, o.Version)
	})
}

func (k *Keeper) prepare(u *update, v chestnutcleat.Version) {
	if v < k.version {
		// A watch has delivered a newer object than this read.
		v = k.version
	}
	u.base = k.fleet
	u.next = &Fleet{}
	if v > 0 {
		u.next = k.fleet.clone()
	}
	if !u.mutate(u.next) {
		k.endUpdate(u, false)
		return
	}
	u.id = chestnutcleat.ChangeID(fmt.Sprintf("%s-%d-%x", k.Self.ID, k.Self.Incarnation, k.Rand.Uint64()))
	u.next.recordChange(u.id)
	data, err := json.Marshal(u.next)
	if err != nil || u.next.check() != nil {
		k.emit(event.LeaseFleetInvalid, "error", err)
		k.endUpdate(u, false)
		return
	}
	u.object = chestnutcleat.Object{Name: fleetName, Version: v, Data: data}
	u.outcomeUnknown = false
	if u.beforeWrite != nil {
		u.beforeWrite(u.next)
	}
	k.write(u)
}

// write puts the object, with retries, until the outcome is known. Repeating is safe: a write that already took effect
// makes the next one conflict.
func (k *Keeper) write(u *update) {
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) (chestnutcleat.Version, error) {
		return k.Platform.Put(ctx, u.object)
	}, func(v chestnutcleat.Version, err error) {
		switch {
		case err == nil:
			k.adopt(u.next, v)
			k.endUpdate(u, true)
		case !errors.Is(err, chestnutcleat.ErrConflict):
			u.outcomeUnknown = true
			k.Loop.After(k.jitter(2*retryInterval), func() { k.write(u) })
		case u.outcomeUnknown:
			k.resolveUnknownWrite(u)
		default:
			k.Loop.After(k.jitter(20*time.Millisecond), func() { k.readForUpdate(u) })
		}
	})
}

// resolveUnknownWrite finds out from the change ids whether a write whose response was lost took effect.
func (k *Keeper) resolveUnknownWrite(u *update) {
	k.read(platformTimeout, func(o chestnutcleat.Object, err error) {
		if err != nil || o.Version <= u.object.Version {
			k.Loop.After(k.jitter(2*retryInterval), func() { k.resolveUnknownWrite(u) })
			return
		}
		for _, id := range k.fleet.Changes {
			if id == u.id {
				k.endUpdate(u, true)
				return
			}
		}
		k.prepare(u, o.Version)
	})
}

func (k *Keeper) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(k.Rand.Int64N(int64(d)))
}

// poll reads the fleet object while this VM has no valid lease or no witnesses, so that it knows whether it is still a
// member.
func (k *Keeper) poll() {
	if k.polling {
		return
	}
	k.polling = true
	k.read(time.Second, func(chestnutcleat.Object, error) {
		k.polling = false
		// A failed read counts too: no other VM can join while the platform is unavailable.
		k.polledAt = time.Now()
	})
}

// AdoptFleet adopts a fleet object that a watch has delivered, if it is newer than the known one.
func (k *Keeper) AdoptFleet(o chestnutcleat.Object) {
	if o.Version <= k.version {
		return
	}
	f := &Fleet{}
	if err := json.Unmarshal(o.Data, f); err != nil {
		k.emit(event.LeaseFleetInvalid, "error", err)
		return
	}
	k.adopt(f, o.Version)
}

// adopt replaces the known fleet object and acts on the changes.
func (k *Keeper) adopt(f *Fleet, v chestnutcleat.Version) {
	if v <= k.version {
		return
	}
	old := k.fleet
	k.fleet, k.version = f, v
	k.fleetChangedAt = time.Now()
	k.updateMemberTimes(old)
	if k.own != nil {
		m := f.member(k.Self.ID)
		if !k.own.subject.sameEpoch(m) {
			k.loseLease(k.own)
		} else {
			k.own.subject = *m
		}
	}
	for id, h := range k.temporary {
		if !h.subject.sameEpoch(f.member(id)) && k.takeovers[id] == nil {
			k.endTemporary(id)
		}
	}
	k.updateSlots(old)
	k.resumeWaiting()
}

func (k *Keeper) updateMemberTimes(old *Fleet) {
	now := time.Now()
	if old != nil {
		for _, m := range old.Members {
			if !m.sameEpoch(k.fleet.member(m.VM)) {
				w := Witness{VM: m.VM, Incarnation: m.Incarnation}
				if k.removedAt[w].IsZero() {
					k.removedAt[w] = now
				}
			}
		}
	}
	for i := range k.fleet.Members {
		m := &k.fleet.Members[i]
		if !m.hasWitness(k.Self.ID) {
			delete(k.witnessSince, m.VM)
			continue
		}
		if k.witnessSince[m.VM].IsZero() {
			k.witnessSince[m.VM] = now
		}
	}
}

// updateSlots drops the slots that moved away and starts importing those that were handed over to this VM.
func (k *Keeper) updateSlots(old *Fleet) {
	arrived := map[*incomingHandover][]chestnutcleat.Slot{}
	for s, h := range k.fleet.Owners {
		n := chestnutcleat.Slot(s)
		if h.VM != k.Self.ID {
			if k.slots[s] != slotNone && k.temporary[h.VM] == nil {
				k.dropSlot(n)
			}
			continue
		}
		if k.slots[s] == slotReady && old != nil && old.Owners[s].VM != k.Self.ID {
			// A temporary owner serves again once a majority of the former owner's witnesses has confirmed.
			k.slots[s] = slotMoving
		}
		if handover := k.incoming[n]; handover != nil && k.slots[s] == slotNone && k.own != nil {
			k.slots[s] = slotImporting
			arrived[handover] = append(arrived[handover], n)
			delete(k.incoming, n)
		}
	}
	for handover, list := range arrived {
		k.confirm(&confirmation{subject: handover.from, epoch: handover.from.Epoch, slots: list, version: k.version})
	}
}
