package object

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed watch.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// emptyWatchInterval is the least time between the starts of watches that return no change, so that a platform that
	// answers at once is not overloaded.
	emptyWatchInterval = 10 * time.Second
	// minWatchInterval is the least time between the starts of two watches: without it, a manifest of 64 new parts would
	// cost 64 calls from each of 400 VMs within a second, more than the platform's rate limit.
	minWatchInterval = 300 * time.Millisecond
)

// Watcher keeps one long poll open for several prefixes.
type Watcher struct {
	Platform chestnutcleat.Platform
	Prefixes []chestnutcleat.ObjectName
	// OnChange is called in the watcher's goroutine with each changed object; the first watch delivers all objects.
	OnChange func(chestnutcleat.Object)
	// OnError is called with the error of each failed watch; nil ignores errors.
	OnError func(error)
	// Rand adds jitter, so that VMs don't all retry at once after an outage.
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
			if w.OnError != nil && ctx.Err() == nil {
				w.OnError(err)
			}
			if chestnutcleat.Sleep(ctx, backoff/2+time.Duration(w.Rand.Int64N(int64(backoff/2)+1))) != nil {
				return nil
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		for _, o := range list {
			w.OnChange(o)
			after = max(after, o.Version)
		}
		interval := minWatchInterval
		if len(list) == 0 {
			interval = emptyWatchInterval
		}
		if chestnutcleat.Sleep(ctx, interval-time.Since(start)) != nil {
			return nil
		}
	}
	return nil
}
