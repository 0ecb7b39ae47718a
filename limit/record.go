package limit

import "time"

// record is the stored form of an account.
type record struct {
	Customer string  `json:"c"`
	Tokens   float64 `json:"t"`
	// Reserved is how much may have been admitted since the record was written.
	Reserved float64   `json:"r,omitempty"`
	Hope     float64   `json:"h,omitempty"`
	Rate     float64   `json:"q"`
	Burst    float64   `json:"b"`
	At       time.Time `json:"a"`
	// Usage and Recent are set only when the slot moves gracefully.
	Usage  float64 `json:"u,omitempty"`
	Recent []seen  `json:"n,omitempty"`
}
