package lease

import (
	"context"
	"errors"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// temporaryAfter is how long a takeover waits for the platform before it starts temporary ownership.
const temporaryAfter = time.Second

// selfTime is how long a VM that lost its lease leaves the takeover to others.
const selfTime = 4 * time.Second

// takeover is the coordinator's state for one VM whose slots it takes.
type takeover struct {
	target   Member
	epoch    chestnutcleat.Epoch
	promises map[chestnutcleat.VMID]bool
	// full are the promising witnesses that hold all records.
	full     map[chestnutcleat.VMID]bool
	entries  map[entryKey]Entry
	promised time.Time
	transfer chestnutcleat.Transfer
	merged   bool
	reading  bool
	read     bool
	staged   bool
	writing  bool
	began    time.Time
}

// scan starts the takeovers that are this VM's task.
func (k *Keeper) scan() {
	if k.fleet == nil || k.leaving != nil {
		return
	}
	now := time.Now()
	if k.own == nil {
		k.scanSelf(now)
		return
	}
	// Without a lease of its own a VM does not fence others, unless the lease may depend on VMs that died.
	ok := k.valid(now)
	dead := ok || len(k.fleet.Members) <= maxWitnesses || now.Sub(k.validAt) > lapseTime
	live := map[chestnutcleat.VMID]bool{}
	for _, v := range k.Members() {
		if m := k.fleet.member(v.ID); m != nil && m.Incarnation == v.Process() && v.State != chestnutcleat.VMGone {
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
		if (dead && !live[m.VM] && choose("takeover "+string(m.VM), candidates) == k.Self.ID) || (ok && k.lapsed(&m, live, now)) {
			k.beginTakeover(m)
		}
	}
}

// scanSelf takes over this VM's own slots under a new epoch if no other VM did, as all may have lost their leases or restarted.
func (k *Keeper) scanSelf(now time.Time) {
	m := k.fleet.member(k.Self.ID)
	if m != nil && m.Incarnation < k.Self.Incarnation && now.Sub(k.started) > selfTime+k.jitter(selfTime) {
		k.beginTakeover(*m)
		return
	}
	if m != nil && m.Incarnation == k.Self.Incarnation && !k.lostAt.IsZero() && now.Sub(k.lostAt) > selfTime+k.jitter(selfTime) {
		k.beginTakeover(*m)
	}
}

// lapsed reports whether this VM is the witness whose task it is to take over a VM that no longer renews.
func (k *Keeper) lapsed(m *Member, live map[chestnutcleat.VMID]bool, now time.Time) bool {
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
	return now.Sub(k.renewedAt(m)) > lapseTime+time.Duration(rank)*2*time.Second
}

// renewedAt is when the last grant of this witness to a VM ended, or when this VM learned that it is a witness.
func (k *Keeper) renewedAt(m *Member) time.Time {
	last := k.learned[m.VM]
	if g := k.grants[m.VM]; g != nil && g.epoch >= m.Epoch && g.until.After(last) {
		last = g.until
	}
	return last
}

func (k *Keeper) beginTakeover(m Member) {
	if k.takeovers[m.VM] != nil {
		return
	}
	t := &takeover{target: m, epoch: m.Epoch + 1, began: time.Now()}
	k.takeovers[m.VM] = t
	t.reset()
	k.advance(t)
}

func (t *takeover) reset() {
	t.promises = map[chestnutcleat.VMID]bool{}
	t.full = map[chestnutcleat.VMID]bool{}
	t.entries = map[entryKey]Entry{}
	t.promised = time.Time{}
	t.merged, t.read, t.staged = false, false, false
}

// count returns how many of the target's present witnesses are in a set.
func (t *takeover) count(set map[chestnutcleat.VMID]bool) int {
	n := 0
	for _, w := range t.target.Witnesses {
		if set[w.VM] {
			n++
		}
	}
	return n
}

// active reports whether a takeover still makes sense.
func (k *Keeper) active(t *takeover) bool {
	return k.takeovers[t.target.VM] == t && !k.left
}

func (k *Keeper) endTakeover(t *takeover) {
	if k.takeovers[t.target.VM] == t {
		delete(k.takeovers, t.target.VM)
	}
}

// advance runs every retryInterval until the takeover has ended.
func (k *Keeper) advance(t *takeover) {
	if !k.active(t) {
		return
	}
	if !t.writing && (!t.target.same(k.fleet.member(t.target.VM)) || (k.own == nil && t.target.VM != k.Self.ID && len(t.target.Witnesses) > 0)) {
		k.endTakeover(t)
		k.endTemporary(t.target.VM)
		return
	}
	if m := k.fleet.member(t.target.VM); m != nil && !t.writing {
		t.target.Witnesses = m.Witnesses
	}
	if t.promised.IsZero() && !t.writing && k.recovered(&t.target, time.Now()) {
		k.endTakeover(t)
		return
	}
	k.askPromises(t)
	k.consider(t)
	k.Loop.After(retryInterval, func() { k.advance(t) })
}

// recovered reports whether a VM whose takeover began lives and renews its lease: it was not known to gossip yet, or cut
// off for a while. Its witnesses never promise, so the takeover would ask them for ever.
func (k *Keeper) recovered(m *Member, now time.Time) bool {
	if m.VM == k.Self.ID || !k.live(m.VM, m.Incarnation) {
		return false
	}
	return !m.has(k.Self.ID) || now.Sub(k.renewedAt(m)) <= lapseTime
}

func (k *Keeper) askPromises(t *takeover) {
	for _, w := range t.target.Witnesses {
		if t.promises[w.VM] {
			continue
		}
		if k.isGone(w) {
			t.promises[w.VM] = true
			continue
		}
		r := PromiseRequest{Subject: t.target, Holder: k.Self.ID, Epoch: t.epoch, Version: k.version}
		call(k, w.VM, chestnutcleat.MethodPromise, r, func(a PromiseReply, err error) {
			if err == nil && k.active(t) {
				k.promised(t, w, r.Epoch, a)
			}
		})
	}
}

func (k *Keeper) promised(t *takeover, w Witness, e chestnutcleat.Epoch, a PromiseReply) {
	if e != t.epoch || t.promises[w.VM] {
		return
	}
	if !a.Promised {
		// Another coordinator was promised a higher epoch; it may have died since.
		if a.Epoch >= t.epoch && a.Wait == 0 && !t.writing && k.temporary[t.target.VM] == nil && k.Rand.IntN(4) == 0 {
			t.epoch = a.Epoch + 1
			t.reset()
		}
		return
	}
	t.promises[w.VM] = true
	if !a.Blank && a.Incarnation == w.Incarnation {
		t.full[w.VM] = true
	}
	if !t.merged {
		merge(t.entries, a.Entries)
	}
	k.consider(t)
}

// consider takes the next step that is possible.
func (k *Keeper) consider(t *takeover) {
	if t.count(t.promises) < t.target.quorum() && len(t.target.Witnesses) > 0 {
		return
	}
	if t.promised.IsZero() {
		t.promised = time.Now()
	}
	full := t.count(t.full) >= t.target.quorum()
	if !t.merged && !full && t.count(t.promises) < len(t.target.Witnesses) && time.Since(t.promised) < 3*retryInterval {
		return
	}
	if !t.merged && !full && !t.read {
		k.readJournal(t)
		if time.Since(t.promised) < temporaryAfter || len(t.target.Witnesses) == 0 {
			return
		}
	}
	if !t.merged {
		t.merged = true
		t.transfer = chestnutcleat.Transfer{Lost: true, Incomplete: !full}
		if !full {
			k.emit(event.LeaseIncomplete, "member", t.target.VM)
		}
	}
	k.commitTakeover(t)
	// With fewer witnesses a set may grow unknown to this VM, so that its view cannot be trusted in an outage.
	if k.temporary[t.target.VM] == nil && time.Since(t.promised) > temporaryAfter && len(t.target.Witnesses) == maxWitnesses {
		k.startTemporary(t)
	}
}

// readJournal merges the target's journal object.
func (k *Keeper) readJournal(t *takeover) {
	if t.reading {
		return
	}
	t.reading = true
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) ([]Entry, error) {
		return readJournal(ctx, k.Platform, t.target)
	}, func(list []Entry, err error) {
		t.reading = false
		if err != nil && !errors.Is(err, chestnutcleat.ErrNotFound) {
			return
		}
		t.read = true
		if !t.merged {
			merge(t.entries, list)
		}
	})
}

