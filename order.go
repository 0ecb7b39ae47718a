package chestnutcleat

// Order tells an engine to change what it has loaded or its role.
type Order struct {
	ID ChangeID `json:"id"`
	// Fence is the fencing token.
	Fence Epoch `json:"fence"`
	// Load and Unload name models or adapters.
	Load   ModelName `json:"load,omitempty"`
	Unload ModelName `json:"unload,omitempty"`
	Role   string    `json:"role,omitempty"`
}
