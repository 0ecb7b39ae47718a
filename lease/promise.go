package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// PromiseRequest asks a witness to refuse leases of the subject with an epoch lower than Epoch.
type PromiseRequest struct {
	Subject Member              `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Version is the version of the fleet object that the holder knows.
	Version chestnutcleat.Version `json:"version"`
	// Confirm is set after Version has moved slots away from the subject; it asks the witness to refuse VMs with an older
	// version that act for the subject.
	Confirm bool `json:"confirm,omitempty"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Promised bool `json:"promised"`
	// RetryAfter is how long earlier grants still prevent the promise.
	RetryAfter time.Duration `json:"wait,omitempty"`
	// Epoch is the highest epoch promised so far.
	Epoch          chestnutcleat.Epoch       `json:"epoch"`
	Incarnation    chestnutcleat.Incarnation `json:"incarnation"`
	MissingRecords bool                      `json:"blank,omitempty"`
	// OtherHolder is set when a VM other than the request's holder was temporary owner of the subject's slots.
	OtherHolder bool    `json:"foreign,omitempty"`
	Entries     []Entry `json:"entries,omitempty"`
}
