package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// hold is a lease that this VM holds: its own, or that of a VM whose slots it holds temporarily.
type hold struct {
	// subject is the VM whose witnesses grant the lease.
	subject Member
	epoch   chestnutcleat.Epoch
	peers   map[chestnutcleat.VMID]*peer
	store   *store
	// growing is the larger set of witnesses of a change whose outcome is not known yet.
	growing []Witness
	// previous is the set before the last growth; it counts for one lease, as new witnesses promise nothing for settleTime.
	previous []Witness
	grown    time.Time
}

// peer is a witness as the holder sees it.
type peer struct {
	// sent is when the last granted request was sent.
	sent    time.Time
	refused bool
	acked   Stamp
	synced  bool
	sending bool
}

func newHold(m Member, e chestnutcleat.Epoch, s *store) *hold {
	return &hold{subject: m, epoch: e, peers: map[chestnutcleat.VMID]*peer{}, store: s}
}

// alone reports whether the VM is the only one of the fleet.
func (h *hold) alone() bool { return len(h.subject.Witnesses) == 0 && len(h.growing) == 0 }

func (h *hold) peer(id chestnutcleat.VMID) *peer {
	p := h.peers[id]
	if p == nil {
		p = &peer{}
		h.peers[id] = p
	}
	return p
}

// targets returns all witnesses that are asked.
func (h *hold) targets() []Witness {
	list := append([]Witness(nil), h.subject.Witnesses...)
	for _, w := range h.growing {
		if !h.subject.has(w.VM) {
			list = append(list, w)
		}
	}
	return list
}

// majority reports whether more than half of the set fulfil ok.
func (h *hold) majority(set []Witness, ok func(*peer) bool) bool {
	n := 0
	for _, w := range set {
		if p := h.peers[w.VM]; p != nil && ok(p) {
			n++
		}
	}
	return n > len(set)/2 || len(set) == 0
}

func (h *hold) valid(now time.Time) bool {
	granted := func(p *peer) bool { return fresh(p.sent, now, usable) }
	recent := fresh(h.grown, now, usable)
	if recent && h.majority(h.previous, granted) {
		return true
	}
	if len(h.growing) > 0 && !recent && !h.majority(h.growing, granted) {
		return false
	}
	return len(h.subject.Witnesses) > 0 && h.majority(h.subject.Witnesses, granted)
}

// stored reports whether a majority of witnesses holds the records up to a stamp.
func (h *hold) stored(s Stamp) bool {
	ok := func(p *peer) bool { return p.synced && p.acked >= s }
	return h.majority(h.subject.Witnesses, ok)
}

// trim is the stamp that all witnesses hold.
func (h *hold) trim() Stamp {
	t := h.store.stamp
	for _, w := range h.targets() {
		p := h.peer(w.VM)
		if !p.synced {
			return 0
		}
		t = min(t, p.acked)
	}
	return t
}

// renew asks all witnesses of a lease.
func (k *Keeper) renew(h *hold) {
	sent := time.Now()
	for _, w := range h.targets() {
		p := h.peer(w.VM)
		r := RenewRequest{Subject: h.subject.VM, Holder: k.Self.ID, Epoch: h.epoch, Version: k.version}
		if p.synced {
			r.Held = p.acked
		}
		call(k, w.VM, chestnutcleat.MethodRenew, r, func(a RenewReply, err error) {
			if err == nil && k.holds(h) {
				k.renewed(h, w, sent, a)
			}
		})
		k.push(h, w)
	}
}

func (k *Keeper) renewed(h *hold, w Witness, sent time.Time, a RenewReply) {
	if a.Incarnation != w.Incarnation {
		return
	}
	p := h.peer(w.VM)
	p.refused = a.Promised
	if a.Granted && sent.After(p.sent) {
		p.sent = sent
	}
	if a.Blank && !p.sending {
		p.synced, p.acked = false, 0
		k.push(h, w)
	}
	if a.Promised && h.majority(h.subject.Witnesses, func(p *peer) bool { return p.refused }) {
		k.lost(h)
	}
}

// holds reports whether h is still in use.
func (k *Keeper) holds(h *hold) bool {
	return h == k.own || k.temporary[h.subject.VM] == h
}

// lost ends a lease that a majority of witnesses has promised to another VM.
func (k *Keeper) lost(h *hold) {
	if h != k.own {
		k.endTemporary(h.subject.VM)
		return
	}
	k.emit(event.LeaseLost, "epoch", h.epoch)
	for id := range k.temporary {
		k.endTemporary(id)
	}
	for s := range k.slots {
		k.drop(chestnutcleat.Slot(s))
	}
	k.failAppends(h)
	k.own, k.leased, k.lostAt = nil, false, time.Now()
	clear(k.staged)
}

// drop forgets a slot.
func (k *Keeper) drop(s chestnutcleat.Slot) {
	if k.slots[s] == slotReady || k.slots[s] == slotMoving {
		for _, o := range k.States {
			o.Drop(s)
		}
	}
	k.slots[s] = slotNone
}
