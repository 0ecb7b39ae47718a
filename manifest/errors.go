package manifest

import (
	"fmt"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// ConflictError reports that a change is not based on the current revision and was not accepted.
type ConflictError struct {
	// Revision is the current revision.
	Revision chestnutcleat.Revision
	// Who is the operator that made the current revision.
	Who string
	// Diff lists how the rejected manifest differs from the current one.
	Diff []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("current revision is %d by %q: %s", e.Revision, e.Who, strings.Join(e.Diff, "; "))
}

// UnavailableError reports that the platform was unavailable before the root was written; the change was not accepted.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "not accepted, the platform is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnresolvedError reports that the outcome of a change is unknown: the platform did not confirm the write in time.
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

// InvalidError reports a change that fails validation.
type InvalidError struct {
	Text string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Text }
