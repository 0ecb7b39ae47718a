package lease

import (
	"strconv"

	"chestnutcleat.example/chestnutcleat"
)

// highestRanked returns the VM with the highest rendezvous hashing score for a name.
func highestRanked(name string, list []chestnutcleat.VMID) chestnutcleat.VMID {
	var best chestnutcleat.VMID
	var bestScore uint64
	for _, id := range list {
		if s := chestnutcleat.Rendezvous(name, id); best == "" || s > bestScore {
			best, bestScore = id, s
		}
	}
	return best
}

func slotName(s chestnutcleat.Slot) string { return "slot " + strconv.Itoa(int(s)) }
