package manifest

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	givenPrefix     chestnutcleat.ObjectName = "keys/given/"
	withdrawnPrefix chestnutcleat.ObjectName = "keys/withdrawn/"
)

// Key is a key that was given or withdrawn outside the manifest. Only the digest of a key is stored.
type Key struct {
	Digest chestnutcleat.Digest `json:"digest"`
	// Customer is the customer that the key was given to; empty for a withdrawal.
	Customer chestnutcleat.CustomerID `json:"customer,omitempty"`
	// Withdrawn marks a tombstone, which no manifest or other key change overrides.
	Withdrawn bool                   `json:"withdrawn,omitempty"`
	Who       string                 `json:"who"`
	Time      time.Time              `json:"time"`
	Change    chestnutcleat.ChangeID `json:"change"`
}

func (k *Key) name() chestnutcleat.ObjectName {
	if k.Withdrawn {
		return withdrawnPrefix + chestnutcleat.ObjectName(k.Digest.String())
	}
	return givenPrefix + chestnutcleat.ObjectName(k.Digest.String())
}

// hash returns the key's hash; the XOR of all hashes identifies a set of key changes.
func (k *Key) hash() uint64 { return xxhash.Sum64String(string(k.name())) }
