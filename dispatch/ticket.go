package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ticket is a granted request.
type ticket struct {
	chestnutcleat.Ticket
	request *request
	cached  chestnutcleat.Tokens
	granted time.Time
	cost    time.Duration
}

// answered is a reply kept for repeated requests.
type answered struct {
	id    chestnutcleat.RequestID
	at    time.Time
	reply chestnutcleat.AcquireReply
}
