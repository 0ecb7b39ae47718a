package manifest

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// maxReplyBytes bounds the total size of the parts in one reply; it is below the largest message between VMs.
const maxReplyBytes = 2 << 20

// FetchRequest asks another VM for its root, its key changes or parts (method "fetch").
type FetchRequest struct {
	Root  bool                   `json:"root,omitempty"`
	Keys  bool                   `json:"keys,omitempty"`
	Parts []chestnutcleat.Digest `json:"parts,omitempty"`
}

// FetchReply answers a FetchRequest. Parts that the VM lacks are left out, and so are those beyond maxReplyBytes.
type FetchReply struct {
	Root  *Root    `json:"root,omitempty"`
	Keys  []Key    `json:"keys,omitempty"`
	Parts [][]byte `json:"parts,omitempty"`
}

// Summary describes a VM's manifest and keys to other VMs, by gossip and by offers (method "offer").
type Summary struct {
	Revision chestnutcleat.Revision `json:"revision"`
	// Keys is the hash of the set of key changes.
	Keys uint64 `json:"keys"`
	// Latest lists the most recent key changes.
	Latest []Key `json:"latest,omitempty"`
}

// OfferRequest announces a change to another VM immediately, without waiting for gossip.
type OfferRequest struct {
	From    chestnutcleat.Address `json:"from"`
	Summary Summary               `json:"summary"`
}

// Fetch answers a FetchRequest of another VM.
func (s *Store) Fetch(q FetchRequest) FetchReply {
	var r FetchReply
	if q.Root && s.root.Revision > 0 {
		root := s.root
		r.Root = &root
	}
	if q.Keys {
		for _, k := range s.keys {
			r.Keys = append(r.Keys, k)
		}
		slices.SortFunc(r.Keys, func(a, b Key) int { return a.Time.Compare(b.Time) })
	}
	size := 0
	for _, d := range q.Parts {
		p := s.parts[d]
		if p == nil {
			continue
		}
		if size += len(p); size > maxReplyBytes {
			break
		}
		r.Parts = append(r.Parts, p)
	}
	return r
}
