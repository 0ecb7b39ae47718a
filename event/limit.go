package event

// Events of package limit: rate limits and fair shares.
var (
	ReservationLost    = add(501, Info, "customer taken over from a lost owner; its reservation counts as used", "")
	ReservationFailed  = add(502, Warning, "reservation of a customer's tokens was not stored; it is repeated", "Check that the VM's witnesses are reachable.")
	RateChanged        = add(503, Info, "rate or burst of a customer changed", "")
	ShareExceeded      = add(504, Info, "customer exceeds its fair share and is scheduled after others", "")
	ShareRestored      = add(505, Info, "customer is within its fair share again", "")
	LimitRecordInvalid = add(506, Error, "record of a customer cannot be read; its bucket starts empty", "Report the record; the bucket refills at the customer's rate.")
)
