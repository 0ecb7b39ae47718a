package chestnutcleat

import "time"

// Limits bounds the resources of one program; DefaultTokens and the other defaults replace zero values.
type Limits struct {
	// Tokens is the largest token budget.
	Tokens Tokens `json:"tokens,omitempty"`
	// Calls is the largest number of calls.
	Calls int `json:"calls,omitempty"`
	// WallClock is the longest wall-clock time from the start of a program.
	WallClock Duration `json:"wall,omitempty"`
	// Idle is the time without a call after which the program ends.
	Idle Duration `json:"idle,omitempty"`
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64 `json:"body,omitempty"`
}

// Defaults of Limits and of Route.Timeout.
const (
	DefaultTokens       Tokens        = 1_000_000
	DefaultCalls        int           = 1_000
	DefaultWallClock    time.Duration = 24 * time.Hour
	DefaultIdle         time.Duration = 10 * time.Minute
	DefaultMaxBodyBytes int64         = 8 << 20
	DefaultCallTimeout  time.Duration = 2 * time.Minute
)
