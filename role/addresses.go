package role

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/peer"
)

// maxAddresses is the maximum number of addresses that a caller accepts.
const maxAddresses = 64

// isCutOff reports whether a VM is on the smaller side of a network partition and can't write records: it doesn't know which
// other VMs serve, and most programs would fail here. A VM that hears most of the others is not cut off even without the
// records, since it still serves plain services.
func isCutOff(heard, listed int, writable bool) bool {
	return !writable && listed > 2 && 2*heard <= listed
}

// addressesFor returns the addresses to which callers of a failure domain connect: those of its own VMs if it has at least two.
// VMs that can't write records are left out unless they are the majority; then all VMs are returned, since they still serve
// plain services.
func addressesFor(domain chestnutcleat.FailureDomain, list []peer.Summary) []chestnutcleat.Address {
	writable := slices.DeleteFunc(slices.Clone(list), func(s peer.Summary) bool { return s.Unwritable })
	if 2*len(writable) >= len(list) {
		list = writable
	}
	var local, all []chestnutcleat.Address
	for i := range list {
		all = append(all, list[i].Callers)
		if list[i].Domain == domain {
			local = append(local, list[i].Callers)
		}
	}
	if len(local) > 1 {
		all = local
	}
	slices.Sort(all)
	return all[:min(len(all), maxAddresses)]
}
