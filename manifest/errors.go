package manifest

import (
	"fmt"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// ConflictError reports that a change is not based on the current state; the change was not accepted.
type ConflictError struct {
	// Revision is the current revision.
	Revision chestnutcleat.Revision
	// Who made the current revision.
	Who string
	// Diff lists how the refused change differs from the current state.
	Diff []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("current revision is %d by %q: %s", e.Revision, e.Who, strings.Join(e.Diff, "; "))
}

// UnavailableError reports that the platform did not answer before anything was accepted; the change was not accepted.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "not accepted, the platform is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnresolvedError reports that a change was sent to the platform, which did not tell in time whether it was accepted.
type UnresolvedError struct {
	Change chestnutcleat.ChangeID
	Cause  error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown, ask again with the same change id: %v", e.Change, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// InvalidError reports a change that can never be accepted.
type InvalidError struct {
	Text string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Text }
