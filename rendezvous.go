package chestnutcleat

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the rendezvous hashing score of a VM for a name; the VMs with the highest scores are chosen.
func Rendezvous(name string, id VMID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(id))
}
