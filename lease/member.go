package lease

import "chestnutcleat.example/chestnutcleat"

// Member is a VM as listed in the fleet object.
type Member struct {
	VM          chestnutcleat.VMID          `json:"vm"`
	Incarnation chestnutcleat.Incarnation   `json:"inc"`
	Address     chestnutcleat.Address       `json:"addr"`
	Caller      chestnutcleat.Address       `json:"caller"`
	Domain      chestnutcleat.FailureDomain `json:"dom"`
	Epoch       chestnutcleat.Epoch         `json:"epoch"`
	Witnesses   []Witness                   `json:"wit,omitempty"`
}

// Witness identifies a VM that grants a member's lease and stores its records.
type Witness struct {
	VM          chestnutcleat.VMID        `json:"vm"`
	Incarnation chestnutcleat.Incarnation `json:"inc"`
	// AddedAt is the epoch of the change that added the witness.
	AddedAt chestnutcleat.Epoch `json:"at"`
}

// quorum is the number of witnesses that form a majority.
func (m *Member) quorum() int { return len(m.Witnesses)/2 + 1 }

func (m *Member) hasWitness(id chestnutcleat.VMID) bool {
	for _, w := range m.Witnesses {
		if w.VM == id {
			return true
		}
	}
	return false
}

func (m *Member) sameEpoch(o *Member) bool {
	return o != nil && m.VM == o.VM && m.Incarnation == o.Incarnation && m.Epoch == o.Epoch
}
