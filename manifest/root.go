package manifest

import (
	"encoding/json"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	rootName   chestnutcleat.ObjectName = "manifest/root"
	partPrefix chestnutcleat.ObjectName = "manifest/parts/"
)

// maxPast bounds the change ids in the root; a change whose response was lost is found among them,
// also when other changes were accepted since.
const maxPast = 64

// Root is the object whose conditional update accepts a manifest.
type Root struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Parts    []chestnutcleat.Digest `json:"parts"`
	Limits   chestnutcleat.Limits   `json:"limits"`
	Who      string                 `json:"who"`
	Time     time.Time              `json:"time"`
	// Past lists the latest accepted changes, the one of this revision last.
	Past []Past `json:"past"`
}

// Past is an accepted change.
type Past struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Change   chestnutcleat.ChangeID `json:"change"`
}

// accepted returns the revision that a change got.
func (r *Root) accepted(c chestnutcleat.ChangeID) (chestnutcleat.Revision, bool) {
	for _, p := range r.Past {
		if p.Change == c {
			return p.Revision, true
		}
	}
	return 0, false
}

func decodeRoot(data []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", rootName, err)
	}
	return r, nil
}

func partName(d chestnutcleat.Digest) chestnutcleat.ObjectName {
	return partPrefix + chestnutcleat.ObjectName(d.String())
}

func rootObject(r Root, v chestnutcleat.Version) (chestnutcleat.Object, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return chestnutcleat.Object{}, fmt.Errorf("encode %s: %w", rootName, err)
	}
	return chestnutcleat.Object{Name: rootName, Version: v, Data: data}, nil
}
