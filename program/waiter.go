package program

import "chestnutcleat.example/chestnutcleat"

// waiter is a caller that waits for the reply to Begin.
type waiter struct {
	request chestnutcleat.RequestID
	done    func(chestnutcleat.BeginReply)
	timer   chestnutcleat.Timer
}
