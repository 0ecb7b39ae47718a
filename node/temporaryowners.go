package node

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// temporaryOwnerItem is the gossip item of a VM that is the temporary owner of lost VMs' slots.
type temporaryOwnerItem struct {
	Place chestnutcleat.OwnerLocation `json:"place"`
	Lost  []chestnutcleat.VMID        `json:"lost"`
}

// temporaryOwner is the temporary owner of a lost VM's slots and when its last gossip item arrived.
type temporaryOwner struct {
	place chestnutcleat.OwnerLocation
	at    time.Time
}

// temporaryOwners maps lost VMs to their temporary owners. It is used only in the control goroutine.
type temporaryOwners struct {
	byLost map[chestnutcleat.VMID]temporaryOwner
}

func (t *temporaryOwners) merge(item temporaryOwnerItem) {
	if t.byLost == nil {
		t.byLost = map[chestnutcleat.VMID]temporaryOwner{}
	}
	for _, id := range item.Lost {
		t.byLost[id] = temporaryOwner{place: item.Place, at: time.Now()}
	}
}

// find returns the temporary owner of a lost VM's slots. A wrong result costs only a redirect, as every owner checks
// its lease.
func (t *temporaryOwners) find(lost chestnutcleat.VMID) (chestnutcleat.OwnerLocation, bool) {
	o, ok := t.byLost[lost]
	if !ok {
		return chestnutcleat.OwnerLocation{}, false
	}
	if time.Since(o.at) > summaryExpiry {
		delete(t.byLost, lost)
		return chestnutcleat.OwnerLocation{}, false
	}
	return o.place, true
}
