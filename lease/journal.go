package lease

import (
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// appendTimeout is how long an append waits to be stored by a majority of the witnesses.
const appendTimeout = 2 * time.Second

// Errors of Append.
var (
	// ErrNoLease reports that this VM may not act as the owner of the records' slots.
	ErrNoLease = errors.New("no valid lease for the records' slots")
	// ErrNoMajority reports that no majority of witnesses has confirmed the records; they may still survive.
	ErrNoMajority = errors.New("records not confirmed by a majority of witnesses")
)

// journal tracks the appends that are not confirmed yet and the writes of the journal object.
type journal struct {
	pending []*pendingAppend
	flush   flushState
}

// pendingAppend is an append that is not confirmed yet.
type pendingAppend struct {
	leases   []*heldLease
	indexes  []LogIndex
	deadline time.Time
	done     func(error)
}

// Append implements chestnutcleat.Journal.
func (k *Keeper) Append(records []chestnutcleat.Record, done func(error)) {
	if !k.valid(time.Now()) {
		done(ErrNoLease)
		return
	}
	for _, r := range records {
		if !k.serves(r.Slot) {
			done(ErrNoLease)
			return
		}
	}
	leases := []*heldLease{k.own}
	seen := map[*heldLease]bool{}
	urgent := false
	for _, r := range records {
		k.own.store.put(r)
		urgent = urgent || r.Urgent
		if h := k.temporary[k.fleet.Owners[r.Slot].VM]; h != nil {
			h.store.put(r)
			if !seen[h] {
				seen[h] = true
				leases = append(leases, h)
			}
		}
	}
	k.scheduleFlush(urgent)
	k.replicate(leases, done)
}

// replicate calls done once a majority of each lease's witnesses has stored all its records.
func (k *Keeper) replicate(leases []*heldLease, done func(error)) {
	pending := &pendingAppend{leases: leases, deadline: time.Now().Add(appendTimeout), done: done}
	for _, h := range leases {
		pending.indexes = append(pending.indexes, h.store.lastIndex)
	}
	k.journal.pending = append(k.journal.pending, pending)
	for _, h := range leases {
		k.sendRecordsToAll(h)
	}
	k.resolveAppends()
}

func (k *Keeper) sendRecordsToAll(h *heldLease) {
	for _, w := range h.allWitnesses() {
		k.sendRecords(h, w)
	}
	if h.withoutWitnesses() && h == k.own {
		k.scheduleFlush(true)
	}
}

// sendRecords sends a witness the entries that it lacks, with at most one request outstanding.
func (k *Keeper) sendRecords(h *heldLease, w Witness) {
	state := h.witnessState(w.VM)
	if state.sending || (state.complete && state.ackedIndex >= h.store.lastIndex) {
		return
	}
	state.sending = true
	r := AppendRequest{Subject: h.subject.VM, Holder: k.Self.ID, Epoch: h.epoch, After: state.ackedIndex, To: h.store.lastIndex, TrimTo: h.trimIndex()}
	if !state.complete {
		r.After = 0
	}
	r.Entries = h.store.entriesAfter(r.After)
	call(k, w.VM, chestnutcleat.MethodAppend, r, func(a AppendReply, err error) {
		state.sending = false
		if err != nil || a.Incarnation != w.Incarnation || !k.isHeld(h) {
			return
		}
		if a.MissingRecords {
			state.complete, state.ackedIndex = false, 0
			k.sendRecords(h, w)
		}
		if !a.Stored {
			return
		}
		state.complete, state.ackedIndex = true, max(state.ackedIndex, r.To)
		h.store.trimDeleted(h.trimIndex())
		k.resolveAppends()
		k.sendRecords(h, w)
	})
}

// durable reports whether the records up to an index survive the loss of the lease's holder.
func (k *Keeper) durable(h *heldLease, index LogIndex) bool {
	if h == k.own && h.withoutWitnesses() {
		return k.journal.flush.flushedIndex >= index
	}
	return h.storedByMajority(index)
}

// resolveAppends completes the appends whose records are durable.
func (k *Keeper) resolveAppends() {
	var done []*pendingAppend
	remaining := k.journal.pending[:0:0]
	for _, pending := range k.journal.pending {
		ok := true
		for i, h := range pending.leases {
			ok = ok && k.durable(h, pending.indexes[i])
		}
		if ok {
			done = append(done, pending)
		} else {
			remaining = append(remaining, pending)
		}
	}
	k.journal.pending = remaining
	for _, pending := range done {
		if !k.valid(time.Now()) {
			pending.done(ErrNoLease)
			continue
		}
		pending.done(nil)
	}
}

// failAppends fails the appends that depend on a lost lease.
func (k *Keeper) failAppends(h *heldLease) {
	k.endAppends(ErrNoLease, func(pending *pendingAppend) bool {
		for _, o := range pending.leases {
			if o == h {
				return true
			}
		}
		return false
	})
}

// expireAppends fails the appends whose deadline has passed.
func (k *Keeper) expireAppends(now time.Time) {
	k.endAppends(ErrNoMajority, func(pending *pendingAppend) bool { return now.After(pending.deadline) })
}

func (k *Keeper) endAppends(err error, which func(*pendingAppend) bool) {
	var ended []*pendingAppend
	remaining := k.journal.pending[:0:0]
	for _, pending := range k.journal.pending {
		if which(pending) {
			ended = append(ended, pending)
		} else {
			remaining = append(remaining, pending)
		}
	}
	k.journal.pending = remaining
	for _, pending := range ended {
		pending.done(err)
	}
}
