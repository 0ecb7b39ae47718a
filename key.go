package chestnutcleat

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of entity that a Key names.
type Kind string

// Kinds of entities that have an owner.
const (
	KindProgram  Kind = "program"
	KindCustomer Kind = "customer"
	KindUpstream Kind = "upstream"
)

// Key names an entity whose control state is kept by one owner.
type Key struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// ProgramKey returns the key of a customer's program.
func ProgramKey(c CustomerID, p ProgramID) Key {
	return Key{Kind: KindProgram, ID: fmt.Sprintf("%d:%s/%s", len(c), c, p)}
}

// CustomerKey returns the key of a customer.
func CustomerKey(c CustomerID) Key { return Key{Kind: KindCustomer, ID: string(c)} }

// UpstreamKey returns the key of an upstream.
func UpstreamKey(u UpstreamID) Key { return Key{Kind: KindUpstream, ID: string(u)} }

// Slot returns the slot that the key hashes to.
func (k Key) Slot() Slot {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(k.Kind))
	d.WriteString("\x00")
	d.WriteString(k.ID)
	return Slot(d.Sum64() % SlotCount)
}
