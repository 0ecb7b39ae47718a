package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ticket is a granted ticket with its request.
type ticket struct {
	chestnutcleat.Ticket
	request *request
	cached  chestnutcleat.Tokens
	granted time.Time
	cost    time.Duration
}

// sentReply is a reply that is kept for retries.
type sentReply struct {
	id    chestnutcleat.RequestID
	at    time.Time
	reply chestnutcleat.AcquireReply
}
