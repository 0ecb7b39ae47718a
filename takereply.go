package chestnutcleat

import "time"

// TakeReply answers a TakeRequest.
type TakeReply struct {
	Admitted bool `json:"admitted"`
	// Level is the customer's fairness level at this moment.
	Level Level `json:"level"`
	// Retry is when the same request would be admitted if nothing else arrived.
	Retry time.Duration `json:"retry,omitempty"`
	// Moved is set when the customer's slot left this VM before the request was decided; ask the new owner.
	Moved bool `json:"moved,omitempty"`
}
