package chestnutcleat

import "context"

// Engine is the control interface of one model engine; package engine sends the generation requests.
type Engine interface {
	// Load returns the engine's load report, which lags behind its actual load.
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after a sequence number; some may be missing.
	Events(ctx context.Context, after Sequence) ([]CacheEvent, error)
	// Order tells the engine to change its loaded models or its role.
	Order(ctx context.Context, c EngineCommand) error
	// State returns the loaded models, the role and the pins.
	State(ctx context.Context) (EngineState, error)
	// Pin keeps a program's prefix in memory until p.Expiry; an expiry in the past releases it.
	Pin(ctx context.Context, p Pin) error
}
