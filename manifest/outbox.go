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
func (o *outbox) add(object chestnutcleat.Object) {
	o.queue = append(o.queue, object)
	o.writeNext()
}

func (o *outbox) writeNext() {
	if o.busy || len(o.queue) == 0 {
		return
	}
	o.busy = true
	s := o.store
	object := o.queue[0]
	work := func(ctx context.Context) (chestnutcleat.Version, error) { return s.Platform.Put(ctx, object) }
	chestnutcleat.Async(s.Loop, putTimeout, work, func(_ chestnutcleat.Version, err error) { o.handleResult(err) })
}

// handleResult handles the result of a write. A conflict means that an earlier attempt has created the object.
// An object that is too large can never be written and is skipped, so that it does not block the others.
// busy stays set during the backoff, so that new objects cause no further calls.
func (o *outbox) handleResult(err error) {
	if err != nil && !errors.Is(err, chestnutcleat.ErrConflict) && !errors.Is(err, chestnutcleat.ErrTooLarge) {
		if o.backoff == 0 {
			o.store.Observer.Emit(event.WritesDelayed, "waiting", len(o.queue), "error", err)
		}
		o.backoff = min(max(2*o.backoff, minBackoff), maxBackoff)
		o.store.Loop.After(o.backoff, func() {
			o.busy = false
			o.writeNext()
		})
		return
	}
	if o.backoff > 0 {
		o.store.Observer.Emit(event.WritesResumed, "waiting", len(o.queue)-1)
	}
	o.backoff = 0
	o.busy = false
	o.queue = o.queue[1:]
	o.writeNext()
}
