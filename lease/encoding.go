package lease

import (
	"encoding/json"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// fleetJSON is the compact form; Slots has two bytes per slot, an index into Holdings.
type fleetJSON struct {
	Epoch    chestnutcleat.Epoch      `json:"epoch"`
	Members  []memberJSON             `json:"members"`
	Holdings []holding                `json:"holdings"`
	Slots    []byte                   `json:"slots"`
	Changes  []chestnutcleat.ChangeID `json:"changes"`
}

// memberJSON is a member whose witnesses are written as index into the members and epoch.
type memberJSON struct {
	Member
	Witnesses [][2]uint64 `json:"wit,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (f *Fleet) MarshalJSON() ([]byte, error) {
	w := fleetJSON{Epoch: f.Epoch, Changes: f.Changes, Slots: make([]byte, 0, 2*chestnutcleat.SlotCount)}
	if err := f.check(); err != nil {
		return nil, err
	}
	place := map[chestnutcleat.VMID]uint64{}
	for i, m := range f.Members {
		place[m.VM] = uint64(i)
	}
	for _, m := range f.Members {
		c := memberJSON{Member: m}
		for _, o := range m.Witnesses {
			c.Witnesses = append(c.Witnesses, [2]uint64{place[o.VM], uint64(o.Named)})
		}
		w.Members = append(w.Members, c)
	}
	index := map[holding]int{}
	for _, h := range f.Owners {
		i, ok := index[h]
		if !ok {
			i = len(w.Holdings)
			index[h] = i
			w.Holdings = append(w.Holdings, h)
		}
		w.Slots = append(w.Slots, byte(i>>8), byte(i))
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler and checks the object.
func (f *Fleet) UnmarshalJSON(data []byte) error {
	var w fleetJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("fleet object: %w", err)
	}
	if len(w.Slots) != 2*chestnutcleat.SlotCount {
		return fmt.Errorf("fleet object has %d bytes of slots, expected %d", len(w.Slots), 2*chestnutcleat.SlotCount)
	}
	*f = Fleet{Epoch: w.Epoch, Changes: w.Changes}
	for _, c := range w.Members {
		m := c.Member
		m.Witnesses = nil
		for _, p := range c.Witnesses {
			if p[0] >= uint64(len(w.Members)) {
				return fmt.Errorf("fleet object: VM %q names witness %d of %d", m.VM, p[0], len(w.Members))
			}
			o := w.Members[p[0]].Member
			m.Witnesses = append(m.Witnesses, Witness{VM: o.VM, Incarnation: o.Incarnation, Named: chestnutcleat.Epoch(p[1])})
		}
		f.Members = append(f.Members, m)
	}
	for s := range f.Owners {
		i := int(w.Slots[2*s])<<8 | int(w.Slots[2*s+1])
		if i >= len(w.Holdings) {
			return fmt.Errorf("fleet object: slot %d names holding %d of %d", s, i, len(w.Holdings))
		}
		f.Owners[s] = w.Holdings[i]
	}
	return f.check()
}
