package chestnutcleat

import "time"

// TakeReply tells whether the rate limit admits a request.
type TakeReply struct {
	Admitted bool `json:"admitted"`
	// Level is the customer's current fairness level.
	Level Level `json:"level"`
	// Retry is the delay after which the request would be admitted if no other requests arrived.
	Retry time.Duration `json:"retry,omitempty"`
	// OwnerChanged is set when the customer's slot moved to another VM before a decision; the sender must ask the new owner.
	OwnerChanged bool `json:"moved,omitempty"`
}
