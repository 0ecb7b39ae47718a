package chestnutcleat

import "time"

// Pin is a hint to an engine to keep a program's prefix in its cache until the expiry.
type Pin struct {
	Program string    `json:"program"`
	Tokens  Tokens    `json:"tokens"`
	Expiry  time.Time `json:"expiry"`
}
