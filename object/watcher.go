package object

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// minBackoff and maxBackoff bound the wait after a failed watch.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// minWatch spaces watches that end without a change, so that a platform that does not wait is not flooded.
	minWatch = 10 * time.Second
	// minSpacing is the least time between the starts of two watches: a manifest of 64 new parts would otherwise
	// cost 64 calls of each of 400 VMs within a second, above what the platform allows.
	minSpacing = 300 * time.Millisecond
)

// Watcher keeps one watch on several prefixes.
type Watcher struct {
	Platform chestnutcleat.Platform
	Prefixes []chestnutcleat.ObjectName
	// Changed receives every changed object, in the watcher's goroutine; the first watch delivers all objects.
	Changed func(chestnutcleat.Object)
	// Failed receives the error of each failed watch; nil ignores them.
	Failed func(error)
	// Rand spreads the attempts of several VMs after an outage.
	Rand *rand.Rand
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	var after chestnutcleat.Version
	backoff := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		list, err := w.Platform.Watch(ctx, w.Prefixes, after)
		if err != nil {
			if w.Failed != nil && ctx.Err() == nil {
				w.Failed(err)
			}
			if chestnutcleat.Sleep(ctx, backoff/2+time.Duration(w.Rand.Int64N(int64(backoff/2)+1))) != nil {
				return nil
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		for _, o := range list {
			w.Changed(o)
			after = max(after, o.Version)
		}
		least := minSpacing
		if len(list) == 0 {
			least = minWatch
		}
		if chestnutcleat.Sleep(ctx, least-time.Since(start)) != nil {
			return nil
		}
	}
	return nil
}
