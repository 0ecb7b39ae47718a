package chestnutcleat

import "time"

// Limits bounds what one program may use.
type Limits struct {
	// Tokens is the largest token budget of a program.
	Tokens Tokens `json:"tokens,omitempty"`
	// Calls is the largest number of calls of a program.
	Calls int `json:"calls,omitempty"`
	// Wall is the longest life of a program.
	Wall Duration `json:"wall,omitempty"`
	// Idle is the time without a call after which a program ends.
	Idle Duration `json:"idle,omitempty"`
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
}

// Default limits of a program.
const (
	DefaultTokens      Tokens        = 1_000_000
	DefaultCalls       int           = 1_000
	DefaultWall        time.Duration = 24 * time.Hour
	DefaultIdle        time.Duration = 10 * time.Minute
	DefaultBody        int64         = 8 << 20
	DefaultCallTimeout time.Duration = 2 * time.Minute
)
