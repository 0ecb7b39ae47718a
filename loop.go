package chestnutcleat

import (
	"context"
	"time"
)

// Loop runs functions one at a time in the control goroutine.
type Loop interface {
	// Post runs f in the control goroutine; it never blocks.
	Post(f func())
	// After runs f in the control goroutine after d, unless the timer is stopped before.
	After(d time.Duration, f func()) Timer
}

// Timer is a pending call of Loop.After.
type Timer interface {
	Stop() bool
}

// Async runs work in a goroutine of its own and passes its result to done in the control goroutine.
func Async[R any](l Loop, timeout time.Duration, work func(context.Context) (R, error), done func(R, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		r, err := work(ctx)
		l.Post(func() { done(r, err) })
	}()
}
