package chestnutcleat

import "time"

// LoadReport is an engine's own, lagging report of its load.
type LoadReport struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Occupied Tokens    `json:"occupied"`
	Pinned   Tokens    `json:"pinned"`
	Time     time.Time `json:"time"`
}
