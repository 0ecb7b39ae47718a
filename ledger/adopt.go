package ledger

import (
	"context"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// FirstVersion is the version of the first set.
const FirstVersion chestnutcleat.Version = 1

// standing compares a request's set with the copy's own. It needs the lock.
func (s *Store) standing(t Target) (Standing, bool) {
	switch own := s.state.copies; {
	case t.Version < own.Version:
		return Standing{Newer: &own}, false
	case t.Version > own.Version:
		return Standing{Behind: true}, false
	}
	return Standing{}, true
}

func (s *Store) check(t Target) (Standing, bool, error) {
	if t.Disk != s.disk {
		return Standing{}, false, errOtherDisk
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.standing(t)
	return st, ok, nil
}

func (s *Store) adopt(ctx context.Context, q AdoptRequest) (AdoptReply, error) {
	if q.Disk != s.disk {
		return AdoptReply{}, errOtherDisk
	}
	if err := s.Adopt(ctx, q.Copies); err != nil {
		return AdoptReply{}, err
	}
	return AdoptReply{Copies: s.Copies()}, nil
}

// Adopt makes a newer set the copy's own and syncs that.
func (s *Store) Adopt(ctx context.Context, set chestnutcleat.Copies) error {
	s.mu.Lock()
	known := s.state.copies
	whole := s.state.whole
	s.mu.Unlock()
	if set.Version <= known.Version {
		return nil
	}
	records := []*Record{{Kind: Adopt, Copies: &set}}
	if set.Version == FirstVersion && chestnutcleat.Contains(set.Disks, s.disk) && !whole {
		// Nothing was written before the first set.
		records = append(records, &Record{Kind: Whole})
	}
	if err := s.write(ctx, records); err != nil {
		return fmt.Errorf("adopt set %d: %w", set.Version, err)
	}
	s.Observer.Emit(event.CopiesAdopted, "version", set.Version, "before", known.Version, "copies", len(set.Disks), "next", len(set.Next))
	return nil
}
