package guard

import (
	"fmt"
	"runtime/debug"
)

// Panic is the error returned for a function that panicked.
type Panic struct {
	Value any
	Stack []byte
}

// Error implements error. The text leaves out the stack, which is for the log.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Call runs f and returns a *Panic if it panics. f must unlock its locks with defer, as they stay held otherwise.
func Call(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Panic{Value: v, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}
