package program

import "chestnutcleat.example/chestnutcleat"

// waiter is a caller that waits for a reply to Begin or a retry.
type waiter struct {
	request chestnutcleat.RequestID
	done    func(chestnutcleat.BeginReply)
	timer   chestnutcleat.Timer
}
