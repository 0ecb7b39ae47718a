package node

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// upstreams tells the dispatch book which upstreams this VM owns, so that they are polled and get their orders
// without waiting for a request.
type upstreams struct {
	*dispatch.Book
	// owned holds the slots that were imported and not dropped.
	owned map[chestnutcleat.Slot]bool
	// ids holds the upstreams of the manifest by slot.
	ids map[chestnutcleat.Slot][]chestnutcleat.UpstreamID
}

var _ chestnutcleat.Owned = (*upstreams)(nil)

// Import implements chestnutcleat.Owned.
func (u *upstreams) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	u.Book.Import(s, records, t)
	if u.owned == nil {
		u.owned = make(map[chestnutcleat.Slot]bool)
	}
	u.owned[s] = true
	u.Own(u.ids[s]...)
}

// Drop implements chestnutcleat.Owned.
func (u *upstreams) Drop(s chestnutcleat.Slot) {
	delete(u.owned, s)
	u.Book.Drop(s)
}

// refresh takes over the upstreams of a new manifest; the book forgets those that the manifest no longer has.
func (u *upstreams) refresh(v *manifest.View) {
	u.ids = make(map[chestnutcleat.Slot][]chestnutcleat.UpstreamID, len(v.Manifest.Upstreams))
	for _, c := range v.Manifest.Upstreams {
		s := chestnutcleat.UpstreamKey(c.ID).Slot()
		u.ids[s] = append(u.ids[s], c.ID)
		if u.owned[s] {
			u.Own(c.ID)
		}
	}
}
