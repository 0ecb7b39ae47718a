package program

// state is the progress of a call at its owner.
type state int

const (
	// waiting calls wait for the call that they follow.
	waiting state = iota
	// pending calls wait for the suspect table or the journal.
	pending
	// running calls were given to an entry VM.
	running
	// ended calls have an answer.
	ended
)
