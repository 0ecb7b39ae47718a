package chestnutcleat

// Ack is the empty reply to a request that only needs to be acknowledged.
type Ack struct{}
