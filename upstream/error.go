package upstream

import "fmt"

// ErrorKind classifies a failed exchange with an upstream.
type ErrorKind string

// Kinds of failed exchanges.
const (
	// Connect means that no connection could be made.
	Connect ErrorKind = "connect"
	// Broken means that the connection failed before the whole response was read.
	Broken ErrorKind = "broken"
	// Idle means that the exchange was given up, as the upstream sent nothing for too long.
	Idle ErrorKind = "idle"
	// Mismatched means that the response carries the id of another request.
	Mismatched ErrorKind = "crossed"
	// Malformed means that the response violates the protocol.
	Malformed ErrorKind = "malformed"
	// Status means that the upstream sent a complete response with an error status.
	Status ErrorKind = "status"
	// Diverged means that a repeated stream differs from the text that was already delivered.
	Diverged ErrorKind = "diverged"
)

// Error describes a failed exchange with an upstream.
type Error struct {
	Kind ErrorKind
	// Sent is set if a byte of the request may have been sent.
	Sent bool
	// HeaderRead is set if the header of the response was read.
	HeaderRead bool
	// Code is the HTTP status for kind Status.
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

// IsCrash reports whether the connection failed after a byte was sent.
func (e *Error) IsCrash() bool { return e.Sent && e.Kind == Broken }
