package node

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// upstreamState tells the Scheduler which upstreams this VM owns, so that they are polled and receive their orders before
// the first request.
type upstreamState struct {
	*dispatch.Scheduler
	// ownedSlots holds the slots that were imported and not dropped since.
	ownedSlots map[chestnutcleat.Slot]bool
	// idsBySlot holds the upstreams of the manifest.
	idsBySlot map[chestnutcleat.Slot][]chestnutcleat.UpstreamID
}

var _ chestnutcleat.SlotState = (*upstreamState)(nil)

// Import implements chestnutcleat.SlotState.
func (u *upstreamState) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	u.Scheduler.Import(s, records, t)
	if u.ownedSlots == nil {
		u.ownedSlots = make(map[chestnutcleat.Slot]bool)
	}
	u.ownedSlots[s] = true
	u.Track(u.idsBySlot[s]...)
}

// Drop implements chestnutcleat.SlotState.
func (u *upstreamState) Drop(s chestnutcleat.Slot) {
	delete(u.ownedSlots, s)
	u.Scheduler.Drop(s)
}

// refresh adopts the upstreams of a new manifest; the Scheduler drops those that the manifest no longer has.
func (u *upstreamState) refresh(v *manifest.View) {
	u.idsBySlot = make(map[chestnutcleat.Slot][]chestnutcleat.UpstreamID, len(v.Manifest.Upstreams))
	for _, c := range v.Manifest.Upstreams {
		s := chestnutcleat.UpstreamKey(c.ID).Slot()
		u.idsBySlot[s] = append(u.idsBySlot[s], c.ID)
		if u.ownedSlots[s] {
			u.Track(c.ID)
		}
	}
}
