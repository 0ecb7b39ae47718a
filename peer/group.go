package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

// Group identifies VMs that know each other's summaries. Of other groups they know only digests.
type Group string

const (
	// maxSingleGroup is the largest fleet that forms a single group.
	maxSingleGroup = 30
	// targetGroupSize is the approximate size of the groups of a larger fleet.
	targetGroupSize = 14
	// relaysPerGroup is the number of VMs of a group that exchange digests with other groups.
	relaysPerGroup = 2
)

// groups is the division of the listed VMs into groups. It depends only on the list, so all VMs agree on it, and adding or removing
// one VM moves few others.
type groups struct {
	self    chestnutcleat.VMID
	own     Group
	groupOf map[chestnutcleat.VMID]Group
	// members has the VMs of each group by falling rendezvous score; the first ones that are heard are its relays.
	members map[Group][]chestnutcleat.VMID
	domains map[Group]chestnutcleat.FailureDomain
}

// newGroups divides the VMs: a small fleet forms one group, a larger one has groups within failure domains.
func newGroups(self Member, others []Member) *groups {
	g := &groups{
		self: self.VM, groupOf: map[chestnutcleat.VMID]Group{},
		members: map[Group][]chestnutcleat.VMID{}, domains: map[Group]chestnutcleat.FailureDomain{},
	}
	list := append(slices.Clone(others), self)
	domains := map[chestnutcleat.FailureDomain][]chestnutcleat.VMID{}
	for i := range list {
		m := &list[i]
		domains[m.Domain] = append(domains[m.Domain], m.VM)
	}
	for domain, ids := range domains {
		if len(list) > maxSingleGroup {
			g.splitDomain(domain, ids)
		} else {
			g.add("", domain, ids)
		}
	}
	for name, ids := range g.members {
		slices.SortFunc(ids, func(a, b chestnutcleat.VMID) int {
			return cmp.Or(cmp.Compare(chestnutcleat.Rendezvous(string(name), b), chestnutcleat.Rendezvous(string(name), a)), cmp.Compare(a, b))
		})
	}
	g.own = g.groupOf[self.VM]
	return g
}

// splitDomain divides a failure domain's VMs, ordered by hash, into groups of equal size. Adding a VM moves only VMs at the ends of
// groups.
func (g *groups) splitDomain(domain chestnutcleat.FailureDomain, ids []chestnutcleat.VMID) {
	slices.SortFunc(ids, func(a, b chestnutcleat.VMID) int {
		return cmp.Or(cmp.Compare(hashID(string(a)), hashID(string(b))), cmp.Compare(a, b))
	})
	n := (len(ids) + targetGroupSize - 1) / targetGroupSize
	for i := range n {
		g.add(Group(fmt.Sprintf("%s/%d", domain, i)), domain, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
}

func (g *groups) add(name Group, domain chestnutcleat.FailureDomain, ids []chestnutcleat.VMID) {
	for _, id := range ids {
		g.groupOf[id] = name
	}
	g.members[name] = append(g.members[name], ids...)
	g.domains[name] = domain
}

// hashID returns the hash that stands for the id of a VM or an instance in digests.
func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// isListed reports whether the platform lists a VM.
func (g *groups) isListed(id chestnutcleat.VMID) bool {
	_, ok := g.groupOf[id]
	return ok
}

// isRemote reports whether a VM belongs to another group.
func (g *groups) isRemote(id chestnutcleat.VMID) bool {
	group, ok := g.groupOf[id]
	return ok && group != g.own
}

// silenceTimeout is the time without news of a VM after which it is silent. It is longer in a fleet of several groups, in which news
// comes through relays.
func (g *groups) silenceTimeout() time.Duration {
	if len(g.members) > 1 {
		return (silenceIntervals + extraRelayIntervals) * summaryInterval
	}
	return silenceIntervals * summaryInterval
}
