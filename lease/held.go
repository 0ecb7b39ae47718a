package lease

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// Held lists the VMs whose slots this VM holds as temporary owner, for gossip: the fleet object names the lost VM
// until the platform can record the takeover.
func (k *Keeper) Held() []chestnutcleat.VMID {
	var list []chestnutcleat.VMID
	for id := range k.temporary {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