// commitTakeover stores the records with this VM's witnesses and moves the slots.
func (k *Keeper) commitTakeover(t *takeover) {
	if t.writing {
		return
	}
	t.writing = true
	slots := k.fleet.slots(t.target.VM)
	again := func() { t.writing = false }
	if k.own == nil {
		k.writeTakeover(t, again)
		return
	}
	if !t.staged {
		k.own.store.replace(slots, recordsOf(t.entries))
		t.staged = true
	}
	own := k.own
	if own.subject.has(t.target.VM) && len(own.subject.Witnesses) < maxWitnesses {
		// The target is needed for a majority until it is removed; its other witnesses hold the records.
		k.writeTakeover(t, again)
		return
	}
	k.appendTo([]*hold{own}, func(err error) {
		// Without a lease the majority may be dead; the records then follow once the commit has named new witnesses.
		if (err != nil && k.valid(time.Now())) || k.own != own || !k.active(t) {
			again()
			return
		}
		k.writeTakeover(t, again)
	})
}

func (k *Keeper) writeTakeover(t *takeover, again func()) {
	var epoch chestnutcleat.Epoch
	var slots []chestnutcleat.Slot
	own := k.own
	u := &update{}
	u.mutate = func(f *Fleet) bool {
		if k.own != own || !t.target.same(f.member(t.target.VM)) {
			return false
		}
		t.target.Witnesses = slices.Clone(f.member(t.target.VM).Witnesses)
		// The promises must come from a majority of the witnesses that this version names.
		if t.count(t.promises) < t.target.quorum() && len(t.target.Witnesses) > 0 {
			return false
		}
		slots = f.slots(t.target.VM)
		epoch = f.next(t.epoch)
		f.remove(t.target.VM)
		if own == nil {
			f.Members = append(f.Members, k.me())
			me := f.member(k.Self.ID)
			me.Epoch = epoch
			f.fill(me, maxWitnesses, epoch, true)
		}
		for _, s := range slots {
			f.Owners[s] = holding{k.Self.ID, epoch}
		}
		return true
	}
	u.sending = func(*Fleet) {
		for _, s := range slots {
			delete(k.staged, s)
		}
	}
	u.done = func(ok bool) {
		again()
		if !ok {
			return
		}
		k.takenOver(t, own == nil, epoch, slots)
	}
	k.update(u)
}

// takenOver serves the slots once no other VM can act for the target.
func (k *Keeper) takenOver(t *takeover, joined bool, e chestnutcleat.Epoch, slots []chestnutcleat.Slot) {
	k.endTakeover(t)
	k.emit(event.LeaseTakeover, "member", t.target.VM, "slots", len(slots))
	if joined {
		k.joined(e)
	}
	h := k.temporary[t.target.VM]
	delete(k.temporary, t.target.VM)
	if k.own == nil {
		for _, s := range slots {
			k.drop(s)
		}
		return
	}
	if joined {
		k.own.store.replace(slots, recordsOf(t.entries))
		k.pushAll(k.own)
	}
	if h != nil {
		k.emit(event.LeaseTemporaryEnd, "member", t.target.VM)
	}
	fresh := slices.DeleteFunc(slices.Clone(slots), func(s chestnutcleat.Slot) bool { return h != nil && k.slots[s] == slotMoving })
	for _, s := range fresh {
		k.drop(s)
		k.slots[s] = slotImporting
	}
	k.confirm(&confirmation{subject: t.target, epoch: t.epoch, slots: slots, entries: t.entries, transfer: t.transfer, version: k.version})
}
