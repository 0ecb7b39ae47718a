package ledger

import (
	"time"

	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// compactionSlackBytes is how far the log may exceed twice its live bytes before live records are rewritten.
	compactionSlackBytes = 4 * segmentBytes
	// fullFraction is the part of DiskLimit at which a replica rejects reservations; the rest is left for settlements, turns, origins of
	// streams and compaction.
	fullFraction = 0.8
	// originDiskFraction is the part of DiskLimit at which a replica rejects the origins of streams, too.
	originDiskFraction = 0.9
	// originMemoryDivisor divides MemoryLimit to get the memory for origins of streams at a replica that is full. They are small and expire
	// within minutes, and without one a stream can't go on elsewhere.
	originMemoryDivisor = 8
	// nearLimitFraction is the part of a limit at which operators are warned.
	nearLimitFraction = 0.7
)

// Usage is the memory and disk space that a replica's records take, in bytes.
type Usage struct {
	// Memory is the size of the index, Disk that of the log, and Live that of the log records still needed.
	Memory, Disk, Live int64
}

// Usage returns the memory and disk space in use.
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

// Full reports whether the replica is so close to a limit that it rejects reservations.
func (s *Store) Full() bool {
	u := s.Usage()
	return s.MemoryLimit > 0 && u.Memory >= s.MemoryLimit || s.DiskLimit > 0 && float64(u.Disk) >= fullFraction*float64(s.DiskLimit)
}

// hasRoomForOrigins reports whether a full replica accepts the origins of streams.
func (s *Store) hasRoomForOrigins() bool {
	if s.DiskLimit > 0 && float64(s.log.bytes()) >= originDiskFraction*float64(s.DiskLimit) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MemoryLimit <= 0 || s.state.streamBytes < s.MemoryLimit/originMemoryDivisor
}

// maintain drops expired records and dumps, compacts the log and warns when usage approaches a limit.
func (s *Store) maintain() {
	s.mu.Lock()
	now := time.Now()
	s.state.expire(now)
	for id, d := range s.dumps {
		if now.After(d.expiry) {
			delete(s.dumps, id)
		}
	}
	s.mu.Unlock()
	if err := s.compact(); err != nil {
		s.Observer.Emit(event.LogWriteFailed, "error", err)
	}
	s.reportUsage()
}

// compact removes the oldest segments that hold no live records. If too much of the log is unneeded, it first rewrites
// the live records of the oldest segment, for one segment per call.
func (s *Store) compact() error {
	rewritten := false
	for {
		old := s.log.oldest()
		if old == nil {
			return nil
		}
		if s.hasLiveRecords(old) {
			if u := s.Usage(); rewritten || u.Disk <= 2*u.Live+compactionSlackBytes {
				return nil
			}
			rewritten = true
			if err := s.rewriteLive(old); err != nil {
				return err
			}
		}
		if err := s.removeOldest(old); err != nil {
			return err
		}
	}
}

func (s *Store) hasLiveRecords(old *segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.live[old.number] > 0
}

// removeOldest removes the oldest segment. It first appends the replica set and completeness again, as only that segment
// may hold them.
func (s *Store) removeOldest(old *segment) error {
	s.mu.Lock()
	markers := s.state.markers()
	s.mu.Unlock()
	if err := s.appendAndApply(markers); err != nil {
		return err
	}
	if err := s.log.removeOldest(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.state.live, old.number)
	return nil
}

// rewriteLive appends the live records of a segment to the end of the log.
func (s *Store) rewriteLive(old *segment) error {
	var batch []*Record
	size := 0
	var flushErr error
	flush := func() {
		if flushErr == nil && len(batch) > 0 {
			flushErr = s.appendAndApply(batch)
		}
		batch, size = nil, 0
	}
	_, err := old.scan(func(r *Record, loc location) {
		s.mu.Lock()
		v, ok := s.state.liveRecord(r, loc)
		s.mu.Unlock()
		if !ok {
			return
		}
		batch = append(batch, &v)
		if size += loc.bytes; size >= maxPageBytes {
			flush()
		}
	})
	flush()
	if err != nil {
		return err
	}
	return flushErr
}

// reportUsage warns once when usage approaches a limit, and again only after it has fallen below the threshold.
func (s *Store) reportUsage() {
	u := s.Usage()
	near := nearLimit(u.Memory, s.MemoryLimit) || nearLimit(u.Disk, s.DiskLimit)
	if near && !s.nearLimit {
		s.Observer.Emit(event.RecordsNearLimit, "memory", u.Memory, "bound", s.MemoryLimit, "disk", u.Disk, "space", s.DiskLimit, "live", u.Live)
	}
	s.nearLimit = near
}

func nearLimit(used, limit int64) bool {
	return limit > 0 && float64(used) >= nearLimitFraction*float64(limit)
}
