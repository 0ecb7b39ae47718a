package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// grant is the state that this VM keeps as a witness of another one.
type grant struct {
	epoch     chestnutcleat.Epoch
	holder    chestnutcleat.VMID
	expiresAt time.Time
	// version is the highest fleet version that a holder has sent; minVersion is the lowest accepted from a holder
	// other than the subject.
	version    chestnutcleat.Version
	minVersion chestnutcleat.Version
	// temporaryHolder is the temporary owner that renewed last.
	temporaryHolder chestnutcleat.VMID
	// complete is false while records may be missing.
	complete    bool
	storedIndex LogIndex
	entries     map[entryKey]Entry
}

func (k *Keeper) grant(id chestnutcleat.VMID) *grant {
	g := k.grants[id]
	if g == nil {
		g = &grant{entries: map[entryKey]Entry{}}
		k.grants[id] = g
	}
	return g
}

// authorize reports whether holder may act for subject at an epoch; higher is set if a higher epoch, or the same one for
// another VM, was promised.
func (g *grant) authorize(subject, holder chestnutcleat.VMID, e chestnutcleat.Epoch, now time.Time) (ok, higher bool) {
	if e < g.epoch || (e == g.epoch && holder != g.holder) {
		return false, true
	}
	if holder != g.holder && now.Before(g.expiresAt) {
		return false, false
	}
	if e > g.epoch {
		g.epoch, g.holder = e, holder
		if holder == subject {
			g.complete, g.storedIndex, g.temporaryHolder = false, 0, ""
			clear(g.entries)
		}
	}
	return true, false
}

// mayGrant reports whether this VM may grant leases: it must know that it has not been fenced.
func (k *Keeper) mayGrant(now time.Time) bool {
	return !k.left && k.own != nil && (k.valid(now) || elapsedUnder(k.memberReadSentAt, now, leaseDuration))
}

func (k *Keeper) onRenew(r RenewRequest) RenewReply {
	now := time.Now()
	a := RenewReply{Incarnation: k.Self.Incarnation}
	if !k.mayGrant(now) {
		return a
	}
	g := k.grant(r.Subject)
	if r.Holder != r.Subject && r.Version < g.minVersion {
		return a
	}
	if r.Holder != r.Subject && (r.Epoch != g.epoch || r.Holder != g.holder) {
		a.PromisedHigher = r.Epoch <= g.epoch
		return a
	}
	ok, higher := g.authorize(r.Subject, r.Holder, r.Epoch, now)
	if !ok {
		a.PromisedHigher = higher
		return a
	}
	g.expiresAt = now.Add(leaseDuration)
	g.version = max(g.version, r.Version)
	if r.Holder != r.Subject {
		g.temporaryHolder = r.Holder
	}
	a.Granted = true
	a.MissingRecords = !g.complete || g.storedIndex < r.StoredIndex
	return a
}

func (k *Keeper) onAppend(r AppendRequest) AppendReply {
	a := AppendReply{Incarnation: k.Self.Incarnation}
	g := k.grant(r.Subject)
	if ok, _ := g.authorize(r.Subject, r.Holder, r.Epoch, time.Now()); !ok {
		return a
	}
	if r.After > 0 && (!g.complete || r.After > g.storedIndex) {
		a.MissingRecords = true
		return a
	}
	a.Stored = true
	// A delayed request must not overwrite newer records.
	if g.complete && r.To < g.storedIndex {
		return a
	}
	if r.After == 0 {
		clear(g.entries)
	}
	for _, e := range r.Entries {
		g.entries[e.key()] = e
	}
	for key, e := range g.entries {
		if e.Record.Deleted && e.Index <= r.TrimTo {
			delete(g.entries, key)
		}
	}
	g.storedIndex, g.complete = r.To, true
	return a
}

func (k *Keeper) onPromise(r PromiseRequest) PromiseReply {
	now := time.Now()
	g := k.grant(r.Subject.VM)
	if g.epoch < r.Subject.Epoch {
		g.complete, g.storedIndex = false, 0
		clear(g.entries)
	}
	// A witness that may have been fenced may lack the owner's newest records.
	a := PromiseReply{Incarnation: k.Self.Incarnation, MissingRecords: !g.complete || !k.mayGrant(now)}
	if r.Confirm {
		return k.onConfirm(g, r, a, now)
	}
	a.Epoch = g.epoch
	if r.Version < g.minVersion || r.Epoch < g.epoch || (r.Epoch == g.epoch && r.Holder != g.holder) {
		return a
	}
	until := k.unknownGrantsEnd(r.Subject, now)
	if r.Holder != g.holder && g.expiresAt.After(until) {
		until = g.expiresAt
	}
	if now.Before(until) {
		a.RetryAfter = until.Sub(now)
		return a
	}
	if r.Epoch > g.epoch {
		g.epoch, g.holder = r.Epoch, r.Holder
	}
	a.Promised, a.Epoch = true, g.epoch
	a.Entries = g.entryList()
	return a
}

// onConfirm raises minVersion, so that from now on no VM with an older version of the fleet object acts for the subject.
func (k *Keeper) onConfirm(g *grant, r PromiseRequest, a PromiseReply, now time.Time) PromiseReply {
	g.minVersion = max(g.minVersion, r.Version)
	a.OtherHolder = g.temporaryHolder != "" && g.temporaryHolder != r.Holder
	if a.OtherHolder && now.Before(g.expiresAt) && g.version < r.Version {
		a.RetryAfter = g.expiresAt.Sub(now)
		return a
	}
	a.Promised, a.Epoch = true, g.epoch
	if a.OtherHolder {
		a.Entries = g.entryList()
	}
	return a
}

// unknownGrantsEnd returns when all grants that this witness may not know of have expired.
func (k *Keeper) unknownGrantsEnd(m Member, now time.Time) time.Time {
	for _, w := range m.Witnesses {
		if w.VM != k.Self.ID {
			continue
		}
		if w.Incarnation != k.Self.Incarnation {
			return k.started.Add(staleGrantTimeout)
		}
		if w.AddedAt == m.Epoch {
			return time.Time{}
		}
		if k.witnessSince[m.VM].IsZero() {
			k.witnessSince[m.VM] = now
		}
		return k.witnessSince[m.VM].Add(staleGrantTimeout)
	}
	return now.Add(staleGrantTimeout)
}

func (g *grant) entryList() []Entry {
	list := make([]Entry, 0, len(g.entries))
	for _, e := range g.entries {
		list = append(list, e)
	}
	return list
}
