package chestnutcleat

import "time"

// Ticket permits its holder to send one request to one upstream until the expiry.
type Ticket struct {
	ID       TicketID   `json:"id"`
	Upstream UpstreamID `json:"upstream"`
	Epoch    Epoch      `json:"epoch"`
	Expiry   time.Time  `json:"expiry"`
}
