package chestnutcleat

import "slices"

// DiskID identifies a data folder; a folder that lost its data gets a new id.
type DiskID string

// Replica is a disk that holds the records of programs, and the VM that serves it.
type Replica struct {
	Disk    DiskID        `json:"disk"`
	VM      VMID          `json:"vm"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
}

// ReplicaSet is a version of the set of replicas that hold each record. While NextDisks is not empty, the set is changing from
// Disks to NextDisks and each write needs a quorum of both.
type ReplicaSet struct {
	Version   Version   `json:"version"`
	Disks     []Replica `json:"disks"`
	NextDisks []Replica `json:"next,omitempty"`
	// ProposedBy is the VM that started the change.
	ProposedBy VMID `json:"by,omitempty"`
}

// All returns the replicas of both sets without duplicates.
func (s *ReplicaSet) All() []Replica {
	all := slices.Clone(s.Disks)
	for _, r := range s.NextDisks {
		if !Contains(all, r.Disk) {
			all = append(all, r)
		}
	}
	return all
}

// HasWriteQuorum reports whether the disks for which held is true form a write quorum of each set.
func (s *ReplicaSet) HasWriteQuorum(held func(DiskID) bool) bool {
	return hasQuorum(s.Disks, held, WriteQuorum(len(s.Disks))) && (len(s.NextDisks) == 0 || hasQuorum(s.NextDisks, held, WriteQuorum(len(s.NextDisks))))
}

// KeepsWriteQuorum reports whether the replicas in both sets need not copy records from each other during a change. It assumes that
// each added replica has all records, and checks that every written record is then on a write quorum of NextDisks: at worst, the
// removed replicas were all part of its write quorum.
func (s *ReplicaSet) KeepsWriteQuorum() bool {
	lost, added := 0, 0
	for _, r := range s.Disks {
		if !Contains(s.NextDisks, r.Disk) {
			lost++
		}
	}
	for _, r := range s.NextDisks {
		if !Contains(s.Disks, r.Disk) {
			added++
		}
	}
	return max(0, WriteQuorum(len(s.Disks))-lost)+added >= WriteQuorum(len(s.NextDisks))
}

// HasReadQuorum reports whether the disks for which answered is true form a read quorum, so that their answers include every
// written record.
func (s *ReplicaSet) HasReadQuorum(answered func(DiskID) bool) bool {
	return hasQuorum(s.Disks, answered, ReadQuorum(len(s.Disks)))
}

// WriteQuorum returns how many of n replicas must hold a record before it counts as written.
func WriteQuorum(n int) int { return n/2 + 1 }

// ReadQuorum returns how many of n replicas must answer to include at least one of every write quorum.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }

// Contains reports whether the list has a replica on the given disk.
func Contains(list []Replica, d DiskID) bool {
	return slices.ContainsFunc(list, func(r Replica) bool { return r.Disk == d })
}

func hasQuorum(list []Replica, has func(DiskID) bool, quorum int) bool {
	n := 0
	for _, r := range list {
		if has(r.Disk) {
			n++
		}
	}
	return len(list) > 0 && n >= quorum
}
