package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

// Group names VMs that know each other's summaries; of the VMs of other groups they know sums.
type Group string

const (
	// maxGroup is the largest fleet that is one group.
	maxGroup = 30
	// groupSize is about how many VMs a group of a larger fleet has.
	groupSize = 14
	// relays is the number of VMs of a group that exchange digests with other groups.
	relays = 2
)

// groups is how the VMs that the platform lists are divided. All VMs with the same list divide it alike, and one VM more or
// less moves few others.
type groups struct {
	self chestnutcleat.VMID
	own  Group
	of   map[chestnutcleat.VMID]Group
	// members have the VMs of each group by falling score; the first ones that are heard are its relays.
	members map[Group][]chestnutcleat.VMID
	domains map[Group]chestnutcleat.FailureDomain
}

// newGroups divides the VMs: a small fleet is one group, a larger one has groups within its failure domains.
func newGroups(self Member, others []Member) *groups {
	g := &groups{
		self: self.VM, of: map[chestnutcleat.VMID]Group{},
		members: map[Group][]chestnutcleat.VMID{}, domains: map[Group]chestnutcleat.FailureDomain{},
	}
	list := append(slices.Clone(others), self)
	domains := map[chestnutcleat.FailureDomain][]chestnutcleat.VMID{}
	for i := range list {
		m := &list[i]
		domains[m.Domain] = append(domains[m.Domain], m.VM)
	}
	for domain, ids := range domains {
		if len(list) > maxGroup {
			g.divide(domain, ids)
		} else {
			g.add("", domain, ids)
		}
	}
	for name, ids := range g.members {
		slices.SortFunc(ids, func(a, b chestnutcleat.VMID) int {
			return cmp.Or(cmp.Compare(chestnutcleat.Rendezvous(string(name), b), chestnutcleat.Rendezvous(string(name), a)), cmp.Compare(a, b))
		})
	}
	g.own = g.of[self.VM]
	return g
}

// divide makes groups of equal size of a failure domain's VMs, in the order of their hashes, so that one VM more moves only
// those at the ends of groups.
func (g *groups) divide(domain chestnutcleat.FailureDomain, ids []chestnutcleat.VMID) {
	slices.SortFunc(ids, func(a, b chestnutcleat.VMID) int {
		return cmp.Or(cmp.Compare(shortName(string(a)), shortName(string(b))), cmp.Compare(a, b))
	})
	n := (len(ids) + groupSize - 1) / groupSize
	for i := range n {
		g.add(Group(fmt.Sprintf("%s/%d", domain, i)), domain, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
}

func (g *groups) add(name Group, domain chestnutcleat.FailureDomain, ids []chestnutcleat.VMID) {
	for _, id := range ids {
		g.of[id] = name
	}
	g.members[name] = append(g.members[name], ids...)
	g.domains[name] = domain
}

// shortName names a VM or an instance in digests.
func shortName(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// has reports whether the platform lists a VM.
func (g *groups) has(id chestnutcleat.VMID) bool {
	_, ok := g.of[id]
	return ok
}

// isFar reports whether a VM is heard of through relays.
func (g *groups) isFar(id chestnutcleat.VMID) bool {
	group, ok := g.of[id]
	return ok && group != g.own
}

// patience is the age from which the last word of a VM says nothing about the present; in a fleet of several groups it comes through
// relays.
func (g *groups) patience() time.Duration {
	if len(g.members) > 1 {
		return (silentIntervals + relayIntervals) * interval
	}
	return silentIntervals * interval
}
