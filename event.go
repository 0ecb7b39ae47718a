package chestnutcleat

// EventID identifies a type of log event by its number.
type EventID int

// Observer receives log events.
type Observer interface {
	// Emit logs an event; attributes alternates names and values.
	Emit(id EventID, attributes ...any)
}
