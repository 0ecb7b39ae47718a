package chestnutcleat

// EngineState is the configuration that an engine runs with.
type EngineState struct {
	Models []ModelName `json:"models"`
	Role   string      `json:"role,omitempty"`
	Fence  Epoch       `json:"fence"`
	Pins   []Pin       `json:"pins,omitempty"`
}
