package peer

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

// Totals holds sums over the other VMs that are heard.
type Totals struct {
	load map[uint32]int
	// Outcomes has the outcomes of the requests of all these VMs, DomainOutcomes those of VMs in this VM's failure domain.
	Outcomes, DomainOutcomes place.OutcomeCounts
	// Activities describes the programs of customers near their limits.
	Activities rate.Activities
	// Departures are the instances that told one of these VMs that they leave.
	Departures map[place.ProcessHash]bool
}

// Load returns the number of requests at an instance.
func (t *Totals) Load(id chestnutcleat.InstanceID) int { return t.load[hashID(string(id))] }

// Totals sums up the VMs of this group and the relays' digests of the other groups.
func (f *Fleet) Totals() Totals {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	t := Totals{load: map[uint32]int{}, Activities: rate.Activities{}, Departures: map[place.ProcessHash]bool{}}
	for _, p := range f.peers.local {
		if p.Silent() {
			continue
		}
		addLoad(t.load, p.Load)
		t.Outcomes.Add(p.Outcomes)
		t.Activities.Add(p.Activities)
		addDepartures(t.Departures, p.boundedDepartures())
		if p.Domain == f.Self.Domain {
			t.DomainOutcomes.Add(p.Outcomes)
		}
	}
	if v := f.bestView(); v != nil {
		addCounts(t.load, v.Load)
		t.Outcomes.Add(v.Outcomes)
		t.Activities.Add(v.Activities)
		t.DomainOutcomes.Add(v.DomainOutcomes)
		addDepartures(t.Departures, v.Departures)
	}
	return t
}

// bestView returns the digest from the relay that hears the most VMs of other groups, or nil. The caller holds f.mu.
func (f *Fleet) bestView() *receivedDigest {
	var best *receivedDigest
	for id, v := range f.relayViews {
		if !v.isFresh() {
			delete(f.relayViews, id)
			continue
		}
		if best == nil || len(v.States) > len(best.States) || len(v.States) == len(best.States) && v.arrived.After(best.arrived) {
			best = v
		}
	}
	return best
}
