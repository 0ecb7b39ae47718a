package chestnutcleat

// UsageReport reports the cost of a call to the owner of its customer.
type UsageReport struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	// Cost is the engine time that the call used, in seconds; zero for a call that did not run.
	Cost float64 `json:"cost"`
	// TokenRequest is the id of the TakeRequest that admitted the call, which has ended.
	TokenRequest RequestID `json:"take,omitempty"`
}
