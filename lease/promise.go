package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// PromiseRequest asks a witness to refuse lower epochs of a VM.
type PromiseRequest struct {
	Subject Member              `json:"subject"`
	Holder  chestnutcleat.VMID  `json:"holder"`
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	// Version is the version of the fleet object that the holder knows.
	Version chestnutcleat.Version `json:"version"`
	// Confirm asks, after slots left the subject at Version, that no VM with an older view acts for it.
	Confirm bool `json:"confirm,omitempty"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Promised bool `json:"promised"`
	// Wait is the time until the promise is possible.
	Wait time.Duration `json:"wait,omitempty"`
	// Epoch is the highest epoch promised so far.
	Epoch       chestnutcleat.Epoch       `json:"epoch"`
	Incarnation chestnutcleat.Incarnation `json:"incarnation"`
	Blank       bool                      `json:"blank,omitempty"`
	// Foreign is set when another VM than the holder was temporary owner of the subject's slots.
	Foreign bool    `json:"foreign,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
}
