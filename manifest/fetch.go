package manifest

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// maxFetch bounds the parts of one reply in bytes, below the largest message between VMs.
const maxFetch = 2 << 20

// FetchRequest asks another VM for what it has (method "fetch").
type FetchRequest struct {
	Root  bool                   `json:"root,omitempty"`
	Keys  bool                   `json:"keys,omitempty"`
	Parts []chestnutcleat.Digest `json:"parts,omitempty"`
}

// FetchReply answers a FetchRequest; parts that are missing or above the size limit of a reply are left out.
type FetchReply struct {
	Root  *Root    `json:"root,omitempty"`
	Keys  []Key    `json:"keys,omitempty"`
	Parts [][]byte `json:"parts,omitempty"`
}

// Summary is what VMs tell each other of the manifest and the keys, by gossip and by offers (method "offer").
type Summary struct {
	Revision chestnutcleat.Revision `json:"revision"`
	// Keys is the hash of the set of key changes.
	Keys uint64 `json:"keys"`
	// Latest lists recent key changes.
	Latest []Key `json:"latest,omitempty"`
}

// OfferRequest tells another VM of a change at once, ahead of gossip.
type OfferRequest struct {
	From    chestnutcleat.Address `json:"from"`
	Summary Summary               `json:"summary"`
}

// Fetch answers a request of another VM.
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
		if size += len(p); size > maxFetch {
			break
		}
		r.Parts = append(r.Parts, p)
	}
	return r
}
