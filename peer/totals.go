package peer

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
)

// Totals are sums over the other VMs that are heard.
type Totals struct {
	load map[uint32]int
	// Tally counts what the requests of all of them met at the instances, Near what those of VMs of this failure domain met.
	Tally, Near place.OutcomeCounts
}

// Load returns the number of requests at an instance.
func (t *Totals) Load(id chestnutcleat.InstanceID) int { return t.load[shortName(string(id))] }

// Totals adds up the VMs of this group and what its relays tell of the others.
func (f *Fleet) Totals() Totals {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	t := Totals{load: map[uint32]int{}}
	for _, p := range f.roster.near {
		if p.Silent() {
			continue
		}
		addLoad(t.load, p.Load)
		t.Tally.Add(p.Tally)
		if p.Domain == f.Self.Domain {
			t.Near.Add(p.Tally)
		}
	}
	if v := f.view(); v != nil {
		addCounts(t.load, v.Load)
		t.Tally.Add(v.Tally)
		t.Near.Add(v.Near)
	}
	return t
}

// view returns the digest of the relay that hears most VMs of other groups; nil for none. It needs the lock.
func (f *Fleet) view() *received {
	var best *received
	for id, v := range f.views {
		if !v.isFresh() {
			delete(f.views, id)
			continue
		}
		if best == nil || len(v.States) > len(best.States) || len(v.States) == len(best.States) && v.at.After(best.at) {
			best = v
		}
	}
	return best
}
