package dispatch

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// exportedState is the state that a graceful handover transfers: the tickets in use, so that the next owner does not
// exceed the upstream's slots.
type exportedState struct {
	Tickets []chestnutcleat.Ticket `json:"tickets"`
}

// recordPrefix is the name prefix of upstream records.
const recordPrefix = string(chestnutcleat.KindUpstream) + "/"

// Import implements chestnutcleat.SlotState. If the previous owner was lost, its tickets are unknown; the engine's load
// report and the ramp limit, which starts at 1, then keep the upstream from being overloaded.
func (b *Scheduler) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	b.Drop(s)
	delete(b.lostSlots, s)
	if t.Lost {
		if b.lostSlots == nil {
			b.lostSlots = make(map[chestnutcleat.Slot]bool)
		}
		b.lostSlots[s] = true
	}
	for _, r := range records {
		if len(r.Name) <= len(recordPrefix) || r.Name[:len(recordPrefix)] != recordPrefix {
			continue
		}
		var c exportedState
		if err := json.Unmarshal(r.Data, &c); err != nil || t.Lost {
			continue
		}
		u, ok := b.upstream(chestnutcleat.UpstreamID(r.Name[len(recordPrefix):]))
		if !ok {
			continue
		}
		u.orders.ownedSince = time.Now()
		for _, k := range c.Tickets {
			u.addTicket(&ticket{Ticket: k, request: &request{index: -1}, granted: time.Now()})
		}
	}
}

// Export implements chestnutcleat.SlotState.
func (b *Scheduler) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	var out []chestnutcleat.Record
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != s {
			continue
		}
		c := exportedState{}
		for _, t := range u.tickets {
			c.Tickets = append(c.Tickets, t.Ticket)
		}
		data, _ := json.Marshal(c)
		u.frozen = true
		out = append(out, chestnutcleat.Record{Slot: s, Name: recordPrefix + string(id), Data: data})
	}
	return out
}

// Resume implements chestnutcleat.SlotState. Requests that were queued since Export can get tickets again.
func (b *Scheduler) Resume(s chestnutcleat.Slot) {
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() == s {
			u.frozen = false
			b.grantQueued(u)
		}
	}
}

// Drop implements chestnutcleat.SlotState. Queued requests are redirected to the next owner.
func (b *Scheduler) Drop(s chestnutcleat.Slot) {
	now := time.Now()
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != s {
			continue
		}
		delete(b.upstreams, id)
		b.redirectQueued(u, now)
	}
}
