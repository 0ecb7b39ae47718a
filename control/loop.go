package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Loop runs queued functions one at a time in the control goroutine.
type Loop struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// New returns a loop that queues functions until Run is called.
func New() *Loop { return &Loop{wake: make(chan struct{}, 1), stopped: make(chan struct{})} }

// Post implements chestnutcleat.Loop.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// After implements chestnutcleat.Loop. The timer may be stopped only in the control goroutine.
func (l *Loop) After(d time.Duration, f func()) chestnutcleat.Timer {
	t := &timer{}
	run := func() {
		if !t.stopped {
			t.stopped = true
			f()
		}
	}
	t.inner = time.AfterFunc(d, func() { l.Post(run) })
	return t
}

// Run runs queued functions until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			l.drain(ctx)
		}
	}
}

func (l *Loop) drain(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, f := range batch {
			f()
		}
	}
}

// ErrStopped is returned by Do if the control goroutine has ended.
var ErrStopped = errors.New("control goroutine has ended")

// Do runs f in the control goroutine and waits for it. If ctx is done or the goroutine ends before f begins, f does not run.
func (l *Loop) Do(ctx context.Context, f func()) error {
	var claimed atomic.Bool
	done := make(chan struct{})
	l.Post(func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	})
	err := ErrStopped
	select {
	case <-done:
		return nil
	case <-l.stopped:
	case <-ctx.Done():
		err = ctx.Err()
	}
	// Claiming f keeps it from running later and writing what the caller reads by then.
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}
