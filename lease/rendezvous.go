package lease

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

// rendezvous scores a VM for a name; the VM with the highest score is chosen.
func rendezvous(name string, id chestnutcleat.VMID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(id))
}

// choose returns the VM with the highest score.
func choose(name string, list []chestnutcleat.VMID) chestnutcleat.VMID {
	var best chestnutcleat.VMID
	var top uint64
	for _, id := range list {
		if s := rendezvous(name, id); best == "" || s > top {
			best, top = id, s
		}
	}
	return best
}

func slotName(s chestnutcleat.Slot) string { return "slot " + strconv.Itoa(int(s)) }
