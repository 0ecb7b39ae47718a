package lease

import "chestnutcleat.example/chestnutcleat"

// RenewRequest asks a witness to renew a lease.
type RenewRequest struct {
	// Subject is the VM whose lease it is; Holder differs from it for a temporary owner.
	Subject chestnutcleat.VMID  `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Version is the version of the fleet object that the holder knows.
	Version chestnutcleat.Version `json:"version"`
	// Held is the stamp up to which the witness is known to hold the records.
	Held Stamp `json:"held"`
}

// RenewReply grants or refuses a lease.
type RenewReply struct {
	Granted bool `json:"granted"`
	// Promised is set when a higher epoch was promised to another VM.
	Promised    bool                      `json:"promised,omitempty"`
	Incarnation chestnutcleat.Incarnation `json:"incarnation"`
	// Blank is set when the witness does not hold the records that the owner expects.
	Blank bool `json:"blank,omitempty"`
}
