package chestnutcleat

// Health is the state of an upstream as its owner sees it.
type Health string

// Health states of an upstream.
const (
	HealthUp      Health = "up"
	HealthProbing Health = "probing"
	HealthDown    Health = "down"
	HealthLeaving Health = "leaving"
)
