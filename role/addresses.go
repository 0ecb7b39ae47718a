package role

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/peer"
)

// maxAddresses is how many addresses a caller takes at most.
const maxAddresses = 64

// isCutOff reports whether a VM is on the smaller side of a cut, without the records of programs: it can't say who else
// serves, and most programs would fail here. While all VMs lack the records it is not, as they still serve plain services.
func isCutOff(heard, listed int, writable bool) bool {
	return !writable && listed > 2 && 2*heard <= listed
}

// addressesIn returns where callers of a failure domain connect: to its own VMs if it has two or more. VMs that can't write
// records are left out if they are not more than the others; if most can't, all are alike for plain services.
func addressesIn(domain chestnutcleat.FailureDomain, list []peer.Summary) []chestnutcleat.Address {
	writable := slices.DeleteFunc(slices.Clone(list), func(s peer.Summary) bool { return s.Unwritable })
	if 2*len(writable) >= len(list) {
		list = writable
	}
	var near, all []chestnutcleat.Address
	for i := range list {
		all = append(all, list[i].Callers)
		if list[i].Domain == domain {
			near = append(near, list[i].Callers)
		}
	}
	if len(near) > 1 {
		all = near
	}
	slices.Sort(all)
	return all[:min(len(all), maxAddresses)]
}
