package program

// state is the progress of a call at its owner.
type state int

const (
	// waiting calls wait for their predecessor.
	waiting state = iota
	// pending calls wait for the suspect check or the journal.
	pending
	// running calls were granted to an entry VM.
	running
	// ended calls have an answer.
	ended
)
