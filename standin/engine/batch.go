package engine

import (
	"context"
	"slices"
	"sync"
)

// batch limits the number of requests that run at one time. Waiting requests are admitted by priority, lowest number first.
type batch struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

// acquire waits for a slot or until the context is done.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(b.waiting, priority+1, func(w *waiter, p int) int { return w.priority - p })
	b.waiting = slices.Insert(b.waiting, i, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	i = slices.Index(b.waiting, w)
	if i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	b.mu.Unlock()
	if i < 0 {
		b.release()
	}
	return ctx.Err()
}

// release passes the slot to the first waiting request or frees it.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0].ready)
	b.waiting = b.waiting[1:]
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
