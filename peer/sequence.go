package peer

import "slices"

// Incarnation identifies one process of a VM. It is random, as the clock may be behind after a restart. Zero stands for a process that was
// not heard yet.
type Incarnation uint64

// maxPastIncarnations bounds the past incarnations whose late datagrams can be rejected.
const maxPastIncarnations = 16

// sequenceFilter rejects repeated and reordered messages of a VM.
type sequenceFilter struct {
	incarnation Incarnation
	sequence    uint64
	// past has the incarnations before the current one.
	past []Incarnation
}

// accept reports whether a message is newer than all accepted ones, and records it. The first message of an unknown incarnation ends
// the current one, so one without an incarnation must not count.
func (s *sequenceFilter) accept(i Incarnation, sequence uint64) bool {
	if i == 0 {
		return false
	}
	if i == s.incarnation {
		if sequence <= s.sequence {
			return false
		}
		s.sequence = sequence
		return true
	}
	if slices.Contains(s.past, i) {
		return false
	}
	if s.incarnation != 0 {
		s.past = append(s.past[max(0, len(s.past)+1-maxPastIncarnations):], s.incarnation)
	}
	s.incarnation, s.sequence = i, sequence
	return true
}
