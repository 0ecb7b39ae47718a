package dispatch

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// carried is the state of an upstream that moves gracefully: the tickets in use, so that the next owner does not
// exceed the upstream's slots.
type carried struct {
	Tickets []chestnutcleat.Ticket `json:"tickets"`
}

// recordPrefix is the kind of owner that takes the records.
const recordPrefix = string(chestnutcleat.KindUpstream) + "/"

// Import implements chestnutcleat.Owned. After a loss the tickets in use are unknown; the engine's load report and
// the ramp, which starts at one, keep the upstream from being overfilled.
func (b *Book) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	b.Drop(s)
	delete(b.lost, s)
	if t.Lost {
		if b.lost == nil {
			b.lost = make(map[chestnutcleat.Slot]bool)
		}
		b.lost[s] = true
	}
	for _, r := range records {
		if len(r.Name) <= len(recordPrefix) || r.Name[:len(recordPrefix)] != recordPrefix {
			continue
		}
		var c carried
		if err := json.Unmarshal(r.Data, &c); err != nil || t.Lost {
			continue
		}
		u, ok := b.upstream(chestnutcleat.UpstreamID(r.Name[len(recordPrefix):]))
		if !ok {
			continue
		}
		u.orders.owned = time.Now()
		for _, k := range c.Tickets {
			u.use(&ticket{Ticket: k, request: &request{index: -1}, granted: time.Now()})
		}
	}
}

// Export implements chestnutcleat.Owned.
func (b *Book) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	var out []chestnutcleat.Record
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != s {
			continue
		}
		c := carried{}
		for _, t := range u.tickets {
			c.Tickets = append(c.Tickets, t.Ticket)
		}
		data, _ := json.Marshal(c)
		u.frozen = true
		out = append(out, chestnutcleat.Record{Slot: s, Name: recordPrefix + string(id), Data: data})
	}
	return out
}

// Resume implements chestnutcleat.Owned. The requests that waited since Export get their tickets.
func (b *Book) Resume(s chestnutcleat.Slot) {
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() == s {
			u.frozen = false
			b.serve(u)
		}
	}
}

// Drop implements chestnutcleat.Owned. Queued requests go to the next owner.
func (b *Book) Drop(s chestnutcleat.Slot) {
	now := time.Now()
	for id, u := range b.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != s {
			continue
		}
		delete(b.upstreams, id)
		b.move(u, now)
	}
}
