package chestnutcleat

// Health is the state of an upstream in the view of its owner.
type Health string

// Health states of an upstream.
const (
	HealthUp      Health = "up"
	HealthProbing Health = "probing"
	HealthDown    Health = "down"
	HealthLeaving Health = "leaving"
)
