package ledger

import (
	"time"

	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// cleanSlack is the part of the log, in bytes, that may be out of use before records are moved.
	cleanSlack = 4 * segmentBytes
	// fullShare is the part of Space from which a copy takes no reservation: settlements, turns and moved records need room too.
	fullShare = 0.8
	// fillingShare is the part of a bound from which an operator is told.
	fillingShare = 0.7
)

// Usage is what a copy's records take, in bytes.
type Usage struct {
	// Memory is that of the index, Disk that of the log, and Live the part of the log that is needed.
	Memory, Disk, Live int64
}

// Usage returns what the records take.
func (s *Store) Usage() Usage {
	u := Usage{Disk: s.log.bytes()}
	s.mu.Lock()
	defer s.mu.Unlock()
	u.Memory = s.state.memory
	for _, n := range s.state.live {
		u.Live += n
	}
	return u
}

// Full reports whether the copy takes no reservations, as it has too little room.
func (s *Store) Full() bool {
	u := s.Usage()
	return s.Memory > 0 && u.Memory >= s.Memory || s.Space > 0 && float64(u.Disk) >= fullShare*float64(s.Space)
}

// expire forgets old records, removes segments that are not needed and reports a bound that comes near.
func (s *Store) expire() {
	s.mu.Lock()
	now := time.Now()
	s.state.expire(now)
	for id, d := range s.dumps {
		if now.After(d.expiry) {
			delete(s.dumps, id)
		}
	}
	s.mu.Unlock()
	if err := s.clean(); err != nil {
		s.Observer.Emit(event.DiskFailed, "error", err)
	}
	s.reportUsage()
}

// clean removes the oldest segments as long as nothing in them is needed, and moves what is needed of one if much of the log is
// out of use.
func (s *Store) clean() error {
	moved := false
	for {
		old := s.log.oldest()
		if old == nil {
			return nil
		}
		if s.needed(old) {
			if u := s.Usage(); moved || u.Disk <= 2*u.Live+cleanSlack {
				return nil
			}
			moved = true
			if err := s.move(old); err != nil {
				return err
			}
		}
		if err := s.discard(old); err != nil {
			return err
		}
	}
}

func (s *Store) needed(g *segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.live[g.number] > 0
}

// discard removes the oldest segment; which set the copy serves is written once more, as only that segment may tell.
func (s *Store) discard(old *segment) error {
	s.mu.Lock()
	standing := s.state.standing()
	s.mu.Unlock()
	if err := s.add(standing); err != nil {
		return err
	}
	if err := s.log.remove(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.state.live, old.number)
	return nil
}

// move writes the needed records of a segment to the end of the log.
func (s *Store) move(old *segment) error {
	var batch []*Record
	size := 0
	var failed error
	flush := func() {
		if failed == nil && len(batch) > 0 {
			failed = s.add(batch)
		}
		batch, size = nil, 0
	}
	_, err := old.scan(func(r *Record, at place) {
		s.mu.Lock()
		v, ok := s.state.current(r, at)
		s.mu.Unlock()
		if !ok {
			return
		}
		batch = append(batch, &v)
		if size += at.bytes; size >= pageBytes {
			flush()
		}
	})
	flush()
	if err != nil {
		return err
	}
	return failed
}

// reportUsage tells once when a bound comes near, and again after there was room meanwhile.
func (s *Store) reportUsage() {
	u := s.Usage()
	filling := near(u.Memory, s.Memory) || near(u.Disk, s.Space)
	if filling && !s.filling {
		s.Observer.Emit(event.RecordsFilling, "memory", u.Memory, "bound", s.Memory, "disk", u.Disk, "space", s.Space, "live", u.Live)
	}
	s.filling = filling
}

func near(used, bound int64) bool {
	return bound > 0 && float64(used) >= fillingShare*float64(bound)
}
