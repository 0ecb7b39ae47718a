package chestnutcleat

// Ack is an empty answer.
type Ack struct{}
