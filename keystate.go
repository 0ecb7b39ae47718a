package chestnutcleat

// KeyState tells whether a caller's key is valid.
type KeyState string

// States of a key.
const (
	KeyActive    KeyState = "active"
	KeyWithdrawn KeyState = "withdrawn"
	KeyUnknown   KeyState = "unknown"
)
