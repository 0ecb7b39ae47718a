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

// maxPastChanges bounds the change ids in the root. They show whether a change whose response was lost was accepted,
// even if other changes have followed.
const maxPastChanges = 64

// Root is the object that lists a manifest's parts; its conditional update commits a change.
type Root struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Parts    []chestnutcleat.Digest `json:"parts"`
	Limits   chestnutcleat.Limits   `json:"limits"`
	Who      string                 `json:"who"`
	Time     time.Time              `json:"time"`
	// Past lists the most recent accepted changes, ending with the one of this revision.
	Past []PastChange `json:"past"`
}

// PastChange is an accepted change.
type PastChange struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Change   chestnutcleat.ChangeID `json:"change"`
}

// accepted returns the revision that was assigned to a change, and whether the root lists the change.
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
