package program

import "chestnutcleat.example/chestnutcleat"

// tip identifies a history by its length and its last chained digest.
type tip struct {
	Length int                  `json:"n,omitempty"`
	Last   chestnutcleat.Digest `json:"d,omitempty"`
}

// tipOf returns the tip of a chained history.
func tipOf(h []chestnutcleat.Digest) tip {
	if len(h) == 0 {
		return tip{}
	}
	return tip{Length: len(h), Last: h[len(h)-1]}
}

// extendedBy reports whether h extends the history that the tip identifies.
func (t tip) extendedBy(h []chestnutcleat.Digest) bool {
	return t.Length == 0 || (len(h) >= t.Length && h[t.Length-1] == t.Last)
}
