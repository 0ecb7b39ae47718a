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
	State       VMState     `json:"state"`
	// Address is where other VMs connect.
	Address Address `json:"address"`
	// Caller is where callers connect.
	Caller Address       `json:"caller"`
	Domain FailureDomain `json:"domain"`
	Region Region        `json:"region,omitempty"`
}
