package chestnutcleat

import "fmt"

// OwnerLocation identifies the VM that owns a slot and how to reach it.
type OwnerLocation struct {
	VM      VMID    `json:"vm"`
	Address Address `json:"address"`
	// CallerAddress is the address for requests of callers.
	CallerAddress Address `json:"caller"`
	Epoch         Epoch   `json:"epoch"`
}

// NotOwner is the error that a VM returns for a request whose slot it does not own.
type NotOwner struct {
	Key Key `json:"key"`
	// Place is the owner that the responding VM knows of; empty if unknown.
	Place OwnerLocation `json:"place"`
}

// Error implements error.
func (e *NotOwner) Error() string {
	return fmt.Sprintf("not the owner of %s %q, known owner is %q at epoch %d", e.Key.Kind, e.Key.ID, e.Place.VM, e.Place.Epoch)
}
