package operator

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// Request headers of the operator interface.
const (
	// HeaderOperator carries the name of the operator who makes a change.
	HeaderOperator = "Chestnutcleat-Operator"
	// HeaderChange carries the change id; a change that is sent again with the same id is applied once.
	HeaderChange = "Chestnutcleat-Change"
)

// Problem is a problem document with additional members for operators.
type Problem struct {
	*chestnutcleat.Problem
	// Errors lists all validation errors of a manifest or request.
	Errors document.Errors `json:"errors,omitempty"`
	// Revision, Who and Diff describe the current manifest after a conflict.
	Revision chestnutcleat.Revision `json:"revision,omitempty"`
	Who      string                 `json:"who,omitempty"`
	Diff     []string               `json:"diff,omitempty"`
	// Change is the id with which to retry a change whose outcome is unknown.
	Change chestnutcleat.ChangeID `json:"change,omitempty"`
}

// GiveRequest adds a key to a customer; only the digest of the key is sent.
type GiveRequest struct {
	Customer chestnutcleat.CustomerID `json:"customer"`
	Digest   chestnutcleat.Digest     `json:"digest"`
}

// KeyReply reports the state of a key.
type KeyReply struct {
	Digest chestnutcleat.Digest `json:"digest"`
	State  string               `json:"state"`
}
