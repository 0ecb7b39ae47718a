package chestnutcleat

import "time"

// LoadReport is the load that an engine reports itself; it lags behind the actual load.
type LoadReport struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Occupied Tokens    `json:"occupied"`
	Pinned   Tokens    `json:"pinned"`
	Time     time.Time `json:"time"`
}
