package chestnutcleat

// KeyState is the state of a caller's key.
type KeyState string

// States of a key.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
	KeyUnknown   KeyState = "unknown"
)
