package keeper

import (
	"cmp"
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// Candidate is a disk that may hold a replica.
type Candidate struct {
	chestnutcleat.Replica
	// Alive is set if its VM is reachable.
	Alive bool
	// Retiring is set if its VM is being drained.
	Retiring bool
}

// SelectDisks returns the disks that should hold replicas: count of them if there are enough. A lost disk of the current
// set stays until another one can replace it. A retiring one is removed even without a replacement, as long as a write
// quorum of count disks remains; with fewer, the tolerated number of failures would lose records.
func SelectDisks(current []chestnutcleat.Replica, candidates []Candidate, count int) []chestnutcleat.Replica {
	list := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Retiring || (!c.Alive && !chestnutcleat.Contains(current, c.Disk))
	})
	list = append(list, requiredRetiring(current, candidates, chestnutcleat.WriteQuorum(count))...)
	for _, c := range current {
		if !isAnnounced(candidates, c.Disk) && !isRetiring(candidates, c.VM) {
			// The VM is no longer listed or has announced another disk; this one counts as lost until it is replaced.
			list = append(list, Candidate{Replica: c})
		}
	}
	rank := func(c Candidate) int {
		switch isMember := chestnutcleat.Contains(current, c.Disk); {
		case isMember && c.Alive:
			return 0
		case c.Alive:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.VM, b.VM))
	})
	list = dropReplaced(spreadDomains(list, count, rank), candidates)
	if n := len(list); n > 1 && n%2 == 0 && !list[n-1].Alive {
		// An odd number of replicas tolerates as many failures as the next even number, and fewer of them must answer, so the
		// lost disk is left out.
		list = list[:n-1]
	}
	out := make([]chestnutcleat.Replica, 0, len(list))
	for _, c := range list {
		out = append(out, c.Replica)
	}
	slices.SortFunc(out, func(a, b chestnutcleat.Replica) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// requiredRetiring returns the live retiring disks of the current set that must stay to reach the minimum number of replicas.
func requiredRetiring(current []chestnutcleat.Replica, candidates []Candidate, minimum int) []Candidate {
	alive := 0
	var retained []Candidate
	for _, c := range candidates {
		switch {
		case c.Alive && !c.Retiring:
			alive++
		case c.Alive && chestnutcleat.Contains(current, c.Disk):
			retained = append(retained, c)
		}
	}
	return retained[:max(0, min(len(retained), minimum-alive))]
}

// spreadDomains picks count candidates by rank and, within a rank, prefers failure domains with the fewest picks.
func spreadDomains(list []Candidate, count int, rank func(Candidate) int) []Candidate {
	taken := map[chestnutcleat.FailureDomain]int{}
	var out []Candidate
	for len(out) < count && len(list) > 0 {
		best := 0
		for i := range list {
			if rank(list[i]) == rank(list[best]) && taken[list[i].Domain] < taken[list[best].Domain] {
				best = i
			}
		}
		taken[list[best].Domain]++
		out = append(out, list[best])
		list = slices.Delete(list, best, best+1)
	}
	return out
}

// dropReplaced removes lost disks whose VM has another disk in the list.
func dropReplaced(list, candidates []Candidate) []Candidate {
	return slices.DeleteFunc(list, func(c Candidate) bool {
		return !isAnnounced(candidates, c.Disk) && slices.ContainsFunc(list, func(o Candidate) bool { return o.VM == c.VM && o.Disk != c.Disk })
	})
}

func isAnnounced(list []Candidate, d chestnutcleat.DiskID) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Disk == d })
}

func isRetiring(list []Candidate, id chestnutcleat.VMID) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.VM == id && c.Retiring })
}

// sameVMs reports whether two sets have disks of the same VMs; both must be sorted by VM.
func sameVMs(a, b []chestnutcleat.Replica) bool {
	return slices.EqualFunc(a, b, func(c, d chestnutcleat.Replica) bool { return c.VM == d.VM })
}

// sameDisks reports whether two sets have the same disks.
func sameDisks(a, b []chestnutcleat.Replica) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c chestnutcleat.Replica) bool {
		return !slices.Contains(b, c)
	})
}
