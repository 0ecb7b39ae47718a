package chestnutcleat

import "time"

// Health is the state of an upstream as its owner sees it.
type Health string

// Health states of an upstream.
const (
	HealthUp      Health = "up"
	HealthProbing Health = "probing"
	HealthDown    Health = "down"
	HealthLeaving Health = "leaving"
)

// Load is an upstream's summary that its owner spreads by gossip.
type Load struct {
	Upstream UpstreamID `json:"upstream"`
	Epoch    Epoch      `json:"epoch"`
	Sequence Sequence   `json:"sequence"`
	Health   Health     `json:"health"`
	// Running is the number of tickets in use.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Wait is the expected wait of a new request of level 0.
	Wait time.Duration `json:"wait"`
	// Occupied is the estimated number of tokens in the prefix cache.
	Occupied Tokens `json:"occupied"`
}

// LoadReport is an engine's own, lagging report of its load.
type LoadReport struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Occupied Tokens    `json:"occupied"`
	Pinned   Tokens    `json:"pinned"`
	Time     time.Time `json:"time"`
}
