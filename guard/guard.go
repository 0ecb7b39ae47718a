package guard

import (
	"fmt"
	"runtime/debug"
)

// Panic is the error of a call that panicked.
type Panic struct {
	Value any
	Stack []byte
}

// Error implements error; the stack is left to whoever logs it.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Call runs f and returns a *Panic if it panics. What f locks it must unlock by defer, or the lock stays held.
func Call(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Panic{Value: v, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}
