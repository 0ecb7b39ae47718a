package lease

import (
	"encoding/json"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// fleetJSON is the compact encoding of Fleet. Slots has an index into Holdings for each slot, of one byte, or of two
// big-endian bytes if there are more than maxOneByteHoldings holdings.
type fleetJSON struct {
	Epoch    chestnutcleat.Epoch      `json:"epoch"`
	Members  []memberJSON             `json:"members"`
	Holdings []holding                `json:"holdings"`
	Slots    []byte                   `json:"slots"`
	Changes  []chestnutcleat.ChangeID `json:"changes"`
}

// maxOneByteHoldings is the number of holdings that a one-byte index can address.
const maxOneByteHoldings = 1 << 8

// memberJSON encodes a member; each witness is a pair of its index in the list of members and its AddedAt epoch.
type memberJSON struct {
	Member
	Witnesses [][2]uint64 `json:"wit,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (f *Fleet) MarshalJSON() ([]byte, error) {
	encoded := fleetJSON{Epoch: f.Epoch, Changes: f.Changes}
	if err := f.check(); err != nil {
		return nil, err
	}
	memberIndex := map[chestnutcleat.VMID]uint64{}
	for i, m := range f.Members {
		memberIndex[m.VM] = uint64(i)
	}
	for _, m := range f.Members {
		c := memberJSON{Member: m}
		for _, o := range m.Witnesses {
			c.Witnesses = append(c.Witnesses, [2]uint64{memberIndex[o.VM], uint64(o.AddedAt)})
		}
		encoded.Members = append(encoded.Members, c)
	}
	encoded.Holdings, encoded.Slots = f.packOwners()
	return json.Marshal(encoded)
}

// packOwners returns the distinct holdings and the slots' indexes into them.
func (f *Fleet) packOwners() ([]holding, []byte) {
	var holdings []holding
	index := map[holding]int{}
	var indexes [chestnutcleat.SlotCount]int
	for s, h := range f.Owners {
		i, ok := index[h]
		if !ok {
			i = len(holdings)
			index[h] = i
			holdings = append(holdings, h)
		}
		indexes[s] = i
	}
	slots := make([]byte, 0, 2*chestnutcleat.SlotCount)
	for _, i := range indexes {
		if len(holdings) > maxOneByteHoldings {
			slots = append(slots, byte(i>>8))
		}
		slots = append(slots, byte(i))
	}
	return holdings, slots
}

// unpackOwners sets the owners from the result of packOwners.
func (f *Fleet) unpackOwners(holdings []holding, slots []byte) error {
	twoBytes := len(slots) == 2*chestnutcleat.SlotCount
	if !twoBytes && len(slots) != chestnutcleat.SlotCount {
		return fmt.Errorf("fleet object has %d bytes of slots, expected %d or %d", len(slots), chestnutcleat.SlotCount, 2*chestnutcleat.SlotCount)
	}
	for s := range f.Owners {
		var i int
		if twoBytes {
			i = int(slots[2*s])<<8 | int(slots[2*s+1])
		} else {
			i = int(slots[s])
		}
		if i >= len(holdings) {
			return fmt.Errorf("fleet object: slot %d names holding %d of %d", s, i, len(holdings))
		}
		f.Owners[s] = holdings[i]
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler and validates the object.
func (f *Fleet) UnmarshalJSON(data []byte) error {
	var encoded fleetJSON
	if err := json.Unmarshal(data, &encoded); err != nil {
		return fmt.Errorf("fleet object: %w", err)
	}
	*f = Fleet{Epoch: encoded.Epoch, Changes: encoded.Changes}
	for _, c := range encoded.Members {
		m := c.Member
		m.Witnesses = nil
		for _, p := range c.Witnesses {
			if p[0] >= uint64(len(encoded.Members)) {
				return fmt.Errorf("fleet object: VM %q names witness %d of %d", m.VM, p[0], len(encoded.Members))
			}
			o := encoded.Members[p[0]].Member
			m.Witnesses = append(m.Witnesses, Witness{VM: o.VM, Incarnation: o.Incarnation, AddedAt: chestnutcleat.Epoch(p[1])})
		}
		f.Members = append(f.Members, m)
	}
	if err := f.unpackOwners(encoded.Holdings, encoded.Slots); err != nil {
		return err
	}
	return f.check()
}
