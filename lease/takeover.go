package lease

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// temporaryOwnershipDelay is how long a takeover waits for the platform before this VM becomes temporary owner.
const temporaryOwnershipDelay = time.Second

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
