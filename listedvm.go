package chestnutcleat

// ListedVM is an entry of the platform's list of VMs, which lags behind the actual state.
type ListedVM struct {
	ID      VMID    `json:"id"`
	Address Address `json:"address"`
	Leaving bool    `json:"leaving,omitempty"`
}
