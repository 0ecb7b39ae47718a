package chestnutcleat

import (
	"context"
	"time"
)

// Loop runs functions one at a time in the control goroutine.
type Loop interface {
	// Post queues f to run in the control goroutine and never blocks.
	Post(f func())
	// After runs f in the control goroutine once d has passed, unless the timer is stopped first.
	After(d time.Duration, f func()) Timer
}

// Timer is a pending function of Loop.After.
type Timer interface {
	Stop() bool
}

// Async runs work in a new goroutine with a timeout, then passes its result to done in the control goroutine.
func Async[R any](l Loop, timeout time.Duration, work func(context.Context) (R, error), done func(R, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		r, err := work(ctx)
		l.Post(func() { done(r, err) })
	}()
}
