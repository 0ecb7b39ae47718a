package chestnutcleat

import "time"

// Load summarizes the state of an upstream. Its owner spreads it by gossip, where numbered fields keep messages small.
type Load struct {
	Upstream UpstreamID `json:"upstream" cbor:"1,keyasint"`
	Epoch    Epoch      `json:"epoch" cbor:"2,keyasint"`
	Sequence Sequence   `json:"sequence" cbor:"3,keyasint,omitempty"`
	Health   Health     `json:"health" cbor:"4,keyasint"`
	// Running is the number of tickets that are in use.
	Running int `json:"running" cbor:"5,keyasint,omitempty"`
	Queued  int `json:"queued" cbor:"6,keyasint,omitempty"`
	// Wait is the expected queueing time of a new request at fairness level 0.
	Wait time.Duration `json:"wait" cbor:"7,keyasint,omitempty"`
	// Occupied is the estimated number of tokens in the prefix cache.
	Occupied Tokens `json:"occupied" cbor:"8,keyasint,omitempty"`
}
