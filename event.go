package chestnutcleat

// EventID numbers a kind of log event.
type EventID int

// Observer receives the numbered events of the control state.
type Observer interface {
	// Emit reports an event with alternating attribute names and values.
	Emit(id EventID, attributes ...any)
}
