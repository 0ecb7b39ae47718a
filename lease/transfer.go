package lease

import (
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// stableTime is how long the fleet object must be unchanged before slots are rebalanced.
	stableTime = time.Second
	// maxHandoverReadTime is the slowest platform response at which a handover is started, as requests for its slots wait
	// until the platform has committed it.
	maxHandoverReadTime = 200 * time.Millisecond
)

// incomingHandover records that another VM is about to hand slots over; this VM's own store has their records.
type incomingHandover struct {
	from Member
}

// slotMove is a set of slots to be handed over to one VM.
type slotMove struct {
	to    Member
	slots []chestnutcleat.Slot
	ready bool
}

// rebalance hands over the slots that rendezvous hashing assigns to another VM; when this VM leaves, these are all.
func (k *Keeper) rebalance() {
	if k.handingOver || k.updating || len(k.temporary) > 0 || (k.onLeft == nil && time.Since(k.fleetChangedAt) < stableTime) {
		return
	}
	moves := k.plannedMoves()
	if len(moves) == 0 {
		if k.onLeft != nil {
			k.removeSelf()
		}
		return
	}
	k.handingOver = true
	k.read(maxHandoverReadTime, func(_ chestnutcleat.Object, err error) {
		if err != nil || !k.valid(time.Now()) {
			k.handingOver = false
			return
		}
		k.handOver(moves)
	})
}

// plannedMoves returns the slots that have to move; an empty result is cached until the fleet changes.
func (k *Keeper) plannedMoves() []*slotMove {
	var live []chestnutcleat.VMID
	view := fmt.Sprint(k.version, k.onLeft != nil)
	for _, v := range k.Members() {
		m := k.fleet.member(v.ID)
		if m == nil || m.Incarnation != v.ProcessIncarnation() || v.State != chestnutcleat.VMLive || (v.ID == k.Self.ID && k.onLeft != nil) {
			continue
		}
		live = append(live, v.ID)
		view += " " + string(v.ID)
	}
	if view == k.balancedView {
		return nil
	}
	byTarget := map[chestnutcleat.VMID]*slotMove{}
	var list []*slotMove
	for _, s := range k.fleet.slots(k.Self.ID) {
		to := highestRanked(slotName(s), live)
		if to == "" || to == k.Self.ID || k.slots[s] != slotReady {
			continue
		}
		move := byTarget[to]
		if move == nil {
			move = &slotMove{to: *k.fleet.member(to)}
			byTarget[to] = move
			list = append(list, move)
		}
		move.slots = append(move.slots, s)
	}
	if len(list) == 0 && k.onLeft == nil {
		k.balancedView = view
	}
	return list
}

// handOver sends the records to the new owners and then commits the change of owner.
func (k *Keeper) handOver(moves []*slotMove) {
	outstanding := len(moves)
	for _, move := range moves {
		r := HandoverRequest{From: k.own.subject}
		for _, s := range move.slots {
			if k.slots[s] != slotReady || !k.serves(s) {
				continue
			}
			r.Slots = append(r.Slots, s)
			for _, o := range k.States {
				r.Records = append(r.Records, o.Export(s)...)
			}
			k.slots[s] = slotMoving
		}
		move.slots = r.Slots
		call(k, move.to.VM, chestnutcleat.MethodHandover, r, func(a HandoverReply, err error) {
			move.ready = err == nil && a.Ready
			if outstanding--; outstanding == 0 {
				k.commitHandover(moves)
			}
		})
	}
}

func (k *Keeper) commitHandover(moves []*slotMove) {
	own := k.own
	k.update(&update{
		mutate: func(f *Fleet) bool {
			if own == nil || k.own != own || !own.subject.sameEpoch(f.member(k.Self.ID)) {
				return false
			}
			e, n := f.nextEpoch(0), 0
			for _, move := range moves {
				if !move.ready || !move.to.sameEpoch(f.member(move.to.VM)) {
					continue
				}
				for _, s := range move.slots {
					f.Owners[s] = holding{move.to.VM, e}
					n++
				}
			}
			return n > 0
		},
		done: func(ok bool) { k.finishHandover(moves, ok) },
	})
}

func (k *Keeper) finishHandover(moves []*slotMove, ok bool) {
	k.handingOver = false
	if k.own == nil {
		return
	}
	var moved []chestnutcleat.Slot
	for _, move := range moves {
		for _, s := range move.slots {
			if k.fleet.Owners[s].VM != k.Self.ID {
				moved = append(moved, s)
				k.dropSlot(s)
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
		k.own.store.replaceSlots(moved, nil)
		k.sendRecordsToAll(k.own)
		k.sendFleet(moves)
	}
	k.resumeWaiting()
	if k.onLeft != nil {
		k.rebalance()
	}
}

// sendFleet sends the committed fleet object to the new owners, which would otherwise wait for their watch.
func (k *Keeper) sendFleet(moves []*slotMove) {
	data, err := k.fleet.MarshalJSON()
	if err != nil {
		return
	}
	o := chestnutcleat.Object{Name: fleetName, Version: k.version, Data: data}
	for _, move := range moves {
		call(k, move.to.VM, chestnutcleat.MethodHandover, HandoverRequest{Fleet: &o}, func(HandoverReply, error) {})
	}
}

// onHandover stores the records of slots that are about to be moved to this VM.
func (k *Keeper) onHandover(r HandoverRequest, done func(HandoverReply)) {
	if r.Fleet != nil {
		k.AdoptFleet(*r.Fleet)
		done(HandoverReply{Ready: true})
		return
	}
	if k.onLeft != nil || !k.valid(time.Now()) {
		done(HandoverReply{})
		return
	}
	for _, s := range r.Slots {
		if k.slots[s] != slotNone || k.fleet.Owners[s].VM == k.Self.ID {
			done(HandoverReply{})
			return
		}
	}
	handover := &incomingHandover{from: r.From}
	for _, s := range r.Slots {
		k.incoming[s] = handover
	}
	k.own.store.replaceSlots(r.Slots, r.Records)
	k.replicate([]*heldLease{k.own}, func(err error) { done(HandoverReply{Ready: err == nil}) })
}

// Leave hands all slots over, removes this VM from the fleet and then calls done.
func (k *Keeper) Leave(done func()) {
	if k.onLeft != nil {
		return
	}
	k.onLeft = done
	if k.own == nil {
		k.finishLeaving()
		return
	}
	k.rebalance()
}

// removeSelf removes this VM from the fleet object once it owns no slot; the only VM of a fleet stays listed as owner.
func (k *Keeper) removeSelf() {
	if len(k.fleet.slots(k.Self.ID)) > 0 {
		if len(k.fleet.Members) == 1 {
			k.finishLeaving()
		}
		return
	}
	k.handingOver = true
	k.update(&update{
		mutate: func(f *Fleet) bool {
			m := f.member(k.Self.ID)
			if m == nil || k.own == nil || !k.own.subject.sameEpoch(m) || len(f.slots(k.Self.ID)) > 0 {
				return false
			}
			f.remove(k.Self.ID)
			return true
		},
		done: func(ok bool) {
			k.handingOver = false
			if ok || k.fleet.member(k.Self.ID) == nil {
				k.finishLeaving()
			}
		},
	})
}

// finishLeaving stops the keeper and reports that the VM has left.
func (k *Keeper) finishLeaving() {
	k.left = true
	k.emit(event.LeaseLeft)
	k.onLeft()
}
