package manifest

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// putTimeout bounds one write.
	putTimeout = 15 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed write.
	minBackoff = time.Second
	maxBackoff = 10 * time.Second
)

// outbox writes new objects to the platform in order, one at a time, and retries until the write succeeds.
type outbox struct {
	store   *Store
	queue   []chestnutcleat.Object
	busy    bool
	backoff time.Duration
}

// add appends an object to the queue.
func (b *outbox) add(o chestnutcleat.Object) {
	b.queue = append(b.queue, o)
	b.writeNext()
}

func (b *outbox) writeNext() {
	if b.busy || len(b.queue) == 0 {
		return
	}
	b.busy = true
	s := b.store
	o := b.queue[0]
	work := func(ctx context.Context) (chestnutcleat.Version, error) { return s.Platform.Put(ctx, o) }
	chestnutcleat.Async(s.Loop, putTimeout, work, func(_ chestnutcleat.Version, err error) { b.handleResult(err) })
}

// handleResult handles the result of a write. A conflict means that an earlier attempt has created the object.
// An object that is too large can never be written and is skipped, so that it does not block the others.
// busy stays set during the backoff, so that new objects cause no further calls.
func (b *outbox) handleResult(err error) {
	if err != nil && !errors.Is(err, chestnutcleat.ErrConflict) && !errors.Is(err, chestnutcleat.ErrTooLarge) {
		if b.backoff == 0 {
			b.store.Observer.Emit(event.WritesDelayed, "waiting", len(b.queue), "error", err)
		}
		b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
		b.store.Loop.After(b.backoff, func() {
			b.busy = false
			b.writeNext()
		})
		return
	}
	if b.backoff > 0 {
		b.store.Observer.Emit(event.WritesResumed, "waiting", len(b.queue)-1)
	}
	b.backoff = 0
	b.busy = false
	b.queue = b.queue[1:]
	b.writeNext()
}
