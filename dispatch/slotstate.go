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
func (s *Scheduler) Import(slot chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	s.Drop(slot)
	delete(s.lostSlots, slot)
	if t.Lost {
		if s.lostSlots == nil {
			s.lostSlots = make(map[chestnutcleat.Slot]bool)
		}
		s.lostSlots[slot] = true
	}
	for _, r := range records {
		if len(r.Name) <= len(recordPrefix) || r.Name[:len(recordPrefix)] != recordPrefix {
			continue
		}
		var exported exportedState
		if err := json.Unmarshal(r.Data, &exported); err != nil || t.Lost {
			continue
		}
		u, ok := s.upstream(chestnutcleat.UpstreamID(r.Name[len(recordPrefix):]))
		if !ok {
			continue
		}
		u.orders.ownedSince = time.Now()
		for _, held := range exported.Tickets {
			u.addTicket(&ticket{Ticket: held, request: &request{index: -1}, granted: time.Now()})
		}
	}
}

// Export implements chestnutcleat.SlotState.
func (s *Scheduler) Export(slot chestnutcleat.Slot) []chestnutcleat.Record {
	var out []chestnutcleat.Record
	for id, u := range s.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != slot {
			continue
		}
		exported := exportedState{}
		for _, t := range u.tickets {
			exported.Tickets = append(exported.Tickets, t.Ticket)
		}
		data, _ := json.Marshal(exported)
		u.frozen = true
		out = append(out, chestnutcleat.Record{Slot: slot, Name: recordPrefix + string(id), Data: data})
	}
	return out
}

// Resume implements chestnutcleat.SlotState. Requests that were queued since Export can get tickets again.
func (s *Scheduler) Resume(slot chestnutcleat.Slot) {
	for id, u := range s.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() == slot {
			u.frozen = false
			s.grantQueued(u)
		}
	}
}

// Drop implements chestnutcleat.SlotState. Queued requests are redirected to the next owner.
func (s *Scheduler) Drop(slot chestnutcleat.Slot) {
	now := time.Now()
	for id, u := range s.upstreams {
		if chestnutcleat.UpstreamKey(id).Slot() != slot {
			continue
		}
		delete(s.upstreams, id)
		s.redirectQueued(u, now)
	}
}
