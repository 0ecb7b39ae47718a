package upstream

import "fmt"

// Kind tells how an exchange with an upstream failed.
type Kind string

// Kinds of failures.
const (
	// Connect means that no connection could be made.
	Connect Kind = "connect"
	// Broken means that the connection ended before the whole answer was read.
	Broken Kind = "broken"
	// Crossed means that the answer carries the id of another request.
	Crossed Kind = "crossed"
	// Malformed means that the answer does not follow the protocol.
	Malformed Kind = "malformed"
	// Status means that the upstream gave a whole answer with an error status.
	Status Kind = "status"
	// Diverged means that a repeated stream differs from what was already delivered.
	Diverged Kind = "diverged"
)

// Error is a failed exchange with an upstream.
type Error struct {
	Kind Kind
	// Sent is set when a byte of the request may have been sent.
	Sent bool
	// Answered is set when the header of the answer was read.
	Answered bool
	// Code is the HTTP status of kind Status.
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Kind == Status {
		return fmt.Sprintf("upstream answered with status %d", e.Code)
	}
	return fmt.Sprintf("upstream exchange failed (%s): %v", e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Crash reports whether the connection broke after a byte was sent.
func (e *Error) Crash() bool { return e.Sent && e.Kind == Broken }
