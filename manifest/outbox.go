package manifest

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// putTimeout bounds one write of a waiting object.
	putTimeout = 15 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed write.
	minBackoff = time.Second
	maxBackoff = 10 * time.Second
)

// outbox writes objects that are only ever created, in order and one at a time, for as long as it takes.
type outbox struct {
	owner   *Store
	list    []chestnutcleat.Object
	writing bool
	backoff time.Duration
}

// add queues an object.
func (b *outbox) add(o chestnutcleat.Object) {
	b.list = append(b.list, o)
	b.flush()
}

func (b *outbox) flush() {
	if b.writing || len(b.list) == 0 {
		return
	}
	b.writing = true
	s := b.owner
	o := b.list[0]
	work := func(ctx context.Context) (chestnutcleat.Version, error) { return s.Platform.Put(ctx, o) }
	chestnutcleat.Async(s.Loop, putTimeout, work, func(_ chestnutcleat.Version, err error) { b.written(err) })
}

// written handles the end of a write; a conflict means that the object exists, so an earlier attempt succeeded.
// An object that is too large will never be written and must not hold up the others.
// While it backs off, writing stays set, so that new objects cause no further calls.
func (b *outbox) written(err error) {
	if err != nil && !errors.Is(err, chestnutcleat.ErrConflict) && !errors.Is(err, chestnutcleat.ErrTooLarge) {
		if b.backoff == 0 {
			b.owner.Observer.Emit(event.WritesDelayed, "waiting", len(b.list), "error", err)
		}
		b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
		b.owner.Loop.After(b.backoff, func() {
			b.writing = false
			b.flush()
		})
		return
	}
	if b.backoff > 0 {
		b.owner.Observer.Emit(event.WritesResumed, "waiting", len(b.list)-1)
	}
	b.backoff = 0
	b.writing = false
	b.list = b.list[1:]
	b.flush()
}
