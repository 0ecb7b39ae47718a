package chestnutcleat

import "slices"

// DiskID names a data folder; a folder that comes back empty gets a new id.
type DiskID string

// Copy is a disk that holds the records of programs.
type Copy struct {
	Disk    DiskID        `json:"disk"`
	VM      VMID          `json:"vm"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
}

// Copies is the set of disks that hold the records. While Next is not empty the set changes from Disks to Next, and
// writes need a quorum of both.
type Copies struct {
	Version Version `json:"version"`
	Disks   []Copy  `json:"disks"`
	Next    []Copy  `json:"next,omitempty"`
	// By is the VM that began the change.
	By VMID `json:"by,omitempty"`
}

// All returns the copies of both sets, each once.
func (s *Copies) All() []Copy {
	all := slices.Clone(s.Disks)
	for _, c := range s.Next {
		if !Contains(all, c.Disk) {
			all = append(all, c)
		}
	}
	return all
}

// Written reports whether a record that these disks hold counts as written.
func (s *Copies) Written(held func(DiskID) bool) bool {
	return enough(s.Disks, held, WriteQuorum(len(s.Disks))) && (len(s.Next) == 0 || enough(s.Next, held, WriteQuorum(len(s.Next))))
}

// Carried reports whether the copies that stay need no records of each other at a change: if each new copy has all records,
// a write quorum of the next disks holds what one of the present disks held.
func (s *Copies) Carried() bool {
	lost, added := 0, 0
	for _, c := range s.Disks {
		if !Contains(s.Next, c.Disk) {
			lost++
		}
	}
	for _, c := range s.Next {
		if !Contains(s.Disks, c.Disk) {
			added++
		}
	}
	return max(0, WriteQuorum(len(s.Disks))-lost)+added >= WriteQuorum(len(s.Next))
}

// Read reports whether the answers of these disks show every record that counts as written.
func (s *Copies) Read(answered func(DiskID) bool) bool {
	return enough(s.Disks, answered, ReadQuorum(len(s.Disks)))
}

// WriteQuorum is the number of n copies that must hold a record.
func WriteQuorum(n int) int { return n/2 + 1 }

// ReadQuorum is the number of n copies that share at least one with each write quorum.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }

// Contains reports whether a disk is among the copies.
func Contains(list []Copy, d DiskID) bool {
	return slices.ContainsFunc(list, func(c Copy) bool { return c.Disk == d })
}

func enough(list []Copy, has func(DiskID) bool, quorum int) bool {
	n := 0
	for _, c := range list {
		if has(c.Disk) {
			n++
		}
	}
	return len(list) > 0 && n >= quorum
}
