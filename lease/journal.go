package lease

import (
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// appendTimeout is how long an append waits for a majority of witnesses.
const appendTimeout = 2 * time.Second

// Errors of Append.
var (
	// ErrNoLease reports that this VM may not act as the owner of the records' slots.
	ErrNoLease = errors.New("no valid lease for the records' slots")
	// ErrNoMajority reports that no majority of witnesses has confirmed the records; they may still survive.
	ErrNoMajority = errors.New("records not confirmed by a majority of witnesses")
)

// journal is the state of the records that wait for their witnesses and for the platform.
type journal struct {
	waiters []*appendWaiter
	flush   flushState
}

// appendWaiter is an append that is not confirmed yet.
type appendWaiter struct {
	holds    []*hold
	stamps   []Stamp
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
	holds := []*hold{k.own}
	seen := map[*hold]bool{}
	urgent := false
	for _, r := range records {
		k.own.store.put(r)
		urgent = urgent || r.Urgent
		if h := k.temporary[k.fleet.Owners[r.Slot].VM]; h != nil {
			h.store.put(r)
			if !seen[h] {
				seen[h] = true
				holds = append(holds, h)
			}
		}
	}
	k.markDirty(urgent)
	k.appendTo(holds, done)
}

// appendTo waits until majorities of the holds' witnesses hold all records.
func (k *Keeper) appendTo(holds []*hold, done func(error)) {
	w := &appendWaiter{holds: holds, deadline: time.Now().Add(appendTimeout), done: done}
	for _, h := range holds {
		w.stamps = append(w.stamps, h.store.stamp)
	}
	k.journal.waiters = append(k.journal.waiters, w)
	for _, h := range holds {
		k.pushAll(h)
	}
	k.resolveAppends()
}

func (k *Keeper) pushAll(h *hold) {
	for _, w := range h.targets() {
		k.push(h, w)
	}
	if h.alone() && h == k.own {
		k.markDirty(true)
	}
}

// push sends a witness the records that it lacks, one request at a time.
func (k *Keeper) push(h *hold, w Witness) {
	p := h.peer(w.VM)
	if p.sending || (p.synced && p.acked >= h.store.stamp) {
		return
	}
	p.sending = true
	r := AppendRequest{Subject: h.subject.VM, Holder: k.Self.ID, Epoch: h.epoch, From: p.acked, To: h.store.stamp, Trim: h.trim()}
	if !p.synced {
		r.From = 0
	}
	r.Entries = h.store.since(r.From)
	call(k, w.VM, chestnutcleat.MethodAppend, r, func(a AppendReply, err error) {
		p.sending = false
		if err != nil || a.Incarnation != w.Incarnation || !k.holds(h) {
			return
		}
		if a.Blank {
			p.synced, p.acked = false, 0
			k.push(h, w)
		}
		if !a.Held {
			return
		}
		p.synced, p.acked = true, max(p.acked, r.To)
		h.store.trim(h.trim())
		k.resolveAppends()
		k.push(h, w)
	})
}

// safe reports whether the records of a hold survive its holder.
func (k *Keeper) safe(h *hold, s Stamp) bool {
	if h == k.own && h.alone() {
		return k.journal.flush.stamp >= s
	}
	return h.stored(s)
}

// resolveAppends answers the appends that are confirmed.
func (k *Keeper) resolveAppends() {
	var done []*appendWaiter
	rest := k.journal.waiters[:0:0]
	for _, w := range k.journal.waiters {
		ok := true
		for i, h := range w.holds {
			ok = ok && k.safe(h, w.stamps[i])
		}
		if ok {
			done = append(done, w)
		} else {
			rest = append(rest, w)
		}
	}
	k.journal.waiters = rest
	for _, w := range done {
		if !k.valid(time.Now()) {
			w.done(ErrNoLease)
			continue
		}
		w.done(nil)
	}
}

// failAppends answers the appends that wait for a lost lease.
func (k *Keeper) failAppends(h *hold) {
	k.endAppends(ErrNoLease, func(w *appendWaiter) bool {
		for _, o := range w.holds {
			if o == h {
				return true
			}
		}
		return false
	})
}

// expireAppends answers the appends that waited too long.
func (k *Keeper) expireAppends(now time.Time) {
	k.endAppends(ErrNoMajority, func(w *appendWaiter) bool { return now.After(w.deadline) })
}

func (k *Keeper) endAppends(err error, which func(*appendWaiter) bool) {
	var ended []*appendWaiter
	rest := k.journal.waiters[:0:0]
	for _, w := range k.journal.waiters {
		if which(w) {
			ended = append(ended, w)
		} else {
			rest = append(rest, w)
		}
	}
	k.journal.waiters = rest
	for _, w := range ended {
		w.done(err)
	}
}
