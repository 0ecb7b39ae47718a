package node

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// holdItem is the gossip item of a VM that holds lost VMs' slots as temporary owner.
type holdItem struct {
	Place chestnutcleat.Place  `json:"place"`
	Lost  []chestnutcleat.VMID `json:"lost"`
}

// holder is the temporary owner of a lost VM's slots, as it said at a time.
type holder struct {
	place chestnutcleat.Place
	at    time.Time
}

// holders are the temporary owners by lost VM; used only in the control goroutine.
type holders struct {
	byLost map[chestnutcleat.VMID]holder
}

func (h *holders) merge(i holdItem) {
	if h.byLost == nil {
		h.byLost = map[chestnutcleat.VMID]holder{}
	}
	for _, id := range i.Lost {
		h.byLost[id] = holder{place: i.Place, at: time.Now()}
	}
}

// find returns the temporary owner of a lost VM's slots; a wrong answer costs a redirect, as every owner checks its lease.
func (h *holders) find(lost chestnutcleat.VMID) (chestnutcleat.Place, bool) {
	o, ok := h.byLost[lost]
	if !ok {
		return chestnutcleat.Place{}, false
	}
	if time.Since(o.at) > summaryExpiry {
		delete(h.byLost, lost)
		return chestnutcleat.Place{}, false
	}
	return o.place, true
}
