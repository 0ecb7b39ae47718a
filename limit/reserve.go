package limit

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// maxCarried bounds the request ids that a graceful transfer carries.
const maxCarried = 2000

func (b *Book) reserveSize(a *account) float64 {
	return max(minReserve, a.strict.rate*reserveTime.Seconds())
}

// reserve stores a new reservation. Admissions between its snapshot and its acknowledgement count against both
// the old and the new one, so a successor that finds either is on the safe side.
func (b *Book) reserve(a *account) {
	if a.pending != nil || a.frozen || a.gone {
		return
	}
	now := time.Now()
	a.refill(now)
	size := max(b.reserveSize(a)+a.queued(), a.held)
	a.pending = &size
	r := a.record(now)
	r.Reserved = size
	b.Journal.Append([]chestnutcleat.Record{a.wrap(r)}, func(err error) {
		b.stored(a, r.Tokens, err)
	})
}

func (b *Book) stored(a *account, tokens float64, err error) {
	if a.gone || a.pending == nil {
		return
	}
	size := *a.pending
	a.pending = nil
	if err != nil {
		b.emit(event.ReservationFailed, "customer", a.id, "error", err)
		b.Loop.After(reserveRetry, func() { b.pump(a) })
		return
	}
	a.held = size
	a.recorded = tokens
	b.renew(a)
	b.pump(a)
}

// renew stores a new record once a second while the bucket refills. Without it a successor would know only the
// bucket of the last request and an idle customer would wait for tokens that it has.
func (b *Book) renew(a *account) {
	if a.gone || a.frozen || a.renewal != nil || a.recorded >= a.strict.burst-rounding {
		return
	}
	a.renewal = b.Loop.After(reserveTime, func() {
		a.renewal = nil
		a.refill(time.Now())
		full := a.strict.tokens >= a.strict.burst-rounding
		if full || a.strict.tokens >= a.recorded+b.reserveSize(a)/2 {
			b.reserve(a)
		}
		b.renew(a)
	})
}

func (a *account) record(now time.Time) record {
	return record{
		Customer: string(a.id),
		Tokens:   a.strict.tokens,
		Hope:     a.hope,
		Rate:     a.strict.rate,
		Burst:    a.strict.burst,
		At:       now,
	}
}

func (a *account) wrap(r record) chestnutcleat.Record {
	a.sequence++
	data, _ := json.Marshal(r)
	return chestnutcleat.Record{Slot: a.slot, Name: recordPrefix + string(a.id), Sequence: a.sequence, Data: data}
}

// Import implements chestnutcleat.Owned.
func (b *Book) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	b.Drop(s)
	if t.Incomplete {
		if b.unsure == nil {
			b.unsure = make(map[chestnutcleat.Slot]bool)
		}
		b.unsure[s] = true
	}
	now := time.Now()
	for _, r := range records {
		if len(r.Name) < len(recordPrefix) || r.Name[:len(recordPrefix)] != recordPrefix || r.Deleted {
			continue
		}
		id := chestnutcleat.CustomerID(r.Name[len(recordPrefix):])
		if old, ok := b.accounts[id]; ok && old.sequence >= r.Sequence {
			continue
		}
		b.put(b.restore(id, r, t, now))
	}
	for _, a := range b.accounts {
		if a.slot == s {
			b.reserve(a)
		}
	}
}

// restore builds an account from its record. Another VM's clock may differ, so only hope gets credit for the
// time since the record. The lost owner's bucket was never below zero, so neither is the successor's.
func (b *Book) restore(id chestnutcleat.CustomerID, r chestnutcleat.Record, t chestnutcleat.Transfer, now time.Time) *account {
	a := newAccount(id)
	a.sequence = r.Sequence
	var v record
	if err := json.Unmarshal(r.Data, &v); err != nil {
		b.emit(event.LimitRecordBad, "customer", id, "error", err)
		t.Incomplete = true
		c, _ := b.Customer(id)
		v = record{Rate: c.Rate, Burst: c.Burst, Hope: c.Burst, At: now}
	}
	a.strict = bucket{tokens: v.Tokens, rate: v.Rate, burst: v.Burst, at: now}
	if t.Lost {
		a.strict.tokens = max(0, v.Tokens-v.Reserved)
		b.emit(event.ReservationLost, "customer", id, "reserved", v.Reserved)
	}
	if t.Incomplete {
		a.strict.tokens = 0
	}
	elapsed := max(0, now.Sub(v.At))
	a.hope = v.Tokens + v.Hope + v.Rate*elapsed.Seconds() - a.strict.tokens
	a.refill(now)
	a.usage = counter{value: v.Usage, at: now}
	for _, e := range v.Recent {
		a.recent.add(e.ID, e.At)
	}
	return a
}

// Export implements chestnutcleat.Owned. Requests that arrive later wait until Drop and are sent to the next owner.
func (b *Book) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	now := time.Now()
	var out []chestnutcleat.Record
	for _, a := range b.accounts {
		if a.slot != s {
			continue
		}
		a.refill(now)
		a.frozen = true
		r := a.record(now)
		r.Usage = a.usage.read(now)
		r.Recent = a.recent.last(maxCarried)
		out = append(out, a.wrap(r))
	}
	return out
}

// Resume implements chestnutcleat.Owned. The requests that waited since Export are admitted.
func (b *Book) Resume(s chestnutcleat.Slot) {
	for _, a := range b.accounts {
		if a.slot != s || !a.frozen {
			continue
		}
		a.frozen = false
		b.renew(a)
		b.pump(a)
	}
}

// Drop implements chestnutcleat.Owned.
func (b *Book) Drop(s chestnutcleat.Slot) {
	delete(b.unsure, s)
	for id, a := range b.accounts {
		if a.slot != s {
			continue
		}
		delete(b.accounts, id)
		a.gone = true
		for _, w := range a.queue {
			w.reply(chestnutcleat.TakeReply{Moved: true})
		}
		a.queue = nil
	}
}
