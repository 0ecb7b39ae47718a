package chestnutcleat

import "fmt"

// Place identifies the VM that owns a slot and how to reach it.
type Place struct {
	VM      VMID    `json:"vm"`
	Address Address `json:"address"`
	// Caller is the address for requests of callers.
	Caller Address `json:"caller"`
	Epoch  Epoch   `json:"epoch"`
}

// NotOwner is the error that a VM returns for a request whose slot it does not own.
type NotOwner struct {
	Key Key `json:"key"`
	// Place is the owner that the responding VM knows of; empty if unknown.
	Place Place `json:"place"`
}

// Error implements error.
func (e *NotOwner) Error() string {
	return fmt.Sprintf("not the owner of %s %q, known owner is %q at epoch %d", e.Key.Kind, e.Key.ID, e.Place.VM, e.Place.Epoch)
}
