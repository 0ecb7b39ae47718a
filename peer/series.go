package peer

import "slices"

// Incarnation names one process of a VM; it is drawn at random, as the time of day may be behind after a restart.
type Incarnation uint64

// maxPast bounds the incarnations whose late datagrams are told from a new process's.
const maxPast = 16

// series tells newer messages of a VM from repeated and overtaken ones.
type series struct {
	incarnation Incarnation
	sequence    uint64
	// past are the incarnations before the present one.
	past []Incarnation
}

// accept reports whether a message is newer than all before, and takes note of it. The first message of an incarnation that was
// not heard before ends the one before.
func (s *series) accept(i Incarnation, sequence uint64) bool {
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
		s.past = append(s.past[max(0, len(s.past)+1-maxPast):], s.incarnation)
	}
	s.incarnation, s.sequence = i, sequence
	return true
}
