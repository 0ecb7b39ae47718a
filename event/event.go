package event

import "chestnutcleat.example/chestnutcleat"

// Severity tells how much attention an event needs.
type Severity string

// Severities of events.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Event describes a kind of log event.
type Event struct {
	ID       chestnutcleat.EventID
	Severity Severity
	Text     string
	// Action is what the event asks of an operator; empty for none.
	Action string
}

var catalogue = map[chestnutcleat.EventID]Event{}

// add registers an event; two events with one number are a programming error.
func add(id chestnutcleat.EventID, s Severity, text, action string) chestnutcleat.EventID {
	if _, ok := catalogue[id]; ok {
		panic("two events have the same number")
	}
	catalogue[id] = Event{ID: id, Severity: s, Text: text, Action: action}
	return id
}

// Lookup returns the description of an event.
func Lookup(id chestnutcleat.EventID) (Event, bool) {
	e, ok := catalogue[id]
	return e, ok
}

// All returns the descriptions of all events.
func All() map[chestnutcleat.EventID]Event { return catalogue }
