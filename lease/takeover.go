package lease

import (
	"context"
	"errors"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// temporaryOwnershipDelay is how long a takeover waits for the platform before this VM becomes temporary owner.
const temporaryOwnershipDelay = time.Second

// selfTakeoverDelay is how long a VM that restarted or lost its lease leaves the takeover of its slots to others.
const selfTakeoverDelay = 4 * time.Second

// takeover is the coordinator's state of taking over one VM's slots.
type takeover struct {
	target     Member
	epoch      chestnutcleat.Epoch
	promisedBy map[chestnutcleat.VMID]bool
	// completeWitnesses are the witnesses that promised and have all records.
	completeWitnesses map[chestnutcleat.VMID]bool
	entries           map[entryKey]Entry
	majorityAt        time.Time
	transfer          chestnutcleat.Transfer
	merged            bool
	readingJournal    bool
	journalRead       bool
	recordsStored     bool
	committing        bool
	startedAt         time.Time
}

// scanForTakeovers starts the takeovers for which this VM is the coordinator.
func (k *Keeper) scanForTakeovers() {
	if k.fleet == nil || k.onLeft != nil {
		return
	}
	now := time.Now()
	if k.own == nil {
		k.takeOverSelf(now)
		return
	}
	// A VM without a valid lease of its own must not fence others, unless it may have lost the lease because witnesses died.
	ok := k.valid(now)
	mayFence := ok || len(k.fleet.Members) <= maxWitnesses || now.Sub(k.lastValid) > renewalTimeout
	live := map[chestnutcleat.VMID]bool{}
	for _, v := range k.Members() {
		if m := k.fleet.member(v.ID); m != nil && m.Incarnation == v.ProcessIncarnation() && v.State != chestnutcleat.VMGone {
			live[v.ID] = true
		}
	}
	var candidates []chestnutcleat.VMID
	for id := range live {
		candidates = append(candidates, id)
	}
	for _, m := range k.fleet.Members {
		if m.VM == k.Self.ID {
			continue
		}
		if (mayFence && !live[m.VM] && highestRanked("takeover "+string(m.VM), candidates) == k.Self.ID) || (ok && k.mustTakeOverLapsed(&m, live, now)) {
			k.beginTakeover(m)
		}
	}
}

// takeOverSelf takes over this VM's own slots under a new epoch if no other VM has done so, as all VMs may have lost their
// leases or restarted.
func (k *Keeper) takeOverSelf(now time.Time) {
	m := k.fleet.member(k.Self.ID)
	if m != nil && m.Incarnation < k.Self.Incarnation && now.Sub(k.started) > selfTakeoverDelay+k.jitter(selfTakeoverDelay) {
		k.beginTakeover(*m)
		return
	}
	if m != nil && m.Incarnation == k.Self.Incarnation && !k.lostAt.IsZero() && now.Sub(k.lostAt) > selfTakeoverDelay+k.jitter(selfTakeoverDelay) {
		k.beginTakeover(*m)
	}
}

// mustTakeOverLapsed reports whether this VM must take over a VM that no longer renews its lease: live witnesses of the VM
// start one after the other, 2 s apart.
func (k *Keeper) mustTakeOverLapsed(m *Member, live map[chestnutcleat.VMID]bool, now time.Time) bool {
	rank, found := 0, false
	for _, w := range m.Witnesses {
		if w.VM == k.Self.ID {
			found = true
			break
		}
		if live[w.VM] {
			rank++
		}
	}
	if !found {
		return false
	}
	return now.Sub(k.renewedAt(m)) > renewalTimeout+time.Duration(rank)*2*time.Second
}

// renewedAt returns when this VM's last grant to a member ends, or when this VM learned that it is a witness of it.
func (k *Keeper) renewedAt(m *Member) time.Time {
	last := k.witnessSince[m.VM]
	if g := k.grants[m.VM]; g != nil && g.epoch >= m.Epoch && g.expiresAt.After(last) {
		last = g.expiresAt
	}
	return last
}

func (k *Keeper) beginTakeover(m Member) {
	if k.takeovers[m.VM] != nil {
		return
	}
	t := &takeover{target: m, epoch: m.Epoch + 1, startedAt: time.Now()}
	k.takeovers[m.VM] = t
	t.reset()
	k.advance(t)
}

func (t *takeover) reset() {
	t.promisedBy = map[chestnutcleat.VMID]bool{}
	t.completeWitnesses = map[chestnutcleat.VMID]bool{}
	t.entries = map[entryKey]Entry{}
	t.majorityAt = time.Time{}
	t.merged, t.journalRead, t.recordsStored = false, false, false
}

// count returns how many of the target's current witnesses are in a set.
func (t *takeover) count(set map[chestnutcleat.VMID]bool) int {
	n := 0
	for _, w := range t.target.Witnesses {
		if set[w.VM] {
			n++
		}
	}
	return n
}

// active reports whether a takeover is still running.
func (k *Keeper) active(t *takeover) bool {
	return k.takeovers[t.target.VM] == t && !k.left
}

func (k *Keeper) endTakeover(t *takeover) {
	if k.takeovers[t.target.VM] == t {
		delete(k.takeovers, t.target.VM)
	}
}

// advance drives a takeover; it runs every retryInterval until the takeover has ended.
func (k *Keeper) advance(t *takeover) {
	if !k.active(t) {
		return
	}
	if !t.committing && (!t.target.sameEpoch(k.fleet.member(t.target.VM)) || (k.own == nil && t.target.VM != k.Self.ID && len(t.target.Witnesses) > 0)) {
		k.endTakeover(t)
		k.endTemporary(t.target.VM)
		return
	}
	if m := k.fleet.member(t.target.VM); m != nil && !t.committing {
		t.target.Witnesses = m.Witnesses
	}
	if t.majorityAt.IsZero() && !t.committing && k.recovered(&t.target, time.Now()) {
		k.endTakeover(t)
		return
	}
	k.askPromises(t)
	k.tryNextStep(t)
	k.Loop.After(retryInterval, func() { k.advance(t) })
}

// recovered reports whether the target of a takeover is live and renews its lease; it was unknown to gossip or partitioned
// when the takeover began. Its witnesses never promise, so the takeover would ask them forever.
func (k *Keeper) recovered(m *Member, now time.Time) bool {
	if m.VM == k.Self.ID || !k.isLive(m.VM, m.Incarnation) {
		return false
	}
	return !m.hasWitness(k.Self.ID) || now.Sub(k.renewedAt(m)) <= renewalTimeout
}

func (k *Keeper) askPromises(t *takeover) {
	for _, w := range t.target.Witnesses {
		if t.promisedBy[w.VM] {
			continue
		}
		if k.hasEnded(w) {
			t.promisedBy[w.VM] = true
			continue
		}
		r := PromiseRequest{Subject: t.target, Holder: k.Self.ID, Epoch: t.epoch, Version: k.version}
		call(k, w.VM, chestnutcleat.MethodPromise, r, func(a PromiseReply, err error) {
			if err == nil && k.active(t) {
				k.handlePromiseReply(t, w, r.Epoch, a)
			}
		})
	}
}

func (k *Keeper) handlePromiseReply(t *takeover, w Witness, e chestnutcleat.Epoch, a PromiseReply) {
	if e != t.epoch || t.promisedBy[w.VM] {
		return
	}
	if !a.Promised {
		// Another coordinator was promised this epoch or a higher one; it may have died since.
		if a.Epoch >= t.epoch && a.RetryAfter == 0 && !t.committing && k.temporary[t.target.VM] == nil && k.Rand.IntN(4) == 0 {
			t.epoch = a.Epoch + 1
			t.reset()
		}
		return
	}
	t.promisedBy[w.VM] = true
	if !a.MissingRecords && a.Incarnation == w.Incarnation {
		t.completeWitnesses[w.VM] = true
	}
	if !t.merged {
		merge(t.entries, a.Entries)
	}
	k.tryNextStep(t)
}

// tryNextStep performs the next step whose preconditions are met.
func (k *Keeper) tryNextStep(t *takeover) {
	if t.count(t.promisedBy) < t.target.quorum() && len(t.target.Witnesses) > 0 {
		return
	}
	if t.majorityAt.IsZero() {
		t.majorityAt = time.Now()
	}
	recordsComplete := t.count(t.completeWitnesses) >= t.target.quorum()
	if !t.merged && !recordsComplete && t.count(t.promisedBy) < len(t.target.Witnesses) && time.Since(t.majorityAt) < 3*retryInterval {
		return
	}
	if !t.merged && !recordsComplete && !t.journalRead {
		k.readJournal(t)
		if time.Since(t.majorityAt) < temporaryOwnershipDelay || len(t.target.Witnesses) == 0 {
			return
		}
	}
	if !t.merged {
		t.merged = true
		t.transfer = chestnutcleat.Transfer{Lost: true, Incomplete: !recordsComplete}
		if !recordsComplete {
			k.emit(event.LeaseIncomplete, "member", t.target.VM)
		}
	}
	k.commitTakeover(t)
	// A set of fewer witnesses may have grown without this VM's knowledge, so this VM can't rely on it in an outage.
	if k.temporary[t.target.VM] == nil && time.Since(t.majorityAt) > temporaryOwnershipDelay && len(t.target.Witnesses) == maxWitnesses {
		k.startTemporary(t)
	}
}

// readJournal merges the target's journal object.
func (k *Keeper) readJournal(t *takeover) {
	if t.readingJournal {
		return
	}
	t.readingJournal = true
	// The takeover belongs to the control goroutine, which changes the target's witnesses while the journal is read.
	target := t.target
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) ([]Entry, error) {
		return readJournal(ctx, k.Platform, target)
	}, func(list []Entry, err error) {
		t.readingJournal = false
		if err != nil && !errors.Is(err, chestnutcleat.ErrNotFound) {
			return
		}
		t.journalRead = true
		if !t.merged {
			merge(t.entries, list)
		}
	})
}

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
