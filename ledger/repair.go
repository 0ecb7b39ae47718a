package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// repairInterval is the time between rounds that copy missing turns.
	repairInterval = 2 * time.Second
	// repairDelay is how long a missing turn may still be on its way from its writer.
	repairDelay = time.Second
	// maxGaps bounds the known gaps, and so the work of a round. A gap beyond it is found again by the next turn of its chain.
	maxGaps = 256
)

// errOtherSet is returned when another replica has an older or newer set.
var errOtherSet = errors.New("replica has another set")

// gap is a turn that a replica lacks although it holds a later one of the chain.
type gap struct {
	// expiresAt is the end of the lifetime that later turns give to the missing one.
	expiresAt int64
	noticedAt time.Time
}

// noteGap records that a predecessor of a turn is missing.
func (s *state) noteGap(k turnKey, expiresAt int64) {
	g, ok := s.gaps[k]
	switch {
	case !ok && len(s.gaps) >= maxGaps:
		return
	case !ok:
		g.noticedAt = time.Now()
	}
	g.expiresAt = max(g.expiresAt, expiresAt)
	s.gaps[k] = g
}

// repair copies the turns that this replica missed until ctx is done. Without a missing turn the replica can't extend the lifetime of
// the turns before it when a later one is stored.
func (s *Store) repair(ctx context.Context) {
	for chestnutcleat.Sleep(ctx, repairInterval) == nil {
		gaps, set := s.gapsToRepair()
		if len(gaps) == 0 || s.Full() {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(set.Disks), func(r chestnutcleat.Replica) bool { return r.Disk == s.disk })
		for k, g := range gaps {
			others = s.repairGap(ctx, k, g, set.Version, others)
		}
	}
}

// gapsToRepair returns the gaps that are not new, and the replica set. There are none while the set changes: a replica that joins
// copies everything, and the others have gaps only until the change ends.
func (s *Store) gapsToRepair() (map[turnKey]gap, chestnutcleat.ReplicaSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.state.replicas
	if len(s.state.gaps) == 0 || !s.state.complete || len(set.NextDisks) > 0 {
		return nil, set
	}
	gaps := maps.Clone(s.state.gaps)
	maps.DeleteFunc(gaps, func(_ turnKey, g gap) bool { return time.Since(g.noticedAt) < repairDelay })
	return gaps, set
}

// repairGap copies a missing turn from the first replica that has it. It returns the replicas that answered; the others are not asked
// again in this round.
func (s *Store) repairGap(ctx context.Context, k turnKey, g gap, version chestnutcleat.Version, others []chestnutcleat.Replica) []chestnutcleat.Replica {
	answered := make([]chestnutcleat.Replica, 0, len(others))
	for i, replica := range others {
		copied, err := s.copyChain(ctx, replica, version, k, g.expiresAt)
		if copied > 0 {
			s.Observer.Emit(event.TurnsRepaired, "from", replica.VM, "turn", k.turn, "turns", copied)
		}
		if err != nil {
			continue
		}
		answered = append(answered, replica)
		if copied > 0 {
			return append(answered, others[i+1:]...)
		}
	}
	if len(answered) == len(others) {
		s.forgetGap(k)
	}
	return answered
}

// copyChain copies a turn, and the turns before it up to the first one that this replica holds. It asks for one turn first, as
// mostly no more are missing, and then for twice as many each time.
func (s *Store) copyChain(ctx context.Context, from chestnutcleat.Replica, version chestnutcleat.Version, k turnKey, expiresAt int64) (copied int, err error) {
	for limit := 1; ; limit *= 2 {
		var r FetchReply
		q := FetchRequest{Target: Target{Disk: from.Disk, Version: version}, Customer: k.customer, Turn: k.turn, Limit: limit}
		if err := s.call(ctx, from.Address, methodFetch, q, &r); err != nil {
			return copied, err
		}
		if r.Newer != nil || r.Behind {
			return copied, errOtherSet
		}
		if len(r.Turns) == 0 {
			return copied, nil
		}
		missing := s.missingTurns(k.customer, r.Turns, expiresAt)
		if err := s.write(ctx, missing); err != nil {
			return copied, err
		}
		copied += len(missing)
		k.turn = r.Turns[len(r.Turns)-1].Previous
		if _, held := s.locateTurn(k.customer, k.turn); held || k.turn == "" {
			return copied, nil
		}
	}
}

// missingTurns returns the records of those turns that this replica lacks.
func (s *Store) missingTurns(c chestnutcleat.CustomerID, turns []Turn, expiresAt int64) []*Record {
	var records []*Record
	for i := range turns {
		t := &turns[i]
		if _, ok := s.locateTurn(c, t.ID); ok {
			continue
		}
		records = append(records, &Record{
			Kind: StoreTurn, Customer: c, Attempt: t.ID, Previous: t.Previous, Input: t.Input, Output: t.Output, ExpiresAt: expiresAt,
		})
	}
	return records
}

// forgetGap removes a gap that no replica can fill.
func (s *Store) forgetGap(k turnKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.state.gaps, k)
}
