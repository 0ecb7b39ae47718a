package chestnutcleat

// UsageReport tells a customer's owner what the customer's calls used.
type UsageReport struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	// Cost is the service received in seconds of one engine's time; zero for a call that did not run.
	Cost float64 `json:"cost"`
	// Take is the id of the request that admitted the call, which has ended.
	Take RequestID `json:"take,omitempty"`
}
