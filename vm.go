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

// VM is a member of the fleet. Its fields are numbered in CBOR to save space, as many messages between VMs carry VMs.
type VM struct {
	ID VMID `json:"id" cbor:"1,keyasint"`
	// Incarnation distinguishes the runs of one VM; a higher one replaces a lower one.
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
	// Start is the incarnation at the start of the process; it does not change when a VM that was wrongly declared gone
	// raises its incarnation. Zero means that it equals Incarnation.
	Start Incarnation `json:"start,omitempty" cbor:"3,keyasint,omitempty"`
	State VMState     `json:"state" cbor:"4,keyasint"`
	// Address is the address for other VMs.
	Address Address `json:"address" cbor:"5,keyasint"`
	// CallerAddress is the address for callers.
	CallerAddress Address       `json:"caller" cbor:"6,keyasint"`
	Domain        FailureDomain `json:"domain" cbor:"7,keyasint"`
	Region        Region        `json:"region,omitempty" cbor:"8,keyasint,omitempty"`
}

// ProcessIncarnation returns the incarnation at the start of the VM's process. Leases refer to it, so that they stay valid after a
// false suspicion.
func (v *VM) ProcessIncarnation() Incarnation {
	if v.Start != 0 {
		return v.Start
	}
	return v.Incarnation
}
