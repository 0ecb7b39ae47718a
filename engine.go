package chestnutcleat

import "context"

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
