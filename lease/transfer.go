package lease

import (
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// calmTime is how long the fleet must be unchanged before slots move to a VM that joined.
	calmTime = time.Second
	// quickRead is the longest platform response with which a handover is started, as its slots wait meanwhile.
	quickRead = 200 * time.Millisecond
)

// stage notes that another VM is about to hand slots over; their records are in the own store.
type stage struct {
	from Member
}

// parcel is a set of slots on the way to one successor.
type parcel struct {
	to    Member
	slots []chestnutcleat.Slot
	ready bool
}

// rebalance hands over the slots whose place by rendezvous hashing is another VM, all of them when leaving.
func (k *Keeper) rebalance() {
	if k.moving || k.updating || len(k.temporary) > 0 || (k.leaving == nil && time.Since(k.unchanged) < calmTime) {
		return
	}
	parcels := k.parcels()
	if len(parcels) == 0 {
		if k.leaving != nil {
			k.depart()
		}
		return
	}
	k.moving = true
	k.read(quickRead, func(_ chestnutcleat.Object, err error) {
		if err != nil || !k.valid(time.Now()) {
			k.moving = false
			return
		}
		k.handOver(parcels)
	})
}

// parcels returns what has to move; the result for an unchanged view is remembered when it is empty.
func (k *Keeper) parcels() []*parcel {
	var live []chestnutcleat.VMID
	view := fmt.Sprint(k.version, k.leaving != nil)
	for _, v := range k.Members() {
		m := k.fleet.member(v.ID)
		if m == nil || m.Incarnation != v.Process() || v.State != chestnutcleat.VMLive || (v.ID == k.Self.ID && k.leaving != nil) {
			continue
		}
		live = append(live, v.ID)
		view += " " + string(v.ID)
	}
	if view == k.settled {
		return nil
	}
	byTarget := map[chestnutcleat.VMID]*parcel{}
	var list []*parcel
	for _, s := range k.fleet.slots(k.Self.ID) {
		to := choose(slotName(s), live)
		if to == "" || to == k.Self.ID || k.slots[s] != slotReady {
			continue
		}
		p := byTarget[to]
		if p == nil {
			p = &parcel{to: *k.fleet.member(to)}
			byTarget[to] = p
			list = append(list, p)
		}
		p.slots = append(p.slots, s)
	}
	if len(list) == 0 && k.leaving == nil {
		k.settled = view
	}
	return list
}

// handOver sends the records to the successors and then commits the move.
func (k *Keeper) handOver(parcels []*parcel) {
	open := len(parcels)
	for _, p := range parcels {
		r := HandoverRequest{From: k.own.subject}
		for _, s := range p.slots {
			if k.slots[s] != slotReady || !k.serves(s) {
				continue
			}
			r.Slots = append(r.Slots, s)
			for _, o := range k.States {
				r.Records = append(r.Records, o.Export(s)...)
			}
			k.slots[s] = slotMoving
		}
		p.slots = r.Slots
		call(k, p.to.VM, chestnutcleat.MethodHandover, r, func(a HandoverReply, err error) {
			p.ready = err == nil && a.Ready
			if open--; open == 0 {
				k.commitHandover(parcels)
			}
		})
	}
}

func (k *Keeper) commitHandover(parcels []*parcel) {
	own := k.own
	k.update(&update{
		mutate: func(f *Fleet) bool {
			if own == nil || k.own != own || !own.subject.same(f.member(k.Self.ID)) {
				return false
			}
			e, n := f.next(0), 0
			for _, p := range parcels {
				if !p.ready || !p.to.same(f.member(p.to.VM)) {
					continue
				}
				for _, s := range p.slots {
					f.Owners[s] = holding{p.to.VM, e}
					n++
				}
			}
			return n > 0
		},
		done: func(ok bool) { k.handedOver(parcels, ok) },
	})
}

func (k *Keeper) handedOver(parcels []*parcel, ok bool) {
	k.moving = false
	if k.own == nil {
		return
	}
	var moved []chestnutcleat.Slot
	for _, p := range parcels {
		for _, s := range p.slots {
			if k.fleet.Owners[s].VM != k.Self.ID {
				moved = append(moved, s)
				k.drop(s)
			} else if k.slots[s] == slotMoving {
				k.slots[s] = slotReady
				for _, o := range k.States {
					o.Resume(s)
				}
			}
		}
	}
	if ok && len(moved) > 0 {
		k.emit(event.LeaseHandover, "slots", len(moved))
		k.own.store.replace(moved, nil)
		k.pushAll(k.own)
		k.announce(parcels)
	}
	k.wake()
	if k.leaving != nil {
		k.rebalance()
	}
}

// announce sends the committed fleet object to the successors, which would otherwise wait for their watch.
func (k *Keeper) announce(parcels []*parcel) {
	data, err := k.fleet.MarshalJSON()
	if err != nil {
		return
	}
	o := chestnutcleat.Object{Name: fleetName, Version: k.version, Data: data}
	for _, p := range parcels {
		call(k, p.to.VM, chestnutcleat.MethodHandover, HandoverRequest{Fleet: &o}, func(HandoverReply, error) {})
	}
}

// onHandover stores the records of slots that are about to come to this VM.
func (k *Keeper) onHandover(r HandoverRequest, done func(HandoverReply)) {
	if r.Fleet != nil {
		k.Refresh(*r.Fleet)
		done(HandoverReply{Ready: true})
		return
	}
	if k.leaving != nil || !k.valid(time.Now()) {
		done(HandoverReply{})
		return
	}
	for _, s := range r.Slots {
		if k.slots[s] != slotNone || k.fleet.Owners[s].VM == k.Self.ID {
			done(HandoverReply{})
			return
		}
	}
	g := &stage{from: r.From}
	for _, s := range r.Slots {
		k.staged[s] = g
	}
	k.own.store.replace(r.Slots, r.Records)
	k.appendTo([]*hold{k.own}, func(err error) { done(HandoverReply{Ready: err == nil}) })
}

// Leave hands all slots over, removes this VM from the fleet and then calls done.
func (k *Keeper) Leave(done func()) {
	if k.leaving != nil {
		return
	}
	k.leaving = done
	if k.own == nil {
		k.finish()
		return
	}
	k.rebalance()
}

// depart removes this VM once it owns no slot; the only VM of a fleet stays listed as owner.
func (k *Keeper) depart() {
	if len(k.fleet.slots(k.Self.ID)) > 0 {
		if len(k.fleet.Members) == 1 {
			k.finish()
		}
		return
	}
	k.moving = true
	k.update(&update{
		mutate: func(f *Fleet) bool {
			m := f.member(k.Self.ID)
			if m == nil || k.own == nil || !k.own.subject.same(m) || len(f.slots(k.Self.ID)) > 0 {
				return false
			}
			f.remove(k.Self.ID)
			return true
		},
		done: func(ok bool) {
			k.moving = false
			if ok || k.fleet.member(k.Self.ID) == nil {
				k.finish()
			}
		},
	})
}

// finish ends the work of this VM.
func (k *Keeper) finish() {
	k.left = true
	k.emit(event.LeaseLeft)
	k.leaving()
}
