package role

import (
	"fmt"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/mirror"
)

const (
	// maxInvalidReports bounds the objects of a kind that are reported after one change; the others follow after later changes.
	maxInvalidReports = 16
	// maxReportedError bounds the text of an error, in characters, as it may quote the object.
	maxReportedError = 200
)

// invalidObject is an object that could not be decoded.
type invalidObject struct {
	object chestnutcleat.StoredObject
	err    error
}

// shortError returns the start of an error's text, at most maxReportedError.
func shortError(err error) string { return fmt.Sprintf("%.*s", maxReportedError, err.Error()) }

// reportInvalidAfter returns a function that applies a change, and then reports the objects that can't be decoded, each version of them once.
func (b *base) reportInvalidAfter(k chestnutcleat.ObjectKind, apply func(mirror.Snapshot) []invalidObject) func(mirror.Snapshot) {
	r := invalidReports{kind: k, observer: b.Observer}
	return func(s mirror.Snapshot) {
		invalid := apply(s)
		for _, o := range s.Objects {
			if err := o.Err(); err != nil {
				invalid = append(invalid, invalidObject{o, err})
			}
		}
		r.report(invalid)
	}
}

// invalidReports remembers which objects of a kind were reported.
type invalidReports struct {
	kind     chestnutcleat.ObjectKind
	observer chestnutcleat.Observer
	// reported holds the reported versions of those objects that were invalid after the last change.
	reported map[string]chestnutcleat.Version
}

// report reports the objects whose present version is not reported yet. An object that can't be read at all may be in the list twice, as
// the function that applies the change may have added it too.
func (r *invalidReports) report(list []invalidObject) {
	next := map[string]chestnutcleat.Version{}
	left := maxInvalidReports
	for _, i := range list {
		o := &i.object
		v, known := r.reported[o.Name]
		if listed, ok := next[o.Name]; ok {
			v, known = listed, true
		}
		if !known || v != o.Version {
			if left == 0 {
				continue
			}
			left--
			r.observer.Emit(event.ObjectInvalid, "kind", r.kind, "object", o.Name, "version", o.Version, "error", shortError(i.err))
		}
		next[o.Name] = o.Version
	}
	r.reported = next
}
