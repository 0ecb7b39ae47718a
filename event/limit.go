package event

// Events of the rate limits.
var (
	ReservationLost   = add(501, Info, "customer taken over from a lost owner; its reservation counts as used", "")
	ReservationFailed = add(502, Warning, "reservation of a customer's tokens was not stored; it is repeated", "Check that the VM's witnesses are reachable.")
	RateChanged       = add(503, Info, "rate or burst of a customer changed", "")
	LevelRaised       = add(504, Info, "customer is above its fair share and falls behind others", "")
	LevelRestored     = add(505, Info, "customer is within its fair share again", "")
	LimitRecordBad    = add(506, Error, "record of a customer cannot be read; its bucket starts empty", "Report the record; the bucket refills at the customer's rate.")
)
