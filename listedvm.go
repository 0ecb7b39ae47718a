package chestnutcleat

// ListedVM is an entry of the platform's lagging list.
type ListedVM struct {
	ID      VMID    `json:"id"`
	Address Address `json:"address"`
	Leaving bool    `json:"leaving,omitempty"`
}
