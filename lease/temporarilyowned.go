package lease

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// TemporarilyOwned lists the VMs whose slots this VM serves as temporary owner. It is sent by gossip, as the fleet object names the
// lost VM as owner until the platform can record the takeover.
func (k *Keeper) TemporarilyOwned() []chestnutcleat.VMID {
	var list []chestnutcleat.VMID
	for id := range k.temporary {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
