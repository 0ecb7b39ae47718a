package keeper

import (
	"cmp"
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// Candidate is a disk that may hold the records.
type Candidate struct {
	chestnutcleat.Copy
	// Alive is set when its VM is heard.
	Alive bool
	// Retiring is set when its VM is to be emptied.
	Retiring bool
}

// Wanted returns the disks that are to hold the records: count of them if there are enough. A present disk that is lost
// stays until another one can take its place. A retiring one goes without a replacement as long as a write quorum of count
// disks is left: of fewer copies the loss of as many as must be borne would lose records.
func Wanted(present []chestnutcleat.Copy, candidates []Candidate, count int) []chestnutcleat.Copy {
	list := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Retiring || (!c.Alive && !chestnutcleat.Contains(present, c.Disk))
	})
	list = append(list, stillNeeded(present, candidates, chestnutcleat.WriteQuorum(count))...)
	for _, c := range present {
		if !announced(candidates, c.Disk) && !retiring(candidates, c.VM) {
			// The VM is not listed or has another disk by now; this one counts as lost until another one takes its place.
			list = append(list, Candidate{Copy: c})
		}
	}
	rank := func(c Candidate) int {
		switch kept := chestnutcleat.Contains(present, c.Disk); {
		case kept && c.Alive:
			return 0
		case c.Alive:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.VM, b.VM))
	})
	list = withoutReplaced(spread(list, count, rank), candidates)
	if n := len(list); n > 1 && n%2 == 0 && !list[n-1].Alive {
		// Of an even number a write quorum is more than half: without the lost one, as many may still be lost and fewer must answer.
		list = list[:n-1]
	}
	out := make([]chestnutcleat.Copy, 0, len(list))
	for _, c := range list {
		out = append(out, c.Copy)
	}
	slices.SortFunc(out, func(a, b chestnutcleat.Copy) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// stillNeeded returns the retiring disks that hold records and must go on doing so to make up the least number of copies.
func stillNeeded(present []chestnutcleat.Copy, candidates []Candidate, least int) []Candidate {
	alive := 0
	var held []Candidate
	for _, c := range candidates {
		switch {
		case c.Alive && !c.Retiring:
			alive++
		case c.Alive && chestnutcleat.Contains(present, c.Disk):
			held = append(held, c)
		}
	}
	return held[:max(0, min(len(held), least-alive))]
}

// spread takes count candidates by rank and, within a rank, from failure domains that have none yet first.
func spread(list []Candidate, count int, rank func(Candidate) int) []Candidate {
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

// withoutReplaced leaves out lost disks whose VM's new disk is in the list.
func withoutReplaced(list, candidates []Candidate) []Candidate {
	return slices.DeleteFunc(list, func(c Candidate) bool {
		return !announced(candidates, c.Disk) && slices.ContainsFunc(list, func(o Candidate) bool { return o.VM == c.VM && o.Disk != c.Disk })
	})
}

func announced(list []Candidate, d chestnutcleat.DiskID) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Disk == d })
}

func retiring(list []Candidate, id chestnutcleat.VMID) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.VM == id && c.Retiring })
}

// sameVMs reports whether two sets have disks of the same VMs; both are in the order of their VMs.
func sameVMs(a, b []chestnutcleat.Copy) bool {
	return slices.EqualFunc(a, b, func(c, d chestnutcleat.Copy) bool { return c.VM == d.VM })
}

// same reports whether two sets have the same disks.
func same(a, b []chestnutcleat.Copy) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c chestnutcleat.Copy) bool {
		return !slices.Contains(b, c)
	})
}
