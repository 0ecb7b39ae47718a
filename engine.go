package chestnutcleat

import (
	"context"
	"time"
)

// Engine is the control interface of one model engine; generation itself is an HTTP exchange of package engine.
type Engine interface {
	// Load returns the engine's lagging load report.
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after the given sequence; events may be missing.
	Events(ctx context.Context, after Sequence) ([]CacheEvent, error)
	// Order changes the loaded models or the role.
	Order(ctx context.Context, o Order) error
	// State returns the loaded models, the role, and the pins.
	State(ctx context.Context) (EngineState, error)
	// Pin holds a program's prefix in memory until the expiry; a past expiry releases it.
	Pin(ctx context.Context, p Pin) error
}

// CacheEvent tells that an engine stored or evicted a prefix.
type CacheEvent struct {
	Sequence Sequence `json:"sequence"`
	Prefix   Digest   `json:"prefix"`
	Evicted  bool     `json:"evicted,omitempty"`
	Tokens   Tokens   `json:"tokens"`
}

// Order tells an engine to change what it has loaded or its role.
type Order struct {
	ID ChangeID `json:"id"`
	// Fence is the fencing token.
	Fence Epoch `json:"fence"`
	// Load and Unload name models or adapters.
	Load   ModelName `json:"load,omitempty"`
	Unload ModelName `json:"unload,omitempty"`
	Role   string    `json:"role,omitempty"`
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Models []ModelName `json:"models"`
	Role   string      `json:"role,omitempty"`
	Fence  Epoch       `json:"fence"`
	Pins   []Pin       `json:"pins,omitempty"`
}

// Pin is a hint to keep a program's prefix in engine memory.
type Pin struct {
	Program string    `json:"program"`
	Tokens  Tokens    `json:"tokens"`
	Expiry  time.Time `json:"expiry"`
}
