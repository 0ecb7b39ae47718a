package chestnutcleat

// EngineCommand tells an engine to load or unload a model or to change its role.
type EngineCommand struct {
	ID ChangeID `json:"id"`
	// Fence is the fencing token of the sender.
	Fence Epoch `json:"fence"`
	// Load and Unload name models or adapters.
	Load   ModelName `json:"load,omitempty"`
	Unload ModelName `json:"unload,omitempty"`
	Role   string    `json:"role,omitempty"`
}
