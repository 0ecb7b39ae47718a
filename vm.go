package chestnutcleat

// VMState is the state of a VM in the membership.
type VMState string

// States of a VM.
const (
	VMJoining VMState = "joining"
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is a member of the fleet.
type VM struct {
	ID VMID `json:"id"`
	// Incarnation distinguishes the runs of one VM; a higher one replaces a lower one.
	Incarnation Incarnation `json:"incarnation"`
	// Start is the incarnation that the process began with; it stays when a VM that was wrongly declared gone raises its
	// incarnation. Zero means that it equals Incarnation.
	Start Incarnation `json:"start,omitempty"`
	State VMState     `json:"state"`
	// Address is where other VMs connect.
	Address Address `json:"address"`
	// Caller is where callers connect.
	Caller Address       `json:"caller"`
	Domain FailureDomain `json:"domain"`
	Region Region        `json:"region,omitempty"`
}

// Process identifies the process of the VM, for leases that outlive a false suspicion.
func (v *VM) Process() Incarnation {
	if v.Start != 0 {
		return v.Start
	}
	return v.Incarnation
}
