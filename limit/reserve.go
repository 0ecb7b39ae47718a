package limit

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// maxExportedIDs is the largest number of request ids that a graceful handover transfers per customer.
const maxExportedIDs = 2000

func (l *Limiter) reserveSize(a *account) float64 {
	return max(minReserve, a.confirmed.rate*reserveWindow.Seconds())
}

// storeReservation stores a new reservation. Admissions while it is being stored count against both the old and the new
// one, so that a new owner never grants a token twice, whichever of them it finds.
func (l *Limiter) storeReservation(a *account) {
	if a.pendingReservation != nil || a.frozen || a.dropped {
		return
	}
	now := time.Now()
	a.refill(now)
	size := max(l.reserveSize(a)+a.queued(), a.reservedLeft)
	a.pendingReservation = &size
	r := a.record(now)
	r.Reserved = size
	l.Journal.Append([]chestnutcleat.Record{a.encode(r)}, func(err error) {
		l.reservationStored(a, r.Tokens, err)
	})
}

func (l *Limiter) reservationStored(a *account, tokens float64, err error) {
	if a.dropped || a.pendingReservation == nil {
		return
	}
	size := *a.pendingReservation
	a.pendingReservation = nil
	if err != nil {
		l.emit(event.ReservationFailed, "customer", a.id, "error", err)
		l.Loop.After(reserveBackoff, func() { l.admitQueued(a) })
		return
	}
	a.reservedLeft = size
	a.storedTokens = tokens
	l.scheduleRecord(a)
	l.admitQueued(a)
}

// scheduleRecord stores a new record every reserveWindow while the bucket refills. Otherwise a new owner would know only
// the tokens at the last request, and an idle customer would wait for tokens that it already has.
func (l *Limiter) scheduleRecord(a *account) {
	if a.dropped || a.frozen || a.recordTimer != nil || a.storedTokens >= a.confirmed.burst-rounding {
		return
	}
	a.recordTimer = l.Loop.After(reserveWindow, func() {
		a.recordTimer = nil
		a.refill(time.Now())
		full := a.confirmed.tokens >= a.confirmed.burst-rounding
		if full || a.confirmed.tokens >= a.storedTokens+l.reserveSize(a)/2 {
			l.storeReservation(a)
		}
		l.scheduleRecord(a)
	})
}

func (a *account) record(now time.Time) record {
	return record{
		Customer:    string(a.id),
		Tokens:      a.confirmed.tokens,
		Unconfirmed: a.unconfirmed,
		Rate:        a.confirmed.rate,
		Burst:       a.confirmed.burst,
		At:          now,
	}
}

func (a *account) encode(r record) chestnutcleat.Record {
	a.sequence++
	data, _ := json.Marshal(r)
	return chestnutcleat.Record{Slot: a.slot, Name: recordPrefix + string(a.id), Sequence: a.sequence, Data: data}
}

// Import implements chestnutcleat.SlotState.
func (l *Limiter) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	l.Drop(s)
	if t.Incomplete {
		if l.incompleteSlots == nil {
			l.incompleteSlots = make(map[chestnutcleat.Slot]bool)
		}
		l.incompleteSlots[s] = true
	}
	now := time.Now()
	for _, r := range records {
		if len(r.Name) < len(recordPrefix) || r.Name[:len(recordPrefix)] != recordPrefix || r.Deleted {
			continue
		}
		id := chestnutcleat.CustomerID(r.Name[len(recordPrefix):])
		if old, ok := l.accounts[id]; ok && old.sequence >= r.Sequence {
			continue
		}
		l.put(l.restore(id, r, t, now))
	}
	for _, a := range l.accounts {
		if a.slot == s {
			l.storeReservation(a)
		}
	}
}

// restore builds an account from its record. The clock of the VM that wrote it may differ, so the refill since then is
// added only to the unconfirmed tokens. The lost owner's bucket was never below zero, so the restored one is not either.
func (l *Limiter) restore(id chestnutcleat.CustomerID, r chestnutcleat.Record, t chestnutcleat.Transfer, now time.Time) *account {
	a := newAccount(id)
	a.sequence = r.Sequence
	var v record
	if err := json.Unmarshal(r.Data, &v); err != nil {
		l.emit(event.LimitRecordInvalid, "customer", id, "error", err)
		t.Incomplete = true
		c, _ := l.Customer(id)
		v = record{Rate: c.Rate, Burst: c.Burst, Unconfirmed: c.Burst, At: now}
	}
	a.confirmed = bucket{tokens: v.Tokens, rate: v.Rate, burst: v.Burst, refilledAt: now}
	if t.Lost {
		a.confirmed.tokens = max(0, v.Tokens-v.Reserved)
		l.emit(event.ReservationLost, "customer", id, "reserved", v.Reserved)
	}
	if t.Incomplete {
		a.confirmed.tokens = 0
	}
	elapsed := max(0, now.Sub(v.At))
	a.unconfirmed = v.Tokens + v.Unconfirmed + v.Rate*elapsed.Seconds() - a.confirmed.tokens
	a.refill(now)
	a.usage = counter{value: v.Usage, at: now}
	for _, e := range v.Recent {
		a.recent.add(e.ID, e.At)
	}
	return a
}

// Export implements chestnutcleat.SlotState. Later requests are queued until Drop, which redirects them to the next owner, or
// Resume.
func (l *Limiter) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	now := time.Now()
	var out []chestnutcleat.Record
	for _, a := range l.accounts {
		if a.slot != s {
			continue
		}
		a.refill(now)
		a.frozen = true
		r := a.record(now)
		r.Usage = a.usage.read(now)
		r.Recent = a.recent.last(maxExportedIDs)
		out = append(out, a.encode(r))
	}
	return out
}

// Resume implements chestnutcleat.SlotState. Requests that were queued since Export can be admitted again.
func (l *Limiter) Resume(s chestnutcleat.Slot) {
	for _, a := range l.accounts {
		if a.slot != s || !a.frozen {
			continue
		}
		a.frozen = false
		l.scheduleRecord(a)
		l.admitQueued(a)
	}
}

// Drop implements chestnutcleat.SlotState. Queued requests are redirected to the next owner.
func (l *Limiter) Drop(s chestnutcleat.Slot) {
	delete(l.incompleteSlots, s)
	for id, a := range l.accounts {
		if a.slot != s {
			continue
		}
		delete(l.accounts, id)
		a.dropped = true
		for _, w := range a.queue {
			w.reply(chestnutcleat.TakeReply{OwnerChanged: true})
		}
		a.queue = nil
	}
}
