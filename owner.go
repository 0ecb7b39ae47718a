package chestnutcleat

import "fmt"

// Place tells where the owner of a slot is.
type Place struct {
	VM      VMID    `json:"vm"`
	Address Address `json:"address"`
	// Caller is the address that callers of this VM use.
	Caller Address `json:"caller"`
	Epoch  Epoch   `json:"epoch"`
}

// NotOwner is the error of a VM that does not own the slot of a request.
type NotOwner struct {
	Key Key `json:"key"`
	// Place is the owner as far as the answering VM knows; empty if unknown.
	Place Place `json:"place"`
}

// Error implements error.
func (e *NotOwner) Error() string {
	return fmt.Sprintf("not the owner of %s %q, known owner is %q at epoch %d", e.Key.Kind, e.Key.ID, e.Place.VM, e.Place.Epoch)
}
