package lease

import (
	"fmt"
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// fleetName is the name of the fleet object.
	fleetName chestnutcleat.ObjectName = "fleet"
	// maxChanges is the number of change ids kept to find out whether a write with a lost response took effect.
	maxChanges = 64
	// maxWitnesses is the number of witnesses of a VM in a fleet of at least 4 VMs.
	maxWitnesses = 3
)

// holding is the owner of a slot and the epoch since which it owns the slot.
type holding struct {
	VM    chestnutcleat.VMID  `json:"vm"`
	Epoch chestnutcleat.Epoch `json:"epoch"`
}

// Fleet is the content of the fleet object: the members and the owner of each slot.
type Fleet struct {
	// Epoch is the highest epoch allocated so far.
	Epoch   chestnutcleat.Epoch
	Members []Member
	Owners  [chestnutcleat.SlotCount]holding
	// Changes are the ids of the last changes, oldest first.
	Changes []chestnutcleat.ChangeID
}

func (f *Fleet) check() error {
	seen := map[chestnutcleat.VMID]bool{}
	for _, m := range f.Members {
		if m.VM == "" || seen[m.VM] {
			return fmt.Errorf("fleet object lists VM %q twice or without id", m.VM)
		}
		if m.Epoch > f.Epoch {
			return fmt.Errorf("fleet object: VM %q has epoch %d above %d", m.VM, m.Epoch, f.Epoch)
		}
		if len(m.Witnesses) > maxWitnesses || m.hasWitness(m.VM) {
			return fmt.Errorf("fleet object: VM %q has invalid witnesses", m.VM)
		}
		seen[m.VM] = true
		for _, w := range m.Witnesses {
			if o := f.member(w.VM); o == nil || o.Incarnation != w.Incarnation {
				return fmt.Errorf("fleet object: witness %q of VM %q is no member", w.VM, m.VM)
			}
		}
	}
	for s, h := range f.Owners {
		if h.VM != "" && !seen[h.VM] {
			return fmt.Errorf("fleet object: slot %d belongs to unknown VM %q", s, h.VM)
		}
	}
	return nil
}

func (f *Fleet) clone() *Fleet {
	c := *f
	c.Members = slices.Clone(f.Members)
	for i := range c.Members {
		c.Members[i].Witnesses = slices.Clone(c.Members[i].Witnesses)
	}
	c.Changes = slices.Clone(f.Changes)
	return &c
}

func (f *Fleet) member(id chestnutcleat.VMID) *Member {
	if f == nil {
		return nil
	}
	for i := range f.Members {
		if f.Members[i].VM == id {
			return &f.Members[i]
		}
	}
	return nil
}

// nextEpoch allocates an epoch higher than all allocated ones and than above.
func (f *Fleet) nextEpoch(above chestnutcleat.Epoch) chestnutcleat.Epoch {
	f.Epoch = max(f.Epoch, above) + 1
	return f.Epoch
}

// remove removes a member and replaces it as a witness of the others.
func (f *Fleet) remove(id chestnutcleat.VMID) {
	f.Members = slices.DeleteFunc(f.Members, func(m Member) bool { return m.VM == id })
	f.nextEpoch(0)
	for i := range f.Members {
		m := &f.Members[i]
		n := len(m.Witnesses)
		m.Witnesses = slices.DeleteFunc(m.Witnesses, func(w Witness) bool { return w.VM == id })
		// The set must not grow: without its owner's knowledge, a larger set could form a majority that the owner does not ask.
		f.addWitnesses(m, n, f.Epoch, false)
	}
}

// addWitnesses adds witnesses to m up to n, preferring failure domains that have none yet; with distinct it uses only those.
func (f *Fleet) addWitnesses(m *Member, n int, at chestnutcleat.Epoch, distinct bool) {
	for len(m.Witnesses) < min(n, maxWitnesses) {
		var best *Member
		used, score := 0, uint64(0)
		for i := range f.Members {
			c := &f.Members[i]
			if c.VM == m.VM || m.hasWitness(c.VM) {
				continue
			}
			u, s := f.domainUse(m, c.Domain), chestnutcleat.Rendezvous(string(m.VM), c.VM)
			if best == nil || u < used || (u == used && s > score) {
				best, used, score = c, u, s
			}
		}
		if best == nil || (distinct && used > 0) {
			return
		}
		m.Witnesses = append(m.Witnesses, Witness{VM: best.VM, Incarnation: best.Incarnation, AddedAt: at})
	}
}

// domainUse returns the number of witnesses of m in a failure domain.
func (f *Fleet) domainUse(m *Member, d chestnutcleat.FailureDomain) int {
	n := 0
	for _, w := range m.Witnesses {
		if o := f.member(w.VM); o != nil && o.Domain == d {
			n++
		}
	}
	return n
}

func (f *Fleet) recordChange(id chestnutcleat.ChangeID) {
	f.Changes = append(f.Changes, id)
	if n := len(f.Changes) - maxChanges; n > 0 {
		f.Changes = slices.Clone(f.Changes[n:])
	}
}

// slots returns the slots of a VM.
func (f *Fleet) slots(id chestnutcleat.VMID) []chestnutcleat.Slot {
	var list []chestnutcleat.Slot
	for s, h := range f.Owners {
		if h.VM == id {
			list = append(list, chestnutcleat.Slot(s))
		}
	}
	return list
}
