package lease

import "chestnutcleat.example/chestnutcleat"

// RenewRequest asks a witness to grant or renew a lease.
type RenewRequest struct {
	// Subject is the VM whose lease it is; Holder differs from it if it is a temporary owner.
	Subject chestnutcleat.VMID  `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Version is the version of the fleet object that the holder knows.
	Version chestnutcleat.Version `json:"version"`
	// StoredIndex is the index up to which the witness is known to have stored the records.
	StoredIndex LogIndex `json:"held"`
}

// RenewReply reports whether the witness granted the lease.
type RenewReply struct {
	Granted bool `json:"granted"`
	// PromisedHigher is set when a higher epoch, or the same one for another VM, was promised.
	PromisedHigher bool                      `json:"promised,omitempty"`
	Incarnation    chestnutcleat.Incarnation `json:"incarnation"`
	// MissingRecords is set when the witness lacks records up to StoredIndex.
	MissingRecords bool `json:"blank,omitempty"`
}
