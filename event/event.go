package event

import "chestnutcleat.example/chestnutcleat"

// Severity is the severity of an event.
type Severity string

// Severities, in rising order.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Event describes one type of log event.
type Event struct {
	ID       chestnutcleat.EventID
	Severity Severity
	Text     string
	// Action is what an operator should do. It may be empty for an Info event.
	Action string
}

var catalogue = map[chestnutcleat.EventID]Event{}

// add registers an event and returns its number. It panics if the number is already in use.
func add(id chestnutcleat.EventID, s Severity, text, action string) chestnutcleat.EventID {
	if _, ok := catalogue[id]; ok {
		panic("duplicate event number")
	}
	catalogue[id] = Event{ID: id, Severity: s, Text: text, Action: action}
	return id
}

// Lookup returns the description of an event and whether the number is in use.
func Lookup(id chestnutcleat.EventID) (Event, bool) {
	e, ok := catalogue[id]
	return e, ok
}

// All returns the descriptions of all events by number. The map must not be modified.
func All() map[chestnutcleat.EventID]Event { return catalogue }
