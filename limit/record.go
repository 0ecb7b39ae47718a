package limit

import "time"

// record is the stored form of an account.
type record struct {
	Customer string  `json:"c"`
	Tokens   float64 `json:"t"`
	// Reserved is the number of tokens that may have been admitted since the record was written.
	Reserved    float64   `json:"r,omitempty"`
	Unconfirmed float64   `json:"h,omitempty"`
	Rate        float64   `json:"q"`
	Burst       float64   `json:"b"`
	At          time.Time `json:"a"`
	// Usage and Recent are set only in a graceful handover.
	Usage  float64  `json:"u,omitempty"`
	Recent []seenID `json:"n,omitempty"`
}
