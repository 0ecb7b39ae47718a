package chestnutcleat

import "time"

// Pin is a hint to keep a program's prefix in engine memory.
type Pin struct {
	Program string    `json:"program"`
	Tokens  Tokens    `json:"tokens"`
	Expiry  time.Time `json:"expiry"`
}
