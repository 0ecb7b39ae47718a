package chestnutcleat

import "time"

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
