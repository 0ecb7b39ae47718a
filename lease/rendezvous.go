package lease

import (
	"strconv"

	"chestnutcleat.example/chestnutcleat"
)

// choose returns the VM with the highest score.
func choose(name string, list []chestnutcleat.VMID) chestnutcleat.VMID {
	var best chestnutcleat.VMID
	var top uint64
	for _, id := range list {
		if s := chestnutcleat.Rendezvous(name, id); best == "" || s > top {
			best, top = id, s
		}
	}
	return best
}

func slotName(s chestnutcleat.Slot) string { return "slot " + strconv.Itoa(int(s)) }
