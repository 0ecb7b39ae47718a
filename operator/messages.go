package operator

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// Headers of requests and responses.
const (
	// HeaderOperator names who makes a change.
	HeaderOperator = "Chestnutcleat-Operator"
	// HeaderChange carries the change id; a change that is sent again with it is not applied twice.
	HeaderChange = "Chestnutcleat-Change"
)

// Problem is a problem document with the members that operators need.
type Problem struct {
	*chestnutcleat.Problem
	// Errors lists all faults of a manifest.
	Errors document.Errors `json:"errors,omitempty"`
	// Revision, Who and Diff describe the current manifest after a conflict.
	Revision chestnutcleat.Revision `json:"revision,omitempty"`
	Who      string                 `json:"who,omitempty"`
	Diff     []string               `json:"diff,omitempty"`
	// Change is the id to send an unresolved change again with.
	Change chestnutcleat.ChangeID `json:"change,omitempty"`
}

// GiveRequest lets a customer use another key, of which only the digest is sent.
type GiveRequest struct {
	Customer chestnutcleat.CustomerID `json:"customer"`
	Digest   chestnutcleat.Digest     `json:"digest"`
}

// KeyReply tells the state of a key.
type KeyReply struct {
	Digest chestnutcleat.Digest `json:"digest"`
	State  string               `json:"state"`
}
