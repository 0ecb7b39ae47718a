package chestnutcleat

import "time"

// Ticket allows one request to one upstream.
type Ticket struct {
	ID       TicketID   `json:"id"`
	Upstream UpstreamID `json:"upstream"`
	Epoch    Epoch      `json:"epoch"`
	Expiry   time.Time  `json:"expiry"`
}
