package chestnutcleat

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or the error of ctx if it is done before.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
