package chestnutcleat

import "fmt"

// Outcome tells whether a call ran and whether its result is known.
type Outcome string

// Outcomes of a call.
const (
	// NotRun means that no upstream ran any part of the call.
	NotRun Outcome = "not-run"
	// Failed means that the call ran and ended in an error.
	Failed Outcome = "failed"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
	// Done means that the call ran and its complete answer is known.
	Done Outcome = "done"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	switch v := Outcome(text); v {
	case NotRun, Failed, Unknown, Done:
		*o = v
		return nil
	}
	return fmt.Errorf("invalid outcome %q: expected not-run, failed, unknown or done", text)
}
