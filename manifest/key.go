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

// Key is a key that was given or withdrawn outside of a manifest; only the digest of a key is ever stored.
type Key struct {
	Digest chestnutcleat.Digest `json:"digest"`
	// Customer is whom the key was given to; empty for a withdrawal.
	Customer chestnutcleat.CustomerID `json:"customer,omitempty"`
	// Withdrawn marks a tombstone, which no manifest and no other key change undoes.
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

// sum is the key's share of the hash by which two VMs compare their sets of keys.
func (k *Key) sum() uint64 { return xxhash.Sum64String(string(k.name())) }
