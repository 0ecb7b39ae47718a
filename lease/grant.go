package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// grant is what this VM keeps as witness of another one.
type grant struct {
	epoch  chestnutcleat.Epoch
	holder chestnutcleat.VMID
	until  time.Time
	// version is the fleet version that the holder last named; floor is the lowest that is accepted from others than the subject.
	version chestnutcleat.Version
	floor   chestnutcleat.Version
	// foreign is the temporary owner that last renewed.
	foreign chestnutcleat.VMID
	// synced is false while records may be missing.
	synced  bool
	held    Stamp
	entries map[entryKey]Entry
}

func (k *Keeper) grant(id chestnutcleat.VMID) *grant {
	g := k.grants[id]
	if g == nil {
		g = &grant{entries: map[entryKey]Entry{}}
		k.grants[id] = g
	}
	return g
}

// admit reports whether holder may act for subject at an epoch; higher is set if another VM was promised a higher one.
func (g *grant) admit(subject, holder chestnutcleat.VMID, e chestnutcleat.Epoch, now time.Time) (ok, higher bool) {
	if e < g.epoch || (e == g.epoch && holder != g.holder) {
		return false, true
	}
	if holder != g.holder && now.Before(g.until) {
		return false, false
	}
	if e > g.epoch {
		g.epoch, g.holder = e, holder
		if holder == subject {
			g.synced, g.held, g.foreign = false, 0, ""
			clear(g.entries)
		}
	}
	return true, false
}

// vouched reports whether this VM is known not to be fenced, so that it may grant leases.
func (k *Keeper) vouched(now time.Time) bool {
	return !k.left && k.own != nil && (k.valid(now) || fresh(k.readSent, now, leaseDuration))
}

func (k *Keeper) onRenew(r RenewRequest) RenewReply {
	now := time.Now()
	a := RenewReply{Incarnation: k.Self.Incarnation}
	if !k.vouched(now) {
		return a
	}
	g := k.grant(r.Subject)
	if r.Holder != r.Subject && r.Version < g.floor {
		return a
	}
	if r.Holder != r.Subject && (r.Epoch != g.epoch || r.Holder != g.holder) {
		a.Promised = r.Epoch <= g.epoch
		return a
	}
	ok, higher := g.admit(r.Subject, r.Holder, r.Epoch, now)
	if !ok {
		a.Promised = higher
		return a
	}
	g.until = now.Add(leaseDuration)
	g.version = max(g.version, r.Version)
	if r.Holder != r.Subject {
		g.foreign = r.Holder
	}
	a.Granted = true
	a.Blank = !g.synced || g.held < r.Held
	return a
}

func (k *Keeper) onAppend(r AppendRequest) AppendReply {
	a := AppendReply{Incarnation: k.Self.Incarnation}
	g := k.grant(r.Subject)
	if ok, _ := g.admit(r.Subject, r.Holder, r.Epoch, time.Now()); !ok {
		return a
	}
	if r.From > 0 && (!g.synced || r.From > g.held) {
		a.Blank = true
		return a
	}
	a.Held = true
	// A delayed request must not replace newer records.
	if g.synced && r.To < g.held {
		return a
	}
	if r.From == 0 {
		clear(g.entries)
	}
	for _, e := range r.Entries {
		g.entries[e.key()] = e
	}
	for key, e := range g.entries {
		if e.Record.Deleted && e.Stamp <= r.Trim {
			delete(g.entries, key)
		}
	}
	g.held, g.synced = r.To, true
	return a
}

func (k *Keeper) onPromise(r PromiseRequest) PromiseReply {
	now := time.Now()
	g := k.grant(r.Subject.VM)
	if g.epoch < r.Subject.Epoch {
		g.synced, g.held = false, 0
		clear(g.entries)
	}
	// A witness that may be fenced may lack the owner's newest records.
	a := PromiseReply{Incarnation: k.Self.Incarnation, Blank: !g.synced || !k.vouched(now)}
	if r.Confirm {
		return k.onConfirm(g, r, a, now)
	}
	a.Epoch = g.epoch
	if r.Version < g.floor || r.Epoch < g.epoch || (r.Epoch == g.epoch && r.Holder != g.holder) {
		return a
	}
	until := k.quietAt(r.Subject, now)
	if r.Holder != g.holder && g.until.After(until) {
		until = g.until
	}
	if now.Before(until) {
		a.Wait = until.Sub(now)
		return a
	}
	if r.Epoch > g.epoch {
		g.epoch, g.holder = r.Epoch, r.Holder
	}
	a.Promised, a.Epoch = true, g.epoch
	a.Entries = g.list()
	return a
}

// onConfirm raises the floor, so that no VM with an older view of the fleet acts for the subject from now on.
func (k *Keeper) onConfirm(g *grant, r PromiseRequest, a PromiseReply, now time.Time) PromiseReply {
	g.floor = max(g.floor, r.Version)
	a.Foreign = g.foreign != "" && g.foreign != r.Holder
	if a.Foreign && now.Before(g.until) && g.version < r.Version {
		a.Wait = g.until.Sub(now)
		return a
	}
	a.Promised, a.Epoch = true, g.epoch
	if a.Foreign {
		a.Entries = g.list()
	}
	return a
}

// quietAt is when grants that this witness may not know of have ended.
func (k *Keeper) quietAt(m Member, now time.Time) time.Time {
	for _, w := range m.Witnesses {
		if w.VM != k.Self.ID {
			continue
		}
		if w.Incarnation != k.Self.Incarnation {
			return k.started.Add(settleTime)
		}
		if w.Named == m.Epoch {
			return time.Time{}
		}
		if k.learned[m.VM].IsZero() {
			k.learned[m.VM] = now
		}
		return k.learned[m.VM].Add(settleTime)
	}
	return now.Add(settleTime)
}

func (g *grant) list() []Entry {
	list := make([]Entry, 0, len(g.entries))
	for _, e := range g.entries {
		list = append(list, e)
	}
	return list
}
