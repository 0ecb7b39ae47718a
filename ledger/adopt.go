package ledger

import (
	"context"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// FirstVersion is the version of the first replica set.
const FirstVersion chestnutcleat.Version = 1

// compareVersion compares the version in a request with the replica's own; it reports whether they are equal. The caller holds mu.
func (s *Store) compareVersion(t Target) (VersionCheck, bool) {
	switch own := s.state.replicas; {
	case t.Version < own.Version:
		return VersionCheck{Newer: &own}, false
	case t.Version > own.Version:
		return VersionCheck{Behind: true}, false
	}
	return VersionCheck{}, true
}

func (s *Store) checkTarget(t Target) (VersionCheck, bool, error) {
	if t.Disk != s.disk {
		return VersionCheck{}, false, errOtherDisk
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	check, ok := s.compareVersion(t)
	return check, ok, nil
}

func (s *Store) adopt(ctx context.Context, q AdoptRequest) (AdoptReply, error) {
	if q.Disk != s.disk {
		return AdoptReply{}, errOtherDisk
	}
	if err := s.Adopt(ctx, q.ReplicaSet); err != nil {
		return AdoptReply{}, err
	}
	return AdoptReply{ReplicaSet: s.ReplicaSet()}, nil
}

// Adopt persists a newer replica set as this replica's own; older sets are ignored.
func (s *Store) Adopt(ctx context.Context, set chestnutcleat.ReplicaSet) error {
	s.mu.Lock()
	current := s.state.replicas
	complete := s.state.complete
	s.mu.Unlock()
	if set.Version <= current.Version {
		return nil
	}
	records := []*Record{{Kind: Adopt, ReplicaSet: &set}}
	if set.Version == FirstVersion && chestnutcleat.Contains(set.Disks, s.disk) && !complete {
		// No records exist before the first set, so its members are complete.
		records = append(records, &Record{Kind: Complete})
	}
	if err := s.write(ctx, records); err != nil {
		return fmt.Errorf("adopt replica set %d: %w", set.Version, err)
	}
	s.Observer.Emit(event.ReplicaSetAdopted, "version", set.Version, "before", current.Version, "copies", len(set.Disks), "next", len(set.NextDisks))
	return nil
}
