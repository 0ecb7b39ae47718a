package program

// Stats holds the sizes and counters of a Manager.
type Stats struct {
	Programs int
	// Retained is the number of bytes of retained answers.
	Retained int64
	// Orphans is the number of calls that wait for an unknown call.
	Orphans int
	Begun   int
	Joined  int
	Replays int
	Refused int
	// Late counts ignored reports of outdated attempts.
	Late int
	// Silent counts attempts whose entry VM did not report their end in time.
	Silent  int
	Unknown int
}
