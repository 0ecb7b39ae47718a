package lease

import "chestnutcleat.example/chestnutcleat"

// Member is a VM in the fleet object.
type Member struct {
	VM          chestnutcleat.VMID          `json:"vm"`
	Incarnation chestnutcleat.Incarnation   `json:"inc"`
	Address     chestnutcleat.Address       `json:"addr"`
	Caller      chestnutcleat.Address       `json:"caller"`
	Domain      chestnutcleat.FailureDomain `json:"dom"`
	Epoch       chestnutcleat.Epoch         `json:"epoch"`
	Witnesses   []Witness                   `json:"wit,omitempty"`
}

// Witness names the VM that grants a lease.
type Witness struct {
	VM          chestnutcleat.VMID        `json:"vm"`
	Incarnation chestnutcleat.Incarnation `json:"inc"`
	// Named is the fleet's epoch at which the witness was named.
	Named chestnutcleat.Epoch `json:"at"`
}

// quorum is the number of witnesses that form a majority.
func (m *Member) quorum() int { return len(m.Witnesses)/2 + 1 }

func (m *Member) has(id chestnutcleat.VMID) bool {
	for _, w := range m.Witnesses {
		if w.VM == id {
			return true
		}
	}
	return false
}

func (m *Member) same(o *Member) bool {
	return o != nil && m.VM == o.VM && m.Incarnation == o.Incarnation && m.Epoch == o.Epoch
}
