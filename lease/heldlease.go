package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// heldLease is a lease that this VM holds: its own, or that of a VM whose slots it owns temporarily.
type heldLease struct {
	// subject is the VM whose witnesses grant the lease.
	subject       Member
	epoch         chestnutcleat.Epoch
	witnessStates map[chestnutcleat.VMID]*witnessState
	store         *store
	// pendingWitnesses is the larger set of a change whose outcome is not known yet.
	pendingWitnesses []Witness
	// previousWitnesses is the set before the last growth. Its majority suffices for one more lease duration, as new
	// witnesses make no promise for staleGrantTimeout.
	previousWitnesses []Witness
	growthStarted     time.Time
}

// witnessState is what the holder knows about one witness.
type witnessState struct {
	// grantSentAt is when the last granted request was sent.
	grantSentAt    time.Time
	promisedHigher bool
	ackedIndex     LogIndex
	complete       bool
	sending        bool
}

func newHeldLease(m Member, e chestnutcleat.Epoch, s *store) *heldLease {
	return &heldLease{subject: m, epoch: e, witnessStates: map[chestnutcleat.VMID]*witnessState{}, store: s}
}

// withoutWitnesses reports whether the lease has no witnesses, as the VM is the only one of the fleet.
func (h *heldLease) withoutWitnesses() bool {
	return len(h.subject.Witnesses) == 0 && len(h.pendingWitnesses) == 0
}

func (h *heldLease) witnessState(id chestnutcleat.VMID) *witnessState {
	state := h.witnessStates[id]
	if state == nil {
		state = &witnessState{}
		h.witnessStates[id] = state
	}
	return state
}

// allWitnesses returns the present and the pending witnesses.
func (h *heldLease) allWitnesses() []Witness {
	list := append([]Witness(nil), h.subject.Witnesses...)
	for _, w := range h.pendingWitnesses {
		if !h.subject.hasWitness(w.VM) {
			list = append(list, w)
		}
	}
	return list
}

// majority reports whether ok holds for more than half of the set, or the set is empty.
func (h *heldLease) majority(set []Witness, ok func(*witnessState) bool) bool {
	n := 0
	for _, w := range set {
		if state := h.witnessStates[w.VM]; state != nil && ok(state) {
			n++
		}
	}
	return n > len(set)/2 || len(set) == 0
}

func (h *heldLease) valid(now time.Time) bool {
	granted := func(state *witnessState) bool { return elapsedUnder(state.grantSentAt, now, holderLeaseDuration) }
	recent := elapsedUnder(h.growthStarted, now, holderLeaseDuration)
	if recent && h.majority(h.previousWitnesses, granted) {
		return true
	}
	if len(h.pendingWitnesses) > 0 && !recent && !h.majority(h.pendingWitnesses, granted) {
		return false
	}
	return len(h.subject.Witnesses) > 0 && h.majority(h.subject.Witnesses, granted)
}

// storedByMajority reports whether a majority of the witnesses has stored the records up to an index.
func (h *heldLease) storedByMajority(index LogIndex) bool {
	ok := func(state *witnessState) bool { return state.complete && state.ackedIndex >= index }
	return h.majority(h.subject.Witnesses, ok)
}

// trimIndex returns the index up to which all witnesses have stored the records.
func (h *heldLease) trimIndex() LogIndex {
	t := h.store.lastIndex
	for _, w := range h.allWitnesses() {
		state := h.witnessState(w.VM)
		if !state.complete {
			return 0
		}
		t = min(t, state.ackedIndex)
	}
	return t
}

// renew asks all witnesses to renew a lease and sends them the records that they lack.
func (k *Keeper) renew(h *heldLease) {
	sent := time.Now()
	for _, w := range h.allWitnesses() {
		state := h.witnessState(w.VM)
		r := RenewRequest{Subject: h.subject.VM, Holder: k.Self.ID, Epoch: h.epoch, Version: k.version}
		if state.complete {
			r.StoredIndex = state.ackedIndex
		}
		call(k, w.VM, chestnutcleat.MethodRenew, r, func(a RenewReply, err error) {
			if err == nil && k.isHeld(h) {
				k.handleRenewReply(h, w, sent, a)
			}
		})
		k.sendRecords(h, w)
	}
}

func (k *Keeper) handleRenewReply(h *heldLease, w Witness, sent time.Time, a RenewReply) {
	if a.Incarnation != w.Incarnation {
		return
	}
	state := h.witnessState(w.VM)
	state.promisedHigher = a.PromisedHigher
	if a.Granted && sent.After(state.grantSentAt) {
		state.grantSentAt = sent
	}
	if a.MissingRecords && !state.sending {
		state.complete, state.ackedIndex = false, 0
		k.sendRecords(h, w)
	}
	if a.PromisedHigher && !h.renewable() {
		k.loseLease(h)
	}
}

// renewable reports whether enough witnesses to renew the lease are not known to have promised a higher epoch. If the others went on to
// renew it, no VM could get a majority.
func (h *heldLease) renewable() bool {
	count := len(h.subject.Witnesses)
	left := count
	for _, w := range h.subject.Witnesses {
		if h.witnessState(w.VM).promisedHigher {
			left--
		}
	}
	return left > count/2 || count == 0
}

// isHeld reports whether h is still in use.
func (k *Keeper) isHeld(h *heldLease) bool {
	return h == k.own || k.temporary[h.subject.VM] == h
}

// loseLease ends a lease that this VM may no longer hold, such as one whose witnesses promised a higher epoch to another.
func (k *Keeper) loseLease(h *heldLease) {
	if h != k.own {
		k.endTemporary(h.subject.VM)
		return
	}
	k.emit(event.LeaseLost, "epoch", h.epoch)
	for id := range k.temporary {
		k.endTemporary(id)
	}
	for s := range k.slots {
		k.dropSlot(chestnutcleat.Slot(s))
	}
	k.failAppends(h)
	k.own, k.wasValid, k.lostAt = nil, false, time.Now()
	clear(k.incoming)
}

// dropSlot stops serving a slot and discards its state.
func (k *Keeper) dropSlot(s chestnutcleat.Slot) {
	if k.slots[s] == slotReady || k.slots[s] == slotMoving {
		for _, o := range k.States {
			o.Drop(s)
		}
	}
	k.slots[s] = slotNone
}
