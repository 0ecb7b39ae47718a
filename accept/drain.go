package accept

import "time"

// Drain is a graceful shutdown that ends at a known time.
type Drain struct {
	// StrictFrom is the time from which no request is admitted that may last until after End.
	StrictFrom, End time.Time
}

// Interrupts reports whether the shutdown may interrupt a request that is admitted now and ends at the given time at the latest.
func (d *Drain) Interrupts(latestEnd time.Time) bool {
	return !time.Now().Before(d.StrictFrom) && latestEnd.After(d.End)
}
